//! Demand on the workers of each service, by priority and team.
//!
//! Covers work of unequal shape and duration. Work is measured as the time that all workers of a
//! pool need for it: a task's duration divided by the number of such tasks that fit on them. A
//! shape that leaves part of each worker unused therefore counts for more than its accelerators.

use {
    crate::{
        id::{JobId, RunId},
        ledger::{ActiveRun, Job, Ledger, StepState, Worker},
        overload::times::{JobTimes, job_times, step_work},
        plan::{ClusterView, Precedence, precedence_of},
        spec::{Resources, Step},
    },
    bronzespool_core::{HashMap, HashSet, Time},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Workers that some tasks may run on: those of a service, or those with a label among them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Pool {
    /// Service of the workers.
    pub service: Arc<str>,
    /// Label that they have.
    pub label: Option<Arc<str>>,
}

/// Sums of shares that exceed the whole by no more than this are the whole.
const ROUNDING: f64 = 1e-9;

/// Tasks that run or wait in a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tasks {
    /// Share of the pool that they take if they run at once.
    pub share: f64,
    /// Time in seconds that each of them takes, or has left.
    pub seconds: f64,
}

impl Tasks {
    /// Returns the seconds that all workers of the pool need for them.
    pub fn work(&self) -> f64 {
        self.share * self.seconds
    }
}

/// Returns the time in seconds after which tasks that share the workers of a pool are done, but for
/// those that run longer: such tasks take their share for as long, and do not delay the others.
/// It is zero if all of them fit at once.
pub(super) fn drain_seconds(mut tasks: Vec<Tasks>) -> f64 {
    tasks.sort_by(|a, b| a.seconds.total_cmp(&b.seconds));
    let mut running: f64 = tasks.iter().map(|t| t.share).sum();
    if running <= 1.0 + ROUNDING {
        return 0.0;
    }
    let mut done = 0.0;
    for task in &tasks {
        // While none of the remaining tasks ends, the rest of the pool does the work of the others.
        let end = done / (1.0 - running);
        if running < 1.0 && end <= task.seconds {
            return end;
        }
        done += task.work();
        running -= task.share;
    }
    done
}

/// Waiting tasks of one step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingWork {
    /// The job.
    pub job: JobId,
    /// When the job was submitted, or its occurrence was due.
    pub since: Time,
    /// The tasks.
    pub tasks: Tasks,
    /// Whether it can no longer be done within its allowed duration.
    pub late: bool,
}

/// Demand of the jobs of one priority in a pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassDemand {
    /// Work that waits, by team. Work that can no longer be done before its cutoff is left out.
    pub waiting: BTreeMap<Option<Arc<str>>, Vec<WaitingWork>>,
    /// Tasks that run.
    pub running: Vec<Tasks>,
    /// Number of jobs with waiting work.
    pub jobs: u32,
    /// Longest wait at which a job still counts in full, summed over these jobs.
    slack: Duration,
    /// Whether a job waits, or has just begun after it waited, longer than that.
    pub late: bool,
}

impl ClassDemand {
    /// Returns all tasks that run and wait.
    pub fn tasks(&self) -> impl Iterator<Item = Tasks> {
        let waiting = self.waiting.values().flatten().map(|w| w.tasks);
        self.running.iter().copied().chain(waiting)
    }

    /// Returns the mean, over the jobs of this class, of the longest wait at which each still counts
    /// in full.
    pub fn mean_slack(&self) -> Duration {
        self.slack.checked_div(self.jobs).unwrap_or_default()
    }
}

/// Demand on all pools for which work waits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Demand by pool and priority.
    pub pools: BTreeMap<Pool, BTreeMap<u32, ClassDemand>>,
}

impl Demand {
    /// Computes the demand in a ledger. Workers in `silent` have lost contact and do not count as
    /// capacity.
    pub fn of(ledger: &Ledger, view: &ClusterView, silent: &HashSet<Arc<str>>) -> Self {
        let mut count = DemandCount {
            view,
            ledger,
            capacity: TaskCapacity::new(ledger, view, silent),
            precedence: precedence_of(ledger),
            demand: Self::default(),
        };
        let active = || ledger.jobs().filter(|j| j.phase.is_active());
        active().for_each(|job| count.add_waiting(job));
        active().for_each(|job| count.add_running(job));
        count.demand
    }

    /// Returns the classes of a pool that are served before or with jobs of a priority.
    pub fn up_to(&self, pool: &Pool, priority: u32) -> impl Iterator<Item = &ClassDemand> {
        let classes = self.pools.get(pool);
        classes.into_iter().flat_map(move |c| c.range(..=priority).map(|(_, class)| class))
    }

