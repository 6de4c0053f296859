//! Tasks of gang jobs, between control and the agents.

use {
    bronzespool_core::{Instance, Job, Kind, Service, Team},
    serde::{Deserialize, Serialize},
    std::{fmt, ops::Range},
};

/// One member of one attempt of a job.
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

/// How far a task should go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DesiredState {
    /// Hold its resources and start nothing.
    Prepare,
    /// Run.
    Run,
    /// Use no more than declared.
    Throttle,
    /// Make a checkpoint, then stop.
    Stop,
}

/// A task that an agent should hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The task.
    pub task: TaskId,
    /// How far it should go.
    pub desired: DesiredState,
    /// Team of the job.
    pub team: Team,
    /// Service of the job.
    pub service: Service,
    /// Kind of the job.
    pub kind: Kind,
    /// Accelerators by number.
    pub accels: Range<u32>,
    /// Declared run time that is left, in milliseconds.
    pub runtime_millis: u64,
    /// Milliseconds between two checkpoints, if it makes any.
    pub checkpoint_millis: Option<u64>,
    /// Milliseconds for which it may run on after the agent's session has ended.
    pub grace_millis: u64,
}

/// What happened to a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskEvent {
    /// Its resources are held.
    Prepared,
    /// It ran to its end.
    Done,
    /// It failed.
    Failed,
    /// It was stopped as told.
    Stopped,
    /// Its platform lease ended or its worker does not know it.
    Lost,
}

/// What a task used when its worker looked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskUsage {
    /// Thousandths of a core.
    pub cores: u32,
    /// Memory in MiB.
    pub memory: u64,
    /// Milliseconds since the worker looked.
    pub age: u64,
}

/// What an agent reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Instance of the agent.
    pub instance: Instance,
    /// Incarnation of the agent.
    pub incarnation: u64,
    /// Events in order.
    pub events: Vec<(TaskId, TaskEvent)>,
    /// Checkpoints that tasks have made since their starts; made before the events.
    pub checkpoints: Vec<(TaskId, u32)>,
    /// What tasks use.
    pub usage: Vec<(TaskId, TaskUsage)>,
}
