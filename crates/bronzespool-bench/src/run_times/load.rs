//! Workers and the stream of jobs.

use {bronzespool::estimate::Kind, fastrand::Rng, std::time::Duration};

/// Number of workers of each deployment.
const WORKERS: usize = 64;
/// Runs on one worker at a time.
pub(crate) const SLOTS: usize = 4;
/// Share of the tasks that take seven times the mean.
const TAIL: f64 = 0.03;
/// Part by which tasks of one step differ, either way.
const JITTER: f64 = 0.3;
/// Part by which the declared durations of a job are off, either way.
const MISDECLARED: f64 = 0.9;
/// Most tasks of a job.
const TASKS_MAX: u32 = 9;

/// What the workers of a deployment are like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// All workers are equally fast.
    Equal,
    /// One of three data centres is 2.4 times as fast as the others.
    Centers,
    /// Fast workers are mixed with slow ones in all data centres.
    Mixed,
    /// Workers are equally fast, but an eighth of them turns slow by a factor of 8 for a third of
    /// the time.
    Turning,
}

impl Deployment {
    /// All deployments.
    pub const ALL: [Self; 4] = [Self::Equal, Self::Centers, Self::Mixed, Self::Turning];

    /// Name in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Equal => "equal",
            Self::Centers => "by data centre",
            Self::Mixed => "mixed",
            Self::Turning => "turning slow",
        }
    }
}

/// What is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The workers.
    pub deployment: Deployment,
    /// Seed of the stream.
    pub seed: u64,
    /// Time in which jobs arrive.
    pub stream: Duration,
    /// Work that arrives, as a share of what the workers can do.
    pub load: f64,
}

impl Options {
    /// The options of the published figures.
    pub const fn new(deployment: Deployment, seed: u64) -> Self {
        Self { deployment, seed, stream: Duration::from_secs(120), load: 1.2 }
    }

    /// Number of workers.
    pub(crate) const fn workers(&self) -> usize {
        WORKERS
    }

    /// Data centre of a worker.
    pub(crate) const fn center(&self, worker: usize) -> usize {
        match self.deployment {
            Deployment::Mixed => worker / (WORKERS / 3 + 1),
            _ => worker % 3,
        }
    }

    /// Speed of a worker after a share of the stream.
    pub(crate) fn speed(&self, worker: usize, share: f64) -> f64 {
        match self.deployment {
            Deployment::Equal => 1.0,
            Deployment::Centers | Deployment::Mixed => [0.7, 0.7, 1.7][worker % 3],
            Deployment::Turning if worker.is_multiple_of(8) && (0.33..0.67).contains(&share) => {
                0.125
            }
            Deployment::Turning => 1.0,
        }
    }
}

/// A kind of job.
struct Class {
    queue: &'static str,
    /// Range of the work of a step, in seconds at speed 1.
    work: [f64; 2],
    /// Allowed duration, as a multiple of the work.
    slack: f64,
    /// Time that is allowed in addition.
    latency: f64,
}

const CLASSES: [Class; 3] = [
    Class { queue: "urgent", work: [2.1, 2.5], slack: 1.5, latency: 1.0 },
    Class { queue: "checks", work: [3.0, 6.0], slack: 3.0, latency: 2.0 },
    Class { queue: "loads", work: [6.0, 10.0], slack: 3.0, latency: 2.0 },
];

/// A job of one step.
pub(crate) struct Job {
    pub(crate) arrival: f64,
    pub(crate) kind: Kind,
    pub(crate) declared: Duration,
    /// Mean work of its tasks, in seconds at speed 1.
    pub(crate) mean: f64,
    /// Work of each task.
    pub(crate) tasks: Vec<f64>,
    /// Time by which it is in time.
    pub(crate) bound: f64,
    /// Time after which it has no value.
    pub(crate) cutoff: f64,
}

/// Returns the jobs of a stream, in the order of their arrival.
pub(crate) fn jobs(options: &Options) -> Vec<Job> {
    let mut rng = Rng::with_seed(options.seed);
    let speeds: f64 = (0..options.workers()).map(|w| options.speed(w, 0.0)).sum();
    let works: f64 = CLASSES.iter().map(|c| f64::midpoint(c.work[0], c.work[1])).sum();
    let tail = 1.0 + TAIL * 6.0;
    let job_work = works / CLASSES.len() as f64 * tail * f64::from(TASKS_MAX + 1) / 2.0;
    let interval = job_work / (speeds * SLOTS as f64 * options.load);
    let mut jobs = Vec::new();
    let mut now = 0.0;
    while now < options.stream.as_secs_f64() {
        now -= interval * (1.0 - rng.f64()).ln();
        jobs.push(job(now, &mut rng));
    }
    jobs
}

fn job(arrival: f64, rng: &mut Rng) -> Job {
    let class = &CLASSES[rng.usize(..CLASSES.len())];
    let [low, high] = class.work;
    let mean = low + (high - low) * rng.f64();
    let around = |part: f64, rng: &mut Rng| 1.0 + part * (2.0 * rng.f64() - 1.0);
    let declared = Duration::from_secs_f64(mean * around(MISDECLARED, rng));
    let task = |rng: &mut Rng| {
        let tail = if rng.f64() < TAIL { 7.0 } else { 1.0 };
        mean * tail * around(JITTER, rng)
    };
    let tasks = (0..rng.u32(1..=TASKS_MAX)).map(|_| task(rng)).collect();
    let allowed = class.slack * mean + class.latency;
    Job {
        arrival,
        kind: Kind { queue: class.queue.into(), image: None },
        declared,
        mean,
        tasks,
        bound: arrival + allowed,
        cutoff: arrival + 3.0 * allowed,
    }
}
