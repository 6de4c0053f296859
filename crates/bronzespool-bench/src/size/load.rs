//! The stream of jobs, the workers and the configuration, for a cluster of any size.

use {
    crate::size::Options,
    bronzespool::{
        batch::{
            Config, JobId, JobSpec, Resources, Step, WorkerIncarnation,
            config::{Pool, Queue, Team},
            id::TaskId,
            ledger::WorkerSpec,
        },
        core::{HashMap, Instance, Time},
    },
    std::{f64::consts::TAU, sync::Arc, time::Duration},
};

/// Workers for which [`JOBS_PER_SECOND`] is the rate.
const BASE_WORKERS: f64 = 240.0;
/// Mean number of jobs a second on [`BASE_WORKERS`] workers.
const JOBS_PER_SECOND: f64 = 5.5;
/// Amplitude of the wave in the rate of arrivals, relative to the mean.
const WAVE_AMPLITUDE: f64 = 0.15;
/// Period of the wave.
const WAVE_SECS: f64 = 11.0;
/// Begin and end of the burst of priority zero.
const BURST_SECS: (f64, f64) = (7.45, 13.45);
/// Factor of the rate of priority zero in the burst.
const BURST_FACTOR: f64 = 2.3;
/// Spread of the logarithm of the number of tasks.
const WIDTH_LOG_SD: f64 = 0.8;
/// Bounds of the factor between the declared and the actual duration.
const ACTUAL_FACTOR: (f64, f64) = (0.7, 1.3);
/// Workers in one rack.
const RACK_WORKERS: usize = 20;
/// Share of the accelerators that are guaranteed to teams.
const GUARANTEED_SHARE: f64 = 0.62;
/// Labels, each on the same number of workers.
const LABELS: [&str; 2] = ["a", "b"];
/// Accelerators of one worker.
pub(super) const WORKER_ACCELERATORS: u64 = 8;
/// Bytes of the payload of a job.
const TEXT_BYTES: usize = 120;
/// Time at which the first job may arrive; by then all workers are known.
pub(super) const STREAM_START: Time = Time::from_secs(2);

/// A kind of jobs.
struct Kind {
    queue: &'static str,
    priority: u32,
    /// Share in all jobs.
    share: f64,
    steps_max: u16,
    /// Mean number of tasks of a job, and the most.
    tasks: (f64, u32),
    estimate: u64,
    need: Resources,
    /// Accelerators of one task; one of these is drawn for each job.
    gpus: &'static [u64],
    gang_chance: f64,
    rack_chance: f64,
    checkpoint_chance: f64,
    label_chance: f64,
    slack: u64,
    latency_target: u64,
}

/// Slack of priority one, for which the stream names none, is the planner's default.
const KINDS: [Kind; 3] = [
    Kind {
        queue: "quota",
        priority: 0,
        share: 0.692,
        steps_max: 1,
        tasks: (7.6, 46),
        estimate: 2_500,
        need: Resources { cpu: 7_500, memory: 39_000, gpu: 0 },
        gpus: &[1, 2, 4, 8, 8],
        gang_chance: 1.0,
        rack_chance: 0.8,
        checkpoint_chance: 0.0,
        label_chance: 0.0,
        slack: 1_500,
        latency_target: 250,
    },
    Kind {
        queue: "history",
        priority: 1,
        share: 0.158,
        steps_max: 1,
        tasks: (25.0, 200),
        estimate: 6_800,
        need: Resources { cpu: 26_000, memory: 140_000, gpu: 0 },
        gpus: &[1, 2, 4, 8, 8],
        gang_chance: 0.6,
        rack_chance: 1.0,
        checkpoint_chance: 0.45,
        label_chance: 0.3,
        slack: 2_000,
        latency_target: 0,
    },
    Kind {
        queue: "loads",
        priority: 2,
        share: 0.149,
        steps_max: 3,
        tasks: (78.0, 470),
        estimate: 6_100,
        need: Resources { cpu: 5_600, memory: 23_000, gpu: 0 },
        gpus: &[1],
        gang_chance: 0.0,
        rack_chance: 0.0,
        checkpoint_chance: 0.45,
        label_chance: 0.0,
        slack: 3_000,
        latency_target: 0,
    },
];

/// Name of the service that all workers belong to.
const SERVICE: &str = "site";

