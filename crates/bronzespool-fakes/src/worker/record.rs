//! What the stand-in worker has seen since it began, for checks after the fact.

use {
    crate::worker::Task,
    serde::{Deserialize, Serialize},
};

/// A call to start a task that found accelerators taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overlap {
    /// The task that was refused.
    pub name: String,
    /// The running task that holds an accelerator of it.
    pub holder: String,
}

/// All starts and refused starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// When the stand-in began, in milliseconds since the Unix epoch.
    pub began: u64,
    /// Names of the tasks in the order of their starts; a task started twice stands there twice.
    pub starts: Vec<String>,
    /// Calls that would have put two running tasks on one accelerator.
    pub overlaps: Vec<Overlap>,
    /// All tasks.
    pub tasks: Vec<Task>,
}

impl Record {
    /// When a task was started, in milliseconds since the Unix epoch.
    pub fn started(&self, name: &str) -> Option<u64> {
        self.task(name).map(|t| self.began + t.started)
    }

    /// When a task ended, in milliseconds since the Unix epoch.
    pub fn ended(&self, name: &str) -> Option<u64> {
        self.task(name).and_then(|t| t.ended).map(|at| self.began + at)
    }

    /// A task by name.
    pub fn task(&self, name: &str) -> Option<&Task> {
        self.tasks.iter().find(|t| t.name == name)
    }
}
