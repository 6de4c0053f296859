//! Tasks of gang jobs, as exchanged between control and agents.

use {
    bronzespool_core::{Instance, Job, Kind, Service, Team},
    serde::{Deserialize, Serialize},
    std::{fmt, ops::Range},
};

/// Identifier of one member of one attempt of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: Job,
    /// Number of the attempt.
    pub attempt: u32,
    /// Number of the member.
    pub member: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.attempt, self.member)
    }
}

/// State that an agent should bring a task to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DesiredState {
    /// Reserve the resources without starting the task.
    Prepare,
    /// Run the task.
    Run,
    /// Run the task, limited to its declared resources.
    Throttle,
    /// Write a checkpoint, then stop.
    Stop,
}

/// A task that is assigned to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The task.
    pub task: TaskId,
    /// Desired state of the task.
    pub desired: DesiredState,
    /// Team of the job.
    pub team: Team,
    /// Service of the job.
    pub service: Service,
    /// Kind of the job.
    pub kind: Kind,
    /// Numbers of the assigned accelerators.
    pub accels: Range<u32>,
    /// Remaining declared run time, in milliseconds.
    pub runtime_millis: u64,
    /// Milliseconds between two checkpoints, if the task writes any.
    pub checkpoint_millis: Option<u64>,
    /// Milliseconds for which the task may continue after the agent's session has ended.
    pub grace_millis: u64,
}

/// Event of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEvent {
    /// Its resources are reserved.
    Prepared,
    /// It completed.
    Done,
    /// It failed.
    Failed,
    /// It was stopped as requested.
    Stopped,
    /// Its lease at the platform ended, or its worker does not know it.
    Lost,
}

/// Resource usage of a task, as measured by its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// Thousandths of a core.
    pub cores: u32,
    /// Memory in MiB.
    pub memory: u64,
    /// Milliseconds since the measurement.
    pub age: u64,
}

/// Report of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Instance of the agent.
    pub instance: Instance,
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Events in the order in which they happened.
    pub events: Vec<(TaskId, TaskEvent)>,
    /// Number of checkpoints that each task has written since its start; they precede the events.
    pub checkpoints: Vec<(TaskId, u32)>,
    /// Resource usage of tasks.
    pub usage: Vec<(TaskId, TaskUsage)>,
}
