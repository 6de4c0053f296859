//! State of one job.

use {
    crate::{
        id::{JobId, RunId, StepId, TaskId, WorkerIncarnation},
        spec::{JobSpec, Step},
    },
    bronzespool_core::Time,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// State of a job as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// Cancelled by its caller.
    Cancelled,
}

impl Phase {
    /// Whether tasks may still be started.
    pub const fn is_active(self) -> bool {
        matches!(self, Self::Queued | Self::Running)
    }
}

/// A run that a worker may hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveRun {
    /// Number of the run.
    pub run: u32,
    /// The worker.
    pub incarnation: WorkerIncarnation,
    /// Log time at which it was given to the worker.
    pub assigned_at: Time,
    /// Checkpoint that it goes on from.
    pub checkpoint: Arc<str>,
    /// Permit of the service that names workers.
    pub permit: Option<Arc<str>>,
    /// Whether it is to be stopped.
    pub stopping: bool,
}

/// State of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Number of the last run.
    pub last_run: u32,
    /// Runs that failed.
    pub failures: u32,
    /// Whether it is done.
    pub done: bool,
    /// Last checkpoint, empty for none.
    pub checkpoint: Arc<str>,
    /// Runs that workers may hold.
    pub active_runs: Vec<ActiveRun>,
    /// When the last run ended.
    pub ended_at: Time,
    /// Workers on which it has failed.
    pub failed_on: Vec<Arc<str>>,
}

/// State of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepState {
    /// Tasks.
    pub tasks: Vec<Task>,
    /// Failures of the gang, each run counted once.
    pub failures: u32,
    /// Last run of the gang that failed.
    pub failed_run: u32,
}

impl StepState {
    /// A step of which nothing has started.
    pub fn new(step: &Step) -> Self {
        let tasks = (0..step.count).map(|_| Task::default()).collect();
        Self { tasks, ..Self::default() }
    }

    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|t| t.done)
    }

    /// Whether tasks have failed on another worker, and none is done.
    pub fn has_failed_elsewhere(&self, worker: &str) -> bool {
        let elsewhere = |t: &Task| t.failed_on.iter().any(|w| &**w != worker);
        self.tasks.iter().any(elsewhere) && !self.tasks.iter().any(|t| t.done)
    }

    /// Whether a worker may hold a run of the step.
    pub fn has_active_run(&self) -> bool {
        self.tasks.iter().any(|t| !t.active_runs.is_empty())
    }
}

/// State of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// As submitted.
    pub spec: Arc<JobSpec>,
    /// Phase.
    pub phase: Phase,
    /// Log time of the submission.
    pub submitted: Time,
    /// Log time at which the job reached a final phase.
    pub finished: Option<Time>,
    /// Attempts allowed when the job was submitted, for a queue that is gone.
    pub attempts: u32,
    /// Service when the job was submitted, for a queue that is gone.
    pub service: Arc<str>,
    /// Priority when the job was submitted.
    pub priority: u32,
    /// Occurrences of which something has started.
    pub occurrences: BTreeMap<u32, Vec<StepState>>,
    /// Occurrences that are done.
    pub done_occurrences: u32,
}

impl Job {
    /// Steps of an occurrence, made on first use.
    pub(super) fn steps_mut(&mut self, occurrence: u32) -> &mut Vec<StepState> {
        let steps = &self.spec.steps;
        self.occurrences
            .entry(occurrence)
            .or_insert_with(|| steps.iter().map(StepState::new).collect())
    }

    /// State of a step, unless nothing of its occurrence has started.
    pub fn step(&self, occurrence: u32, step: u16) -> Option<&StepState> {
        self.occurrences.get(&occurrence)?.get(usize::from(step))
    }

    /// State of a task, unless nothing of its occurrence has started.
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        self.step(id.step.occurrence, id.step.step)?.tasks.get(id.index as usize)
    }

    pub(super) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let steps = self.occurrences.get_mut(&id.step.occurrence)?;
        steps.get_mut(usize::from(id.step.step))?.tasks.get_mut(id.index as usize)
    }

    /// The run, if a worker may hold it.
    pub fn active_run(&self, run: RunId) -> Option<&ActiveRun> {
        self.task(run.task)?.active_runs.iter().find(|l| l.run == run.run)
    }

    /// The step as submitted.
    pub fn step_spec(&self, step: u16) -> Option<&Step> {
        self.spec.steps.get(usize::from(step))
    }

    /// Whether all steps that a step depends on are done.
    pub fn is_ready(&self, occurrence: u32, step: u16) -> bool {
        let Some(shape) = self.step_spec(step) else { return false };
        let done = |s: &u16| self.step(occurrence, *s).is_some_and(StepState::is_done);
        shape.depends_on.iter().all(done)
    }

    /// Whether a worker may hold a run of the job.
    pub fn has_active_run(&self) -> bool {
        self.occurrences.values().flatten().any(StepState::has_active_run)
    }

    /// Runs that workers may hold.
    pub fn active_runs(&self) -> impl Iterator<Item = (RunId, &ActiveRun)> {
        let id = self.spec.id;
        self.occurrences.iter().flat_map(move |(&occurrence, steps)| {
            steps.iter().enumerate().flat_map(move |(i, step)| {
                let step_id = step_id(id, occurrence, i);
                step.tasks.iter().enumerate().flat_map(move |(index, task)| {
                    let task_id = step_id.task(index as u32);
                    let run = move |l: &ActiveRun| RunId { task: task_id, run: l.run };
                    task.active_runs.iter().map(move |l| (run(l), l))
                })
            })
        })
    }
}

/// Name of a step by its position.
pub(crate) const fn step_id(job: JobId, occurrence: u32, step: usize) -> StepId {
    StepId { job, occurrence, step: step as u16 }
}
