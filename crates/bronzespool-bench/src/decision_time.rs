//! Wall-clock time of decisions on a full cluster, and the memory that the book takes.
//!
//! A verdict on wall-clock speed depends on the machine, so this is no check of CI.

use {
    crate::{
        decisions::{Action, Cluster, Input, Job, JobId, Policy, Scale, Stream},
        policies::Scheduler,
    },
    bronzespool_core::Time,
    fastrand::Rng,
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{fs, time::Duration, time::Instant},
};

const SEED: u64 = 1;
/// Hours of the steady stream that fill the cluster, unless told otherwise.
pub const FILL: u64 = 10;
/// Virtual time between two events.
const STEP: Duration = Duration::from_secs(30);
/// Every so many events a large gang ends and another one is submitted.
const GANG_EVERY: usize = 20;
/// Least accelerators of a large gang.
const GANG: u32 = 64;
/// Longest time that a histogram holds, in nanoseconds.
const MOST: u64 = 60_000_000_000;

/// Times of one kind of decision in microseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Times {
    /// Decisions timed.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest.
    pub max: f64,
}

impl Times {
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

/// Figures at one size.
#[derive(Clone, Debug, Serialize)]
pub struct Size {
    /// Size as a multiple of the two-year size.
    pub factor: usize,
    /// Workers.
    pub workers: usize,
    /// Jobs that run and wait when the timing begins.
    pub jobs: (usize, usize),
    /// Tasks that run then.
    pub tasks: usize,
    /// An end and a submission, each with all that follows from them.
    pub decision: Times,
    /// Decisions after the submission of a gang of 64.
    pub gang: Times,
    /// Time to fill the empty cluster, in seconds.
    pub fill: f64,
    /// Growth of the resident memory in MiB since before the book was made.
    pub memory: f64,
}

/// Resident memory in MiB, zero where the system does not tell.
fn resident() -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().next()).and_then(|n| n.parse::<f64>().ok());
    kib.unwrap_or(0.0) / 1_024.0
}

struct Bench {
    policy: Scheduler,
    now: Time,
    jobs: Vec<Job>,
    running: Vec<JobId>,
    tasks: usize,
    waiting: usize,
    rng: Rng,
}

impl Bench {
    /// Submits a job and returns the time that all decisions which follow take.
    fn submit(&mut self, job: Job) -> Duration {
        let job = Job { id: self.jobs.len(), submit: self.now, ..job };
        let begin = Instant::now();
        self.policy.input(self.now, Input::Submitted(&job));
        let actions = self.policy.decide(self.now);
        let took = begin.elapsed();
        self.jobs.push(job);
        self.waiting += 1;
        self.note(actions);
        took
    }

    fn note(&mut self, actions: Vec<Action>) {
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
                    self.policy.input(self.now, Input::Stopped(job));
                }
                Action::Refuse(_) => self.waiting -= 1,
            }
        }
    }

    /// Ends a running job that `pick` allows.
    fn complete(&mut self, pick: impl Fn(&Job) -> bool) -> Option<(Duration, Job)> {
        let fitting: Vec<usize> =
            (0..self.running.len()).filter(|&i| pick(&self.jobs[self.running[i]])).collect();
        let at = *fitting.get(self.rng.usize(0..fitting.len().max(1)))?;
        let id = self.running.swap_remove(at);
        self.tasks -= self.jobs[id].plan.gang as usize;
        let begin = Instant::now();
        self.policy.input(self.now, Input::Completed(id));
        let actions = self.policy.decide(self.now);
        let took = begin.elapsed();
        self.note(actions);
        Some((took, self.jobs[id].clone()))
    }
}

/// Fills a cluster of `factor` times the two-year size with the jobs of so many hours and times `events` ends and submissions.
pub fn measure(factor: usize, events: usize, hours: u64) -> Size {
    let before = resident();
    let begin = Instant::now();
    let mut bench = fill(factor, hours);
    let fill = begin.elapsed().as_secs_f64();
    let memory = resident() - before;
    let jobs = (bench.running.len(), bench.waiting);
    let tasks = bench.tasks;
    let new = || Histogram::<u64>::new_with_max(MOST, 3).expect("three digits fit");
    let (mut all, mut gangs) = (new(), new());
    let record = |into: &mut Histogram<u64>, took: Duration| {
        into.saturating_record(took.as_nanos() as u64);
    };
    for event in 0..events {
        bench.now += STEP;
        let large = event % GANG_EVERY == GANG_EVERY - 1;
        let Some((took, job)) = bench.complete(|j| (j.accels() >= GANG) == large) else { continue };
        record(&mut all, took);
        let took = bench.submit(job);
        record(if large { &mut gangs } else { &mut all }, took);
    }
    Size {
        factor,
        workers: 890 * factor,
        jobs,
        tasks,
        decision: Times::of(&all),
        gang: Times::of(&gangs),
        fill,
        memory,
    }
}

fn fill(factor: usize, hours: u64) -> Bench {
    let cluster = Cluster::two_year(factor);
    let scenario = Stream::Steady.scenario(Scale::TwoYear, SEED, hours);
    let mut bench = Bench {
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
            bench.now += Duration::from_millis(10);
            bench.submit(Job { team: job.team + 350 * part, ..job.clone() });
        }
    }
    bench
}

/// One row for each size.
pub fn table(sizes: &[Size]) -> String {
    let mut text = String::from(
        "| size | workers | jobs running, waiting | tasks | decision p50 | p99 | max | gang of 64 p50 \
         | p99 | max | memory |\n|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for s in sizes {
        let times = |t: &Times| {
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
