//! Wall-clock time of decisions on a full cluster, and memory of the scheduler state.
//!
//! Wall-clock times depend on the instance, so CI does not check them.

use {
    crate::{
        decisions::{Action, Cluster, Job, JobId, Policy, PolicyEvent, Scale, Stream},
        policies::Scheduler,
    },
    bronzespool_core::Time,
    fastrand::Rng,
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{fs, time::Duration, time::Instant},
};

const SEED: u64 = 1;
/// Hours of the steady stream that fill the cluster by default.
pub const FILL_HOURS: u64 = 10;
/// Virtual time between two timed events.
const EVENT_INTERVAL: Duration = Duration::from_secs(30);
/// Number of events after which a large gang ends and is submitted again, in place of a smaller
/// job.
const GANG_PERIOD_EVENTS: usize = 20;
/// Smallest number of accelerators of a large gang.
const GANG_ACCELS_MIN: u32 = 64;
/// Longest time that the histograms can hold; longer ones are counted as this.
const HISTOGRAM_MAX_NANOS: u64 = 60_000_000_000;

/// Durations of decisions in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct DecisionTimes {
    /// Number of decisions timed.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
}

impl DecisionTimes {
    fn of(histogram: &Histogram<u64>) -> Self {
        let micros = |nanos: u64| nanos as f64 / 1e3;
        Self {
            count: histogram.len(),
            p50: micros(histogram.value_at_quantile(0.5)),
            p99: micros(histogram.value_at_quantile(0.99)),
            max: micros(histogram.max()),
        }
    }
}

/// Figures of one cluster size.
#[derive(Clone, Debug, Serialize)]
pub struct SizeFigures {
    /// Multiple of the two-year size.
    pub factor: usize,
    /// Number of workers.
    pub workers: usize,
    /// Numbers of running and of waiting jobs when the timing begins.
    pub jobs: (usize, usize),
    /// Number of running tasks when the timing begins.
    pub tasks: usize,
    /// Decisions after the end or the submission of a job, including preparations and preemptions
    /// that follow from it.
    pub decision: DecisionTimes,
    /// Decisions after the submission of a gang of 64 accelerators.
    pub gang: DecisionTimes,
    /// Time to fill the empty cluster, in seconds.
    pub fill: f64,
    /// Growth of the resident memory in MiB, from before the scheduler was created to the full
    /// cluster.
    pub memory: f64,
}

/// Resident memory of this process in MiB; zero if the operating system does not report it.
fn resident_mib() -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().next()).and_then(|n| n.parse::<f64>().ok());
    kib.unwrap_or(0.0) / 1_024.0
}

/// The scheduler with the jobs of a full cluster.
struct FilledCluster {
    policy: Scheduler,
    now: Time,
    jobs: Vec<Job>,
    running: Vec<JobId>,
    tasks: usize,
    waiting: usize,
    rng: Rng,
}

impl FilledCluster {
    /// Submits a job and returns the time taken by all decisions that follow.
    fn submit(&mut self, job: Job) -> Duration {
        let job = Job { id: self.jobs.len(), submit: self.now, ..job };
        let begin = Instant::now();
        self.policy.on_event(self.now, PolicyEvent::Submitted(&job));
        let actions = self.policy.decide(self.now);
        let elapsed = begin.elapsed();
        self.jobs.push(job);
        self.waiting += 1;
        self.apply(actions);
        elapsed
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Grant { job, slots } => {
                    self.running.push(job);
                    self.tasks += slots.len();
                    self.waiting -= 1;
                }
                Action::Stop(job) => {
                    self.running.retain(|&j| j != job);
                    self.tasks -= self.jobs[job].plan.gang as usize;
                    self.waiting += 1;
                    self.policy.on_event(self.now, PolicyEvent::Stopped(job));
                }
                Action::Refuse(_) => self.waiting -= 1,
            }
        }
    }

    /// Completes a random running job among those that `pick` accepts; returns the time taken by
    /// the decisions that follow, and the job.
    fn complete(&mut self, pick: impl Fn(&Job) -> bool) -> Option<(Duration, Job)> {
        let fitting: Vec<usize> =
            (0..self.running.len()).filter(|&i| pick(&self.jobs[self.running[i]])).collect();
        let at = *fitting.get(self.rng.usize(0..fitting.len().max(1)))?;
        let id = self.running.swap_remove(at);
        self.tasks -= self.jobs[id].plan.gang as usize;
        let begin = Instant::now();
        self.policy.on_event(self.now, PolicyEvent::Completed(id));
        let actions = self.policy.decide(self.now);
        let elapsed = begin.elapsed();
        self.apply(actions);
        Some((elapsed, self.jobs[id].clone()))
    }
}

