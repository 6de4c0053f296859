//! Record of all calls to the fake worker, which tests check afterwards.

use {
    crate::worker::Task,
    serde::{Deserialize, Serialize},
};

/// A refused call to start a task whose accelerators were in use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Overlap {
    /// Name of the refused task.
    pub name: String,
    /// Name of the running task that holds one of its accelerators.
    pub holder: String,
}

/// All starts and refused starts since the fake began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Time at which the fake began, in milliseconds since the Unix epoch.
    pub began: u64,
    /// Names of the started tasks in the order of their starts; a task started twice is listed
    /// twice.
    pub starts: Vec<String>,
    /// Calls that would have put two running tasks on one accelerator.
    pub overlaps: Vec<Overlap>,
    /// All tasks.
    pub tasks: Vec<Task>,
}

impl Record {
    /// Start time of a task, in milliseconds since the Unix epoch.
    pub fn started(&self, name: &str) -> Option<u64> {
        self.task(name).map(|t| self.began + t.started)
    }

    /// End time of a task, if it has ended, in milliseconds since the Unix epoch.
    pub fn ended(&self, name: &str) -> Option<u64> {
        self.task(name).and_then(|t| t.ended).map(|at| self.began + at)
    }

    /// A task by name.
    pub fn task(&self, name: &str) -> Option<&Task> {
        self.tasks.iter().find(|t| t.name == name)
    }
}
