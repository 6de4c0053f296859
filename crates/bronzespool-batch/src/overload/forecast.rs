//! When a job that is submitted now would be started.

use {
    crate::{
        id::{JobId, RunId},
        ledger::{Ledger, Worker},
        overload::{
            Overload,
            admission::{Accepted, Candidate},
            demand::{
                ClassDemand, Pool, TaskCapacity, Tasks, drain_seconds, seconds_to_duration,
                time_left,
            },
            times::{DECLARED_FACTOR, step_work},
        },
        plan::ClusterView,
        spec::{Resources, Step},
    },
    bronzespool_core::{HashMap, Time},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Time that a stop takes.
const STOP_TIME: Duration = Duration::from_millis(900);

/// Returns the earliest time at which all first steps of a job could start if it were served next;
/// `None` if one of them fits on no workers. Runs count with the least time that they may have left,
/// and those of a lower priority as stopped.
pub(super) fn earliest_start(
    ledger: &Ledger,
    view: &ClusterView,
    capacity: &TaskCapacity<'_>,
    candidate: &Candidate<'_>,
) -> Option<Duration> {
    let mut latest = Duration::ZERO;
    for step in candidate.spec.steps.iter().filter(|s| s.depends_on.is_empty()) {
        let mut pools = candidate.work.keys().filter(|p| p.label == step.label);
        let pool = pools.next()?;
        let needed = if step.gang { u64::from(step.count) } else { 1 };
        let free: u64 =
            capacity.workers(pool).map(|w| w.free().count(&step.allocation())).fold(0, add);
        if free >= needed {
            continue;
        }
        let mut releases: Vec<(Duration, u64)> = Vec::new();
        for worker in capacity.workers(pool) {
            add_releases(ledger, view, (worker, step, candidate.priority), &mut releases);
        }
        releases.sort_unstable();
        let mut sum = 0;
        let enough = releases.iter().find(|(_, count)| {
            sum = add(sum, *count);
            sum >= needed
        });
        latest = latest.max(enough?.0);
    }
    Some(latest)
}

const fn add(sum: u64, count: u64) -> u64 {
    sum.saturating_add(count)
}

/// Adds when tasks of a step fit on a worker, and how many more than before.
fn add_releases(
    ledger: &Ledger,
    view: &ClusterView,
    (worker, step, priority): (&Worker, &Step, u32),
    releases: &mut Vec<(Duration, u64)>,
) {
    let need = step.allocation();
    let ends = worker.runs.iter().filter_map(|(run, allocation)| {
        Some((release_time(ledger, view, *run, priority)?, *allocation))
    });
    let mut ends: Vec<(Duration, Resources)> = ends.collect();
    ends.sort_unstable_by_key(|(at, _)| *at);
    let mut free = worker.free();
    let mut count = free.count(&need);
    releases.push((Duration::ZERO, count));
    for (at, allocation) in ends {
        free = free.plus(&allocation);
        let now = free.count(&need);
        releases.push((at, now - count));
        count = now;
    }
}

/// Returns when a run may have released its resources at the earliest; `None` if it runs on.
fn release_time(
    ledger: &Ledger,
    view: &ClusterView,
    run: RunId,
    priority: u32,
) -> Option<Duration> {
    let Some(job) = ledger.job(run.task.step.job) else { return Some(Duration::ZERO) };
    if ledger.is_unwanted(run) || ledger.priority(job) > priority {
        return Some(STOP_TIME);
    }
    let (step, active) = (job.step_spec(run.task.step.step)?, job.active_run(run)?);
    if step.long_lived {
        return None;
    }
    let percent = view.progress.get(&run).map_or(0, |p| p.percent);
    let evidence = step_work(&job.spec.queue, step, &view.estimates).samples;
    if percent > 0 || evidence > 0 {
        // A percentage is rounded down, so up to one more may be done.
        let left = time_left(ledger, view, (job, step), (run, active));
        return Some(left.saturating_sub(left / percent.saturating_add(1)));
    }
    let least = Duration::from_millis(step.estimate) / DECLARED_FACTOR;
    Some(least.saturating_sub(view.now.since(active.assigned_at)))
}

/// Returns the time that the work ahead of a job takes in the order of overload; `None` if its
/// class is not overloaded, also with the jobs that were accepted since the latest assessment.
pub(super) fn queue_ahead(
    overload: &Overload,
    accepted: &BTreeMap<JobId, Accepted>,
    places: &HashMap<JobId, Time>,
    candidate: &Candidate<'_>,
) -> Option<Duration> {
    let of_pool = |(pool, tasks): (&Pool, &Vec<Tasks>)| {
        let ahead = Ahead::new(overload, accepted, places, candidate, pool);
        let state = overload.class(pool, candidate.priority);
        let wait = seconds_to_duration(drain_seconds(ahead.all.clone()));
        let overloaded = state.overloaded || wait > state.limit.max(candidate.times.slack());
        overloaded.then(|| seconds_to_duration(ahead.before(tasks)))
    };
    candidate.work.iter().filter_map(of_pool).max()
}

/// Tasks ahead of a job in one pool.
#[derive(Default)]
struct Ahead {
    /// All tasks of the job's priority and above.
    all: Vec<Tasks>,
    /// The running tasks, and all of higher priorities.
    first: Vec<Tasks>,
    /// Tasks of the job's own team that go before it.
    own: Vec<Tasks>,
    /// Tasks of the same priority, by other teams.
    others: BTreeMap<Option<Arc<str>>, Vec<Tasks>>,
}

impl Ahead {
    fn new(
        overload: &Overload,
        accepted: &BTreeMap<JobId, Accepted>,
        places: &HashMap<JobId, Time>,
        candidate: &Candidate<'_>,
        pool: &Pool,
    ) -> Self {
        let mut ahead = Self::default();
        for (&priority, class) in overload.demand().pools.get(pool).into_iter().flatten() {
            if priority <= candidate.priority {
                ahead.add_class(priority, class, places, candidate);
            }
        }
        for job in accepted.values().filter(|a| a.priority <= candidate.priority) {
            let is_before = job.priority < candidate.priority;
            for tasks in job.work.get(pool).into_iter().flatten() {
                ahead.all.push(*tasks);
                ahead.add_tasks(is_before, &job.team, *tasks, candidate);
            }
        }
        ahead
    }

    fn add_class(
        &mut self,
        priority: u32,
        class: &ClassDemand,
        places: &HashMap<JobId, Time>,
        candidate: &Candidate<'_>,
    ) {
        self.all.extend(class.tasks());
        self.first.extend(&class.running);
        let is_before = priority < candidate.priority;
        for (team, waiting) in &class.waiting {
            for work in waiting {
                let came = places.get(&work.job).copied().unwrap_or(work.since);
                if is_before || *team != candidate.spec.team || came <= candidate.first {
                    self.add_tasks(is_before, team, work.tasks, candidate);
                }
            }
        }
    }

    fn add_tasks(
        &mut self,
        is_before: bool,
        team: &Option<Arc<str>>,
        tasks: Tasks,
        candidate: &Candidate<'_>,
    ) {
        if is_before {
            self.first.push(tasks);
        } else if *team == candidate.spec.team {
            self.own.push(tasks);
        } else {
            self.others.entry(team.clone()).or_default().push(tasks);
        }
    }

    /// Returns the seconds until a job would start. While its team's work is served, each other team is
    /// served as much.
    fn before(mut self, job: &[Tasks]) -> f64 {
        let work = |tasks: &[Tasks]| tasks.iter().map(Tasks::work).sum::<f64>();
        let each = work(&self.own) + work(job);
        self.first.append(&mut self.own);
        for tasks in self.others.values() {
            let part = (each / work(tasks)).min(1.0);
            self.first.extend(tasks.iter().map(|t| Tasks { share: t.share * part, ..*t }));
        }
        drain_seconds(self.first)
    }
}
