//! Times and counts of single plans of a full cluster in front of which jobs wait.
//!
//! Each round changes the ledger a little, as a commit does, and plans once: either one run ends or
//! one job is submitted. Some rounds submit a wide gang or a wide step. Only the plan is timed. The
//! decisions depend on the options alone, so that equal hashes show equal decisions.

use {
    crate::size::{
        Options,
        load::{CAPACITY, Load, config, worker_spec},
    },
    bronzespool::{
        batch::{
            Event, JobId, JobSpec, Ledger, Record, Resources, RunId, Step,
            ledger::{Job, RunEnd, RunOutcome},
            plan::{ClusterView, Planner, Progress},
        },
        core::{HashMap, Time},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(5);
/// Time that a stop takes.
const STOP_ROUNDS: u64 = 80;
/// Rounds before those that are timed.
const WARM_UP_ROUNDS: u64 = 30;
/// A wide gang or step is submitted once in so many rounds.
const WIDE_INTERVAL: u64 = 10;
/// Number of tasks of a wide gang and of a wide step.
const WIDE_TASKS: [u32; 2] = [150, 470];

/// A full cluster in front of which jobs wait.
#[derive(Clone, Copy, Debug)]
pub struct Backlog {
    /// Number of workers.
    pub workers: usize,
    /// Number of teams.
    pub teams: usize,
    /// Number of waiting jobs when the first round begins.
    pub waiting: usize,
    /// Number of rounds.
    pub rounds: u64,
    /// Seed of the jobs.
    pub seed: u64,
}

/// Times and counts of the plans of one backlog.
#[derive(Clone, Debug)]
pub struct PlanTimes {
    /// The backlog.
    pub backlog: Backlog,
    /// Times of the plans after a small change, after a wide gang and after a wide step, sorted.
    pub times: [Vec<Duration>; 3],
    /// Most steps of loops of one plan.
    pub steps_max: u64,
    /// Hash of all decisions.
    pub hash: u64,
    /// Number of proposed events.
    pub events: usize,
    /// Number of runs on workers after the last round.
    pub runs: usize,
}

impl PlanTimes {
    /// Head of the printed table.
    pub const HEAD: &str = "| workers | teams | waiting | runs | change | plans | median, ms | p99, ms | most, ms | most steps | events | hash |\n|---|---|---|---|---|---|---|---|---|---|---|---|";
}

impl fmt::Display for PlanTimes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Backlog { workers, teams, waiting, .. } = self.backlog;
        let millis = |times: &[Duration], percent: usize| {
            let at = (times.len() * percent).div_ceil(100).saturating_sub(1);
            times.get(at).map_or(0.0, |t| t.as_secs_f64() * 1e3)
        };
        for (name, times) in ["small", "gang of 150", "step of 470"].iter().zip(&self.times) {
            let [median, p99, most] = [50, 99, 100].map(|percent| millis(times, percent));
            let (runs, count) = (self.runs, times.len());
            write!(f, "| {workers} | {teams} | {waiting} | {runs} | {name} | {count} ")?;
            write!(f, "| {median:.2} | {p99:.2} | {most:.2} ")?;
            writeln!(f, "| {} | {} | {:016x} |", self.steps_max, self.events, self.hash)?;
        }
        Ok(())
    }
}

/// Plans once in each round, and returns the times and counts.
pub fn plan_times(backlog: &Backlog) -> PlanTimes {
    let mut cluster = FullCluster::new(backlog);
    for round in 0..WARM_UP_ROUNDS {
        cluster.end_stopped(u64::MAX);
        cluster.plan(round);
        cluster.now += ROUND;
    }
    let mut result = PlanTimes {
        backlog: *backlog,
        times: Default::default(),
        steps_max: 0,
        hash: 0,
        events: 0,
        runs: 0,
    };
    for round in 0..backlog.rounds {
        cluster.now += ROUND;
        cluster.end_stopped(round);
        let change = cluster.change(round);
        let (time, events) = cluster.plan(round);
        result.times[change].push(time);
        result.events += events.len();
        result.hash = events.iter().fold(result.hash, add_to_hash);
        result.steps_max = result.steps_max.max(cluster.planner.steps().sum());
    }
    result.times.iter_mut().for_each(|times| times.sort());
    result.runs = cluster.ledger.workers().map(|w| w.runs.len()).sum();
    result
}