/// A job of the stream.
#[derive(Clone, Debug)]
pub(super) struct PlannedJob {
    pub(super) spec: Arc<JobSpec>,
    pub(super) submit: Time,
    pub(super) priority: u32,
    /// Allowed duration.
    pub(super) allowed: Duration,
}

/// The stream of jobs.
#[derive(Clone, Debug)]
pub(super) struct Load {
    pub(super) jobs: Vec<PlannedJob>,
    by_id: HashMap<JobId, usize>,
    seed: u64,
}

impl Load {
    pub(super) fn new(options: &Options) -> Self {
        let mut rng = fastrand::Rng::with_seed(options.seed);
        let mut jobs = Vec::new();
        for kind in &KINDS {
            add_jobs(&mut jobs, &mut rng, options, kind);
        }
        jobs.sort_by_key(|j| (j.submit, j.spec.id));
        let by_id = jobs.iter().enumerate().map(|(i, j)| (j.spec.id, i)).collect();
        Self { jobs, by_id, seed: options.seed }
    }

    /// Returns the job with an identifier.
    pub(super) fn job(&self, id: JobId) -> Option<&PlannedJob> {
        self.by_id.get(&id).map(|i| &self.jobs[*i])
    }

    /// Returns the time that a task works. The members of a gang work equally long.
    pub(super) fn duration(&self, task: TaskId) -> Duration {
        let step =
            self.job(task.step.job).and_then(|j| j.spec.steps.get(usize::from(task.step.step)));
        let Some(step) = step else { return Duration::ZERO };
        let index = if step.gang { 0 } else { u64::from(task.index) + 1 };
        let key = [task.step.job.0, u64::from(task.step.step), index];
        let seed = key.iter().fold(self.seed, |h, k| (h ^ k).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let factor = uniform(&mut fastrand::Rng::with_seed(seed), ACTUAL_FACTOR);
        Duration::from_millis((step.estimate as f64 * factor) as u64)
    }
}

fn uniform(rng: &mut fastrand::Rng, (low, high): (f64, f64)) -> f64 {
    low + rng.f64() * (high - low)
}

/// Adds the arrivals of one kind: a Poisson process at the highest rate, thinned to the rate of the
/// moment.
fn add_jobs(jobs: &mut Vec<PlannedJob>, rng: &mut fastrand::Rng, options: &Options, kind: &Kind) {
    let mean = JOBS_PER_SECOND * kind.share * options.load * options.workers as f64 / BASE_WORKERS;
    let peak = mean * (1.0 + WAVE_AMPLITUDE) * BURST_FACTOR;
    let mut secs = 0.0;
    loop {
        secs -= rng.f64().max(f64::MIN_POSITIVE).ln() / peak;
        if secs >= options.stream.as_secs_f64() {
            return;
        }
        let wave = 1.0 + WAVE_AMPLITUDE * (TAU * secs / WAVE_SECS).sin();
        let in_burst = kind.priority == 0 && secs >= BURST_SECS.0 && secs < BURST_SECS.1;
        let burst = if in_burst { BURST_FACTOR } else { 1.0 };
        if rng.f64() * peak < mean * wave * burst {
            let submit = STREAM_START + Duration::from_secs_f64(secs);
            jobs.push(planned_job(rng, options, kind, submit));
        }
    }
}

fn planned_job(
    rng: &mut fastrand::Rng,
    options: &Options,
    kind: &Kind,
    submit: Time,
) -> PlannedJob {
    let gpu = kind.gpus[rng.usize(0..kind.gpus.len())];
    let label = (rng.f64() < kind.label_chance).then(|| LABELS[rng.usize(0..LABELS.len())].into());
    let gang = rng.f64() < kind.gang_chance;
    let proto = Step {
        need: Resources { gpu, ..kind.need },
        estimate: kind.estimate,
        checkpoints: rng.f64() < kind.checkpoint_chance,
        gang,
        single_rack: gang && rng.f64() < kind.rack_chance,
        label,
        ..Step::default()
    };
    let widest = if gang { gang_max(options, &proto) } else { u32::MAX };
    let tasks = width(rng, kind).min(widest);
    let steps = rng.u16(1..=kind.steps_max).min(u16::try_from(tasks).unwrap_or(u16::MAX));
    let chain = u64::from(steps) * kind.estimate;
    let spec = JobSpec {
        id: JobId(rng.u64(..)),
        queue: kind.queue.into(),
        team: Some(team_name(rng.usize(0..options.teams))),
        text: "x".repeat(TEXT_BYTES).into(),
        steps: (0..steps).map(|i| split_step(&proto, tasks, i, steps)).collect(),
        times: 0,
        start: 0,
        interval: 0,
    };
    PlannedJob {
        spec: Arc::new(spec),
        submit,
        priority: kind.priority,
        allowed: Duration::from_millis(chain * kind.slack / 1_000 + kind.latency_target),
    }
}

/// One step of a job, whose tasks are shared equally among its steps; each step depends on the one
/// before it.
fn split_step(proto: &Step, tasks: u32, index: u16, steps: u16) -> Step {
    let extra = u32::from(u32::from(index) < tasks % u32::from(steps));
    Step {
        count: tasks / u32::from(steps) + extra,
        depends_on: index.checked_sub(1).into_iter().collect(),
        ..proto.clone()
    }
}

/// Draws a log-normal number of tasks by the Box-Muller transform.
fn width(rng: &mut fastrand::Rng, kind: &Kind) -> u32 {
    let (mean, max) = kind.tasks;
    let (u, v) = (rng.f64().max(f64::MIN_POSITIVE), rng.f64());
    let normal = (-2.0 * u.ln()).sqrt() * (TAU * v).cos();
    let median = mean * (-WIDTH_LOG_SD * WIDTH_LOG_SD / 2.0).exp();
    ((median * (WIDTH_LOG_SD * normal).exp()).round() as u32).clamp(1, max)
}

/// Widest gang: it takes at most half of the workers that it may run on.
fn gang_max(options: &Options, step: &Step) -> u32 {
    let fits = |max: u64, need: u64| max.checked_div(need).unwrap_or(u64::MAX);
    let whole = CAPACITY;
    let each = fits(whole.cpu, step.need.cpu)
        .min(fits(whole.memory, step.need.memory))
        .min(fits(whole.gpu, step.need.gpu));
    let workers = options.gang_base / if step.label.is_some() { LABELS.len() } else { 1 };
    (workers as u64 / 2 * each).max(1) as u32
}

/// Resources of one worker.
pub(super) const CAPACITY: Resources =
    Resources { cpu: 64_000, memory: 262_144, gpu: WORKER_ACCELERATORS };

fn team_name(team: usize) -> Arc<str> {
    format!("team-{team}").into()
}

/// Returns the configuration: a queue for each kind and the guarantees of all teams.
pub(super) fn config(options: &Options) -> Config {
    let accelerators = options.workers as f64 * WORKER_ACCELERATORS as f64;
    let guaranteed = (accelerators * GUARANTEED_SHARE / options.teams as f64) as u64;
    let team = |i| Team { name: team_name(i), keys: Vec::new(), guaranteed };
    let queue = |kind: &Kind| Queue {
        name: kind.queue.into(),
        host: "site.example".into(),
        prefix: format!("/{}/", kind.queue).into(),
        service: SERVICE.into(),
        priority: kind.priority,
        attempts: 3,
        slack: kind.slack,
        latency_target: kind.latency_target,
        timeout: 3_000,
        public: false,
        advice: None,
    };
    Config {
        version: 1,
        queues: KINDS.iter().map(queue).collect(),
        pools: vec![Pool { name: SERVICE.into(), sheds_load: false, standby: false }],
        teams: (0..options.teams).map(team).collect(),
        ..Config::default()
    }
}

/// Returns the name of the agent beside a worker.
pub(super) fn agent_name(worker: usize) -> Instance {
    Instance::try_from(format!("side-{worker}")).expect("the name is valid")
}

/// Returns a worker's description of itself.
pub(super) fn worker_spec(worker: usize) -> WorkerSpec {
    WorkerSpec {
        incarnation: WorkerIncarnation { worker: format!("w{worker:05}").into(), started_at: 1 },
        agent: agent_name(worker),
        service: SERVICE.into(),
        center: "c1".into(),
        labels: vec![LABELS[worker % LABELS.len()].into(), format!("r{}", rack(worker)).into()],
        capacity: CAPACITY,
        leaving: false,
    }
}

/// Returns the number of a worker's rack.
pub(super) const fn rack(worker: usize) -> usize {
    worker / RACK_WORKERS
}
