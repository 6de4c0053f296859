//! Replicated state of jobs, workers and configuration. It changes only by applying records.

mod apply;
mod crash;
mod drain;
mod early_cancel;
mod explain;
mod job;
mod occurrence;
mod record;
mod run_times;
mod wave;
mod worker;

pub use {
    crash::{CrashEvidence, CrashFailure, CrashLog, CrashUnder},
    drain::{CenterState, Drains},
    early_cancel::EarlyCancels,
    explain::{CenterNames, Explanation, FailureCause},
    job::{ActiveRun, Job, Phase, StepState, Task},
    occurrence::DoneOccurrences,
    record::{Assignment, Event, EventOutcome, Record, RunEnd, RunOutcome, StopCause, WorkerSpec},
    wave::{Error as WaveError, Wave, WaveSpec},
    worker::{FailureStreak, Worker},
};

pub(crate) use {crash::SURVIVED, job::step_id, occurrence::waiting_max};

use {
    crate::{
        config::Config,
        id::{JobId, RunId, WorkerIncarnation},
        spec::{ENDED_TASK_BYTES, TASK_BYTES},
    },
    bronzespool_core::Time,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc, time::Duration},
};

/// Time for which a job in a final phase is kept.
pub const JOB_RETENTION: Duration = Duration::from_secs(3_600);

/// Replicated state after applying a prefix of the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ledger {
    log_time: Time,
    config: Option<Arc<Config>>,
    jobs: BTreeMap<JobId, Job>,
    workers: BTreeMap<Arc<str>, Worker>,
    waves: BTreeMap<u64, Wave>,
    /// Rises with each applied record.
    change_count: u64,
    /// Crashes of workers. Snapshots of former versions end before this field, or before a later one.
    #[serde(deserialize_with = "crash::read_or_default")]
    crashes: CrashLog,
    /// Summary of the learned run times.
    #[serde(deserialize_with = "run_times::read_or_default")]
    run_times: Arc<[u8]>,
    /// Drained data centres.
    #[serde(deserialize_with = "drain::read_or_default")]
    drains: Drains,
    /// Occurrences of recurring jobs that are done.
    #[serde(deserialize_with = "occurrence::read_or_default")]
    done_occurrences: DoneOccurrences,
    /// Jobs that were cancelled before they were submitted.
    #[serde(deserialize_with = "early_cancel::read_or_default")]
    early_cancels: EarlyCancels,
}

impl Ledger {
    /// Returns the latest log time.
    pub const fn log_time(&self) -> Time {
        self.log_time
    }

    /// Returns a number that rises with each applied record.
    pub const fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns the configuration in force.
    pub const fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns the job with an identifier.
    pub fn job(&self, id: JobId) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Returns all jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns all workers.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Returns the maintenance wave with a number.
    pub fn wave(&self, id: u64) -> Option<&Wave> {
        self.waves.get(&id)
    }

    /// Returns all maintenance waves.
    pub fn waves(&self) -> impl Iterator<Item = &Wave> {
        self.waves.values()
    }

    /// Returns the incarnation of a worker that started before this one and whose runs have not all
    /// ended.
    pub fn former_worker(&self, incarnation: &WorkerIncarnation) -> Option<&Worker> {
        let worker = self.workers.get(&incarnation.worker)?;
        let is_former = worker.spec.incarnation.started_at < incarnation.started_at;
        (is_former && !worker.runs.is_empty()).then_some(worker)
    }

    /// Whether the ledger holds an incarnation of this worker that started later.
    pub fn is_outdated(&self, incarnation: &WorkerIncarnation) -> bool {
        let worker = self.workers.get(&incarnation.worker);
        worker.is_some_and(|w| w.spec.incarnation.started_at > incarnation.started_at)
    }

    /// Returns the current incarnation of the worker with a name.
    pub fn worker_named(&self, name: &str) -> Option<&Worker> {
        self.workers.get(name)
    }

    /// Returns the worker if this is its current incarnation.
    pub fn worker(&self, incarnation: &WorkerIncarnation) -> Option<&Worker> {
        self.workers.get(&incarnation.worker).filter(|w| w.spec.incarnation == *incarnation)
    }

    /// Returns the run if a worker may hold it.
    pub fn active_run(&self, run: RunId) -> Option<&ActiveRun> {
        self.job(run.task.step.job)?.active_run(run)
    }

    /// Counts the jobs of a queue of which no task has started.
    pub fn pending(&self, queue: &str) -> usize {
        let waits = |j: &&Job| &*j.spec.queue == queue && j.phase == Phase::Queued;
        self.jobs.values().filter(waits).count()
    }

    /// Bytes that each replica holds for jobs and waves, about.
    pub fn stored_bytes(&self) -> usize {
        let job = |job: &Job| {
            let tasks = job.spec.task_count() * job.occurrences.len().max(1);
            let of_task = if job.phase.is_active() { TASK_BYTES } else { ENDED_TASK_BYTES };
            job.spec.description_bytes() + tasks * of_task
        };
        let jobs: usize = self.jobs.values().map(job).sum();
        let waves: usize = self.waves.values().map(|w| w.spec.stored_bytes()).sum();
        jobs + waves
    }

    /// Returns the service whose workers currently run a job.
    pub fn service<'a>(&'a self, job: &'a Job) -> &'a Arc<str> {
        let queue = self.config.as_ref().and_then(|c| c.queue(&job.spec.queue));
        queue.map_or(&job.service, |q| &q.service)
    }

    /// Returns the number of failures of a task after which its job fails.
    pub fn attempts(&self, job: &Job) -> u32 {
        let queue = self.config.as_ref().and_then(|c| c.queue(&job.spec.queue));
        queue.map_or(job.attempts, |q| q.attempts).max(1)
    }

    /// Returns the priority of a job; zero comes first.
    pub fn priority(&self, job: &Job) -> u32 {
        let queue = self.config.as_ref().and_then(|c| c.queue(&job.spec.queue));
        queue.map_or(job.priority, |q| q.priority)
    }

    /// Whether a run should be stopped, because it was ordered or because its job or task does not
    /// need it any more.
    pub fn is_unwanted(&self, run: RunId) -> bool {
        let Some(job) = self.job(run.task.step.job) else { return true };
        let Some(task) = job.task(run.task) else { return true };
        let stopping = task.active_runs.iter().any(|r| r.run == run.run && r.stopping);
        let gang = job.step_spec(run.task.step.step).is_some_and(|s| s.gang);
        // The members of a gang that is done end by themselves, together.
        let surplus = task.done && !gang;
        stopping || surplus || !job.phase.is_active()
    }
}