/// Adds the encoding of an event to an FNV-1a hash.
fn add_to_hash(hash: u64, event: &Event) -> u64 {
    let bytes = postcard::to_stdvec(event).unwrap_or_default();
    bytes.iter().fold(hash, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

struct FullCluster {
    ledger: Ledger,
    planner: Planner,
    now: Time,
    load: Load,
    /// Number of jobs of the load that are submitted.
    submitted: usize,
    /// Rounds in which stopped runs end.
    stops: BTreeMap<u64, BTreeSet<RunId>>,
}

impl FullCluster {
    fn new(backlog: &Backlog) -> Self {
        let options = Options {
            teams: backlog.teams,
            // Enough jobs to fill the cluster and to wait in front of it.
            load: 40.0 * 240.0 / backlog.workers as f64 * (backlog.waiting as f64 / 2_000.0 + 0.2),
            ..Options::new(backlog.workers, backlog.seed)
        };
        let mut cluster = Self {
            ledger: Ledger::default(),
            planner: Planner::default(),
            now: Time::from_secs(100),
            load: Load::new(&options),
            submitted: 0,
            stops: BTreeMap::new(),
        };
        cluster.apply(Event::Configured(Arc::new(config(&options))));
        for worker in 0..backlog.workers {
            cluster.apply(Event::WorkerUp(Box::new(worker_spec(worker))));
        }
        cluster.fill(backlog);
        for _ in 0..backlog.waiting {
            cluster.submit();
        }
        cluster
    }

    /// Submits jobs that would take the whole cluster, and starts them.
    fn fill(&mut self, backlog: &Backlog) {
        let whole = CAPACITY.gpu * backlog.workers as u64;
        let mut sum = 0;
        while sum < whole + whole / 4 {
            let steps = &self.load.jobs[self.submitted].spec.steps;
            sum += steps.first().map_or(0, |s| s.need.gpu * u64::from(s.count));
            self.submit();
        }
        for round in 0..WARM_UP_ROUNDS {
            self.end_stopped(u64::MAX);
            self.plan(round);
            self.now += ROUND;
        }
    }

    fn apply(&mut self, event: Event) {
        self.ledger.apply(&Record { at: self.now, events: vec![event] });
    }

    fn submit(&mut self) {
        let spec = Arc::clone(&self.load.jobs[self.submitted].spec);
        self.submitted += 1;
        self.apply(Event::Submitted(spec));
    }

    /// Changes the ledger a little. Returns the kind of change: small, a wide gang, a wide step.
    fn change(&mut self, round: u64) -> usize {
        let kind = match round % WIDE_INTERVAL {
            3 => 1,
            7 => 2,
            _ => 0,
        };
        if kind > 0 {
            self.apply(Event::Submitted(wide_job(round, kind)));
        } else if round.is_multiple_of(2) {
            self.submit();
        } else {
            self.end_oldest();
        }
        kind
    }

    /// Ends the run that has been on its worker for the longest time.
    fn end_oldest(&mut self) {
        let active = self.ledger.jobs().flat_map(Job::active_runs);
        let oldest = active.filter(|(_, r)| !r.stopping).min_by_key(|(id, r)| (r.assigned_at, *id));
        if let Some(run) = oldest.map(|(id, _)| id) {
            self.end(run, RunOutcome::Done);
        }
    }

    fn end(&mut self, run: RunId, outcome: RunOutcome) {
        let Some(active) = self.ledger.active_run(run) else { return };
        let incarnation = active.incarnation.clone();
        let number = self.ledger.worker(&incarnation).map_or(0, |w| w.cursor) + 1;
        let end = RunEnd { number, run, outcome, checkpoint: "".into() };
        self.apply(Event::Ended { incarnation, ends: vec![end] });
    }

    /// Ends the runs whose stop is over by a round.
    fn end_stopped(&mut self, round: u64) {
        while let Some(entry) = self.stops.first_entry().filter(|e| *e.key() <= round) {
            for run in entry.remove() {
                self.end(run, RunOutcome::Stopped);
            }
        }
    }

    /// Plans once and applies the events.
    fn plan(&mut self, round: u64) -> (Duration, Vec<Event>) {
        let view = self.view();
        let begun = Instant::now();
        let events = self.planner.plan(&self.ledger, &view);
        let time = begun.elapsed();
        for event in &events {
            if let Event::Stopping { runs, .. } = event {
                self.stops.entry(round + STOP_ROUNDS).or_default().extend(runs);
            }
        }
        self.ledger.apply(&Record { at: self.now, events: events.clone() });
        (time, events)
    }

    /// Returns a view in which each run has made progress as its job declares.
    fn view(&self) -> ClusterView {
        let workers = self.ledger.workers().map(|w| w.spec.incarnation.worker.clone());
        let mut progress = HashMap::default();
        for (id, run) in self.ledger.jobs().flat_map(Job::active_runs) {
            let spec =
                self.ledger.job(id.task.step.job).and_then(|j| j.step_spec(id.task.step.step));
            let whole = spec.map_or(1, |s| s.estimate.max(1));
            let age = self.now.since(run.assigned_at).as_millis() as u64;
            let percent = (age * 100 / whole).min(99) as u32;
            progress.insert(id, Progress { checkpoint: "".into(), percent });
        }
        ClusterView {
            now: self.now,
            wall: self.now.as_millis(),
            schedulable: workers.collect(),
            progress,
            ..ClusterView::default()
        }
    }
}

/// A job of the first priority with one wide gang, or one of the last with one wide step.
fn wide_job(round: u64, kind: usize) -> Arc<JobSpec> {
    let gang = kind == 1;
    let step = Step {
        count: WIDE_TASKS[kind - 1],
        need: Resources { cpu: 5_600, memory: 23_000, gpu: 1 },
        estimate: 2_500,
        gang,
        single_rack: gang,
        ..Step::default()
    };
    Arc::new(JobSpec {
        id: JobId(u64::MAX - round),
        queue: if gang { "quota" } else { "loads" }.into(),
        team: Some("team-0".into()),
        text: "".into(),
        steps: vec![step],
        times: 0,
        start: 0,
        interval: 0,
    })
}
