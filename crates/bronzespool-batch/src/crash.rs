//! What an agent reports of a crash of its worker.
//!
//! A worker has crashed if another incarnation took its place although it had not announced that it
//! leaves, and although nothing between it and its agent was silent. An agent that loses power with
//! its worker knows nothing of it and reports nothing.

use {
    crate::id::{RunId, WorkerIncarnation},
    bronzespool_core::Instance,
    serde::{Deserialize, Serialize},
};

/// A run that the worker held when it crashed, or may have held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// The run.
    pub run: RunId,
    /// Milliseconds from when the agent first knew that it ran until the crash; none if its start had
    /// no answer.
    pub age: Option<u64>,
}

/// A crash of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The worker incarnation that has crashed.
    pub incarnation: WorkerIncarnation,
    /// Instance of the agent beside it.
    pub agent: Instance,
    /// All runs that may have caused it.
    pub runs: Vec<CrashedRun>,
}