/// Fills a cluster of `factor` times the two-year size with the jobs of `hours` hours, then times
/// `events` pairs of a job's end and its new submission.
pub fn measure(factor: usize, events: usize, hours: u64) -> SizeFigures {
    let before = resident_mib();
    let begin = Instant::now();
    let mut filled = fill(factor, hours);
    let fill = begin.elapsed().as_secs_f64();
    let memory = resident_mib() - before;
    let jobs = (filled.running.len(), filled.waiting);
    let tasks = filled.tasks;
    let new = || Histogram::<u64>::new_with_max(HISTOGRAM_MAX_NANOS, 3).expect("three digits fit");
    let (mut all, mut gangs) = (new(), new());
    let record = |into: &mut Histogram<u64>, elapsed: Duration| {
        into.saturating_record(elapsed.as_nanos() as u64);
    };
    for event in 0..events {
        filled.now += EVENT_INTERVAL;
        let large = event % GANG_PERIOD_EVENTS == GANG_PERIOD_EVENTS - 1;
        let Some((elapsed, job)) = filled.complete(|j| (j.accels() >= GANG_ACCELS_MIN) == large)
        else {
            continue;
        };
        record(&mut all, elapsed);
        let elapsed = filled.submit(job);
        record(if large { &mut gangs } else { &mut all }, elapsed);
    }
    SizeFigures {
        factor,
        workers: 890 * factor,
        jobs,
        tasks,
        decision: DecisionTimes::of(&all),
        gang: DecisionTimes::of(&gangs),
        fill,
        memory,
    }
}

fn fill(factor: usize, hours: u64) -> FilledCluster {
    let cluster = Cluster::two_year(factor);
    let scenario = Stream::Steady.scenario(Scale::TwoYear, SEED, hours);
    let mut filled = FilledCluster {
        policy: Scheduler::new(&cluster),
        now: Time::ZERO,
        jobs: Vec::new(),
        running: Vec::new(),
        tasks: 0,
        waiting: 0,
        rng: Rng::with_seed(SEED),
    };
    for job in &scenario.jobs {
        for part in 0..factor {
            filled.now += Duration::from_millis(10);
            filled.submit(Job { team: job.team + 350 * part, ..job.clone() });
        }
    }
    filled
}

/// Markdown table with one row for each size.
pub fn table(sizes: &[SizeFigures]) -> String {
    let mut text = String::from(
        "| size | workers | jobs running, waiting | tasks | decision p50 | p99 | max | gang of 64 p50 \
         | p99 | max | memory |\n|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for s in sizes {
        let times = |t: &DecisionTimes| {
            let ms = |micros: f64| micros / 1e3;
            format!("{:.2} ms | {:.2} ms | {:.2} ms", ms(t.p50), ms(t.p99), ms(t.max))
        };
        text += &format!(
            "| {}x | {} | {}, {} | {} | {} | {} | {:.0} MiB |\n",
            s.factor,
            s.workers,
            s.jobs.0,
            s.jobs.1,
            s.tasks,
            times(&s.decision),
            times(&s.gang),
            s.memory
        );
    }
    text
}
