//! Names, limits and specifications of the modelled system.

use {
    bronzespool_batch::{
        JobId, RunId, StepId, TaskId, WorkerIncarnation,
        agent::Limits,
        config::{Config, Pool, Queue},
        ledger::WorkerSpec,
        spec::{JobSpec, Resources, Step},
    },
    bronzespool_core::Instance,
    std::time::Duration,
};

/// Limits that the platform sets.
pub(crate) const LIMITS: Limits =
    Limits { lease_max: Duration::from_secs(2), heartbeat_interval: Duration::from_millis(600) };
/// Time for which the leader lets an agent extend leases.
pub(crate) const LEASE: Duration = Duration::from_millis(1_500);
/// Rate of the worker's clock, in percent of true time.
pub(crate) const CLOCK_RATE_PERCENT: u64 = 98;
/// Number of the agent's first process.
pub(crate) const FIRST_PROCESS: u32 = 1;
/// Name of the worker that is modelled in full.
pub(crate) const HOME: &str = "w0";
/// Data centre of that worker.
pub(crate) const HOME_CENTER: &str = "c1";
/// Name of the ideal worker that runs the tasks which the leader assigns elsewhere.
pub(crate) const ELSEWHERE: &str = "w9";

/// Returns a run of the only task of a job.
pub(crate) fn run(job: u64, number: u32) -> RunId {
    let step = StepId { job: JobId(job), occurrence: 0, step: 0 };
    RunId { task: TaskId { step, index: 0 }, run: number }
}

/// Returns the agent of the worker that is modelled in full.
pub(crate) fn agent_name() -> Instance {
    Instance::try_from("side-1").unwrap()
}

/// Returns an incarnation of a worker.
pub(crate) fn incarnation(worker: &str, started_at: u64) -> WorkerIncarnation {
    WorkerIncarnation { worker: worker.into(), started_at }
}

/// Returns the description of a worker that has room for one task.
pub(crate) fn spec(incarnation: &WorkerIncarnation) -> WorkerSpec {
    WorkerSpec {
        incarnation: incarnation.clone(),
        agent: agent_name(),
        service: "desk".into(),
        center: HOME_CENTER.into(),
        labels: vec!["r0".into()],
        capacity: Resources { cpu: 1_000, memory: 1_000, gpu: 1 },
        leaving: false,
    }
}

/// Returns the description of the ideal worker, which has room for all tasks.
pub(crate) fn elsewhere_spec() -> WorkerSpec {
    WorkerSpec {
        agent: Instance::try_from("side-2").unwrap(),
        center: "c2".into(),
        capacity: Resources { cpu: 1_000, memory: 1_000, gpu: 1_000 },
        ..spec(&incarnation(ELSEWHERE, 1))
    }
}

/// Returns a configuration with one queue.
pub(crate) fn config() -> Config {
    Config {
        version: 1,
        queues: vec![Queue {
            name: "quota".into(),
            host: "desk.example".into(),
            prefix: "/quota/".into(),
            service: "desk".into(),
            priority: 0,
            attempts: 3,
            slack: 1_500,
            latency_target: 250,
            timeout: 3_000,
            public: true,
            advice: None,
        }],
        pools: vec![Pool { name: "desk".into(), sheds_load: false, standby: false }],
        ..Config::default()
    }
}

/// Returns a job of one task, which needs the whole worker.
pub(crate) fn job(id: u64) -> JobSpec {
    let need = Resources { cpu: 1, memory: 1, gpu: 1 };
    JobSpec {
        id: JobId(id),
        queue: "quota".into(),
        team: None,
        text: "text".into(),
        steps: vec![Step { count: 1, need, estimate: 2_500, ..Step::default() }],
        times: 0,
        start: 0,
        interval: 0,
    }
}
