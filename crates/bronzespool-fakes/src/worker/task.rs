//! A task of the stand-in worker.

use serde::{Deserialize, Serialize};

/// What a task does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It runs.
    Running,
    /// It ran to its end.
    Done,
    /// It failed.
    Failed,
    /// It was stopped by call.
    Stopped,
    /// Its lease ended.
    Expired,
}

/// A task, with times in milliseconds since the stand-in began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Name, chosen by the caller.
    pub name: String,
    /// Accelerators held, by number.
    pub accels: Vec<u32>,
    /// Run time still needed.
    pub remaining: u64,
    /// When it was started or last checkpointed.
    pub since: u64,
    /// When its lease ends.
    pub lease: u64,
    /// Checkpoints made.
    pub checkpoints: u32,
    /// Share of full speed in percent.
    pub throttle: u32,
    /// What it does.
    pub state: State,
    /// Run time asked for at its start.
    pub asked: u64,
    /// When it was started.
    pub started: u64,
    /// When it ended, if it has.
    pub ended: Option<u64>,
}

impl Task {
    /// Moves the task on to `now`.
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
