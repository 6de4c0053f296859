//! Tasks of the fake worker.

use serde::{Deserialize, Serialize};

/// State of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Running.
    Running,
    /// Completed.
    Done,
    /// Failed.
    Failed,
    /// Stopped by a call.
    Stopped,
    /// Stopped because its lease expired.
    Expired,
}

/// A task. All times are in milliseconds, points in time since the fake began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Name, chosen by the caller.
    pub name: String,
    /// Numbers of the accelerators that the task holds.
    pub accels: Vec<u32>,
    /// Run time left from `since`.
    pub remaining: u64,
    /// Time of the start or of the last checkpoint.
    pub since: u64,
    /// Time at which the lease expires.
    pub lease: u64,
    /// Number of checkpoints made.
    pub checkpoints: u32,
    /// Share of full speed in percent; it scales the reported CPU usage.
    pub throttle: u32,
    /// State.
    pub state: State,
    /// Run time requested at the start, before it is divided by the worker's speed.
    pub asked: u64,
    /// Time of the start.
    pub started: u64,
    /// Time of the end, if the task has ended.
    pub ended: Option<u64>,
}

impl Task {
    /// Ends the task if it has completed or its lease has expired by `now`.
    pub fn advance(&mut self, now: u64) {
        if self.state != State::Running {
            return;
        }
        let done = self.since + self.remaining;
        if done <= now.min(self.lease) {
            self.end(State::Done, done);
        } else if self.lease <= now {
            self.end(State::Expired, self.lease);
        }
    }

    /// Ends the task at `at`.
    pub const fn end(&mut self, state: State, at: u64) {
        self.state = state;
        self.ended = Some(at);
    }
}
