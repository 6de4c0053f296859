//! State of a job.

use {
    crate::{
        id::{JobId, RunId, StepId, TaskId, WorkerIncarnation},
        spec::{JobSpec, Step},
    },
    bronzespool_core::Time,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, sync::Arc},
};

/// Phase of a job as its caller sees it.
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
    /// The worker incarnation.
    pub incarnation: WorkerIncarnation,
    /// Log time at which the run was assigned to the worker.
    pub assigned_at: Time,
    /// Checkpoint that the run resumes from.
    pub checkpoint: Arc<str>,
    /// Permit of the advice service.
    pub permit: Option<Arc<str>>,
    /// Whether the run is to be stopped.
    pub stopping: bool,
}

/// State of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Number of the last run; zero if there was none.
    pub last_run: u32,
    /// Number of failed runs.
    pub failures: u32,
    /// Whether the task is done.
    pub done: bool,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Runs that workers may hold.
    pub active_runs: Vec<ActiveRun>,
    /// Log time at which the last run ended.
    pub ended_at: Time,
    /// Workers on which the task has failed.
    pub failed_on: Vec<Arc<str>>,
}

/// State of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepState {
    /// Tasks.
    pub tasks: Vec<Task>,
    /// Failures of the gang, each run counted once.
    pub failures: u32,
    /// Number of the gang's last failed run.
    pub failed_run: u32,
}

impl StepState {
    /// Returns the state of a step of which nothing has started.
    pub fn new(step: &Step) -> Self {
        let tasks = (0..step.count).map(|_| Task::default()).collect();
        Self { tasks, ..Self::default() }
    }

    /// Whether all tasks are done.
    pub fn is_done(&self) -> bool {
        self.tasks.iter().all(|t| t.done)
    }

    /// Whether tasks have failed on another worker while none is done.
    pub fn has_failed_elsewhere(&self, worker: &str) -> bool {
        let elsewhere = |t: &Task| t.failed_on.iter().any(|w| &**w != worker);
        self.tasks.iter().any(elsewhere) && !self.tasks.iter().any(|t| t.done)
    }

    /// Whether workers may hold runs of the step.
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
    /// Allowed attempts when the job was submitted; used if its queue is removed.
    pub attempts: u32,
    /// Service when the job was submitted; used if its queue is removed.
    pub service: Arc<str>,
    /// Priority when the job was submitted; used if its queue is removed.
    pub priority: u32,
    /// Occurrences of which a task has started, with their steps. Those of a recurring job that are
    /// done are kept as ranges instead, in [`DoneOccurrences`](super::DoneOccurrences).
    pub occurrences: BTreeMap<u32, Vec<StepState>>,
    /// Number of occurrences that are done.
    pub done_occurrences: u32,
}

impl Job {
    /// Returns the steps of an occurrence, creating them on first use.
    pub(super) fn steps_mut(&mut self, occurrence: u32) -> &mut Vec<StepState> {
        let steps = &self.spec.steps;
        self.occurrences
            .entry(occurrence)
            .or_insert_with(|| steps.iter().map(StepState::new).collect())
    }

    /// Returns the state of a step; none if no task of its occurrence has started.
    pub fn step(&self, occurrence: u32, step: u16) -> Option<&StepState> {
        self.occurrences.get(&occurrence)?.get(usize::from(step))
    }

    /// Returns the state of a task; none if no task of its occurrence has started.
    pub fn task(&self, id: TaskId) -> Option<&Task> {
        self.step(id.step.occurrence, id.step.step)?.tasks.get(id.index as usize)
    }

    pub(super) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        let steps = self.occurrences.get_mut(&id.step.occurrence)?;
        steps.get_mut(usize::from(id.step.step))?.tasks.get_mut(id.index as usize)
    }

    /// Returns the run if a worker may hold it.
    pub fn active_run(&self, run: RunId) -> Option<&ActiveRun> {
        self.task(run.task)?.active_runs.iter().find(|r| r.run == run.run)
    }

    /// Returns the step as submitted.
    pub fn step_spec(&self, step: u16) -> Option<&Step> {
        self.spec.steps.get(usize::from(step))
    }

    /// Whether all dependencies of a step are done.
    pub fn is_ready(&self, occurrence: u32, step: u16) -> bool {
        let Some(spec) = self.step_spec(step) else { return false };
        let done = |s: &u16| self.step(occurrence, *s).is_some_and(StepState::is_done);
        spec.depends_on.iter().all(done)
    }

    /// Whether workers may hold runs of the job.
    pub fn has_active_run(&self) -> bool {
        self.occurrences.values().flatten().any(StepState::has_active_run)
    }

    /// Returns all runs of the job that workers may hold.
    pub fn active_runs(&self) -> impl Iterator<Item = (RunId, &ActiveRun)> {
        let id = self.spec.id;
        self.occurrences.iter().flat_map(move |(&occurrence, steps)| {
            steps.iter().enumerate().flat_map(move |(i, step)| {
                let step_id = step_id(id, occurrence, i);
                step.tasks.iter().enumerate().flat_map(move |(index, task)| {
                    let task_id = step_id.task(index as u32);
                    let run = move |r: &ActiveRun| RunId { task: task_id, run: r.run };
                    task.active_runs.iter().map(move |r| (run(r), r))
                })
            })
        })
    }
}

/// Returns the identifier of a step by its index.
pub(crate) const fn step_id(job: JobId, occurrence: u32, step: usize) -> StepId {
    StepId { job, occurrence, step: step as u16 }
}