    /// Returns the time until the work of a priority that is waiting and running now is done,
    /// together with all that goes before it; zero if all of it fits on the workers at once.
    pub fn wait(&self, pool: &Pool, priority: u32) -> Duration {
        let tasks = self.up_to(pool, priority).flat_map(ClassDemand::tasks);
        seconds_to_duration(drain_seconds(tasks.collect()))
    }
}

/// Converts seconds to a duration; values out of its range are clamped.
pub(super) fn seconds_to_duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}

/// Number of tasks that fit on the workers of a pool at once.
pub(super) struct TaskCapacity<'a> {
    view: &'a ClusterView,
    by_service: BTreeMap<&'a Arc<str>, Vec<&'a Worker>>,
    known: HashMap<(Pool, Resources), f64>,
}

impl<'a> TaskCapacity<'a> {
    pub(super) fn new(
        ledger: &'a Ledger,
        view: &'a ClusterView,
        silent: &HashSet<Arc<str>>,
    ) -> Self {
        let mut by_service: BTreeMap<_, Vec<&Worker>> = BTreeMap::new();
        let usable = |w: &&Worker| {
            let name = &w.spec.incarnation.worker;
            let is_draining = view.draining.contains(name) || ledger.is_worker_drained(w);
            !w.spec.leaving && !is_draining && !silent.contains(name)
        };
        for worker in ledger.workers().filter(usable) {
            by_service.entry(&worker.spec.service).or_default().push(worker);
        }
        Self { view, by_service, known: HashMap::default() }
    }

    /// Returns the workers of a pool.
    pub(super) fn workers(&self, pool: &Pool) -> impl Iterator<Item = &'a Worker> {
        let all = self.by_service.get(&pool.service).into_iter().flatten().copied();
        all.filter(|w| is_member(w, pool))
    }

    /// Returns the number of tasks that fit at once, each worker counted by its speed.
    fn tasks(&mut self, pool: &Pool, need: &Resources) -> f64 {
        if let Some(known) = self.known.get(&(pool.clone(), *need)) {
            return *known;
        }
        let speed = |w: &Worker| self.view.estimates.speed(&w.spec.agent).factor;
        let fits = self.workers(pool).map(|w| w.spec.capacity.count(need) as f64 * speed(w)).sum();
        self.known.insert((pool.clone(), *need), fits);
        fits
    }

    /// Returns the share of a pool that some tasks take; `None` if no such task fits on any worker.
    pub(super) fn share(&mut self, pool: &Pool, step: &Step, count: usize) -> Option<f64> {
        let fits = self.tasks(pool, &step.allocation());
        (fits > 0.0).then(|| count as f64 / fits)
    }
}

fn is_member(worker: &Worker, pool: &Pool) -> bool {
    let label = pool.label.as_ref();
    worker.spec.service == pool.service && label.is_none_or(|l| worker.spec.labels.contains(l))
}

struct DemandCount<'a> {
    view: &'a ClusterView,
    ledger: &'a Ledger,
    capacity: TaskCapacity<'a>,
    precedence: Precedence,
    demand: Demand,
}

impl DemandCount<'_> {
    fn add_waiting(&mut self, job: &Job) {
        let view = self.view;
        let times = job_times(self.ledger, &job.spec, &view.estimates);
        for occurrence in self.ledger.startable_occurrences(job, view.wall) {
            let since = submitted_or_due(job, occurrence, view);
            let elapsed = view.now.since(since);
            let is_lost = elapsed.saturating_add(times.chain) > times.cutoff;
            if is_lost && !self.precedence.is_job_guaranteed(job) {
                continue;
            }
            let mut by_pool: BTreeMap<Pool, Vec<Tasks>> = BTreeMap::new();
            for (i, step) in job.spec.steps.iter().enumerate() {
                let count = waiting_tasks(job.step(occurrence, i as u16), step);
                if count > 0 && !step.long_lived {
                    self.add_step(job, step, count, &mut by_pool);
                }
            }
            self.add_job(job, (since, &times), by_pool);
        }
    }

    /// Adds a step's waiting tasks to each pool that they may use.
    fn add_step(
        &mut self,
        job: &Job,
        step: &Step,
        count: usize,
        by_pool: &mut BTreeMap<Pool, Vec<Tasks>>,
    ) {
        let service = self.ledger.service(job);
        let work = step_work(&job.spec.queue, step, &self.view.estimates).expected;
        for label in BTreeSet::from([None, step.label.clone()]) {
            let pool = Pool { service: Arc::clone(service), label };
            let Some(share) = self.capacity.share(&pool, step, count) else { continue };
            let tasks = Tasks { share, seconds: work.as_secs_f64() };
            by_pool.entry(pool).or_default().push(tasks);
        }
    }

    fn add_job(
        &mut self,
        job: &Job,
        (since, times): (Time, &JobTimes),
        by_pool: BTreeMap<Pool, Vec<Tasks>>,
    ) {
        let waited = self.view.now.since(since);
        let late = waited > times.slack();
        for (pool, tasks) in by_pool {
            let class = self.class(pool, self.ledger.priority(job));
            let work = |tasks| WaitingWork { job: job.spec.id, since, tasks, late };
            class
                .waiting
                .entry(job.spec.team.clone())
                .or_default()
                .extend(tasks.into_iter().map(work));
            class.jobs += 1;
            class.slack = class.slack.saturating_add(times.slack());
            class.late |= late;
        }
    }

    fn add_running(&mut self, job: &Job) {
        let service = self.ledger.service(job);
        let priority = self.ledger.priority(job);
        let of_service = |pool: &&Pool| pool.service == *service;
        let pools: Vec<Pool> = self.demand.pools.keys().filter(of_service).cloned().collect();
        if pools.is_empty() {
            return;
        }
        let slack = job_times(self.ledger, &job.spec, &self.view.estimates).slack();
        for (run, active) in job.active_runs() {
            let Some(step) = job.step_spec(run.task.step.step) else { continue };
            let Some(worker) = self.ledger.worker(&active.incarnation) else { continue };
            if self.ledger.is_unwanted(run) {
                continue;
            }
            let left = if step.long_lived {
                f64::INFINITY
            } else {
                time_left(self.ledger, self.view, (job, step), (run, active)).as_secs_f64()
            };
            let late = began_late(job, step, run, active, slack, self.view.now);
            for pool in pools.iter().filter(|p| is_member(worker, p)) {
                let Some(share) = self.capacity.share(pool, step, 1) else { continue };
                let class = self.class(pool.clone(), priority);
                class.running.push(Tasks { share, seconds: left });
                class.late |= late;
            }
        }
    }

    fn class(&mut self, pool: Pool, priority: u32) -> &mut ClassDemand {
        self.demand.pools.entry(pool).or_default().entry(priority).or_default()
    }
}

/// Returns the time that a run has left, from its progress if that is known.
pub(super) fn time_left(
    ledger: &Ledger,
    view: &ClusterView,
    (job, step): (&Job, &Step),
    (run, active): (RunId, &ActiveRun),
) -> Duration {
    const FULL_PERCENT: u32 = 100;
    let age = view.now.since(active.assigned_at);
    let done = view.progress.get(&run).map_or(0, |p| p.percent.min(FULL_PERCENT));
    if done > 0 && active.checkpoint.is_empty() {
        return age * (FULL_PERCENT - done) / done;
    }
    let agent = ledger.worker(&active.incarnation).map(|w| &w.spec.agent);
    let speed = agent.map_or(1.0, |a| view.estimates.speed(a).factor);
    let work = step_work(&job.spec.queue, step, &view.estimates).expected.as_secs_f64();
    let whole = seconds_to_duration(work / speed);
    if done > 0 {
        whole.saturating_mul(FULL_PERCENT - done) / FULL_PERCENT
    } else {
        whole.saturating_sub(age)
    }
}

/// Returns the log time at which a job was submitted, or an occurrence of it was due.
pub(super) fn submitted_or_due(job: &Job, occurrence: u32, view: &ClusterView) -> Time {
    match job.spec.due(occurrence) {
        0 => job.submitted,
        due => view.now - Duration::from_millis(view.wall.saturating_sub(due)),
    }
}

/// Returns the number of a step's tasks that have not begun or have to begin again.
fn waiting_tasks(state: Option<&StepState>, step: &Step) -> usize {
    let Some(state) = state else { return step.count as usize };
    state.tasks.iter().filter(|t| !t.done && t.active_runs.is_empty()).count()
}

/// Whether a first run began within the last `slack`, after its job had waited for longer than
/// `slack`. Older starts do not count, so that one late start has no lasting effect.
fn began_late(
    job: &Job,
    step: &Step,
    run: RunId,
    active: &ActiveRun,
    slack: Duration,
    now: Time,
) -> bool {
    let is_first = run.run == 1 && step.depends_on.is_empty() && job.spec.times == 0;
    let just = now.since(active.assigned_at) <= slack;
    is_first && just && active.assigned_at.since(job.submitted) > slack
}
