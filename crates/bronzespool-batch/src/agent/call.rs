//! Calls between an agent and its worker, and their answers.

use {
    crate::{
        id::{RunId, WorkerIncarnation},
        ledger::RunEnd,
        message::{RunStatus, Start},
    },
    std::time::Duration,
};

/// Bounds that the platform sets.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest lease that a worker takes.
    pub lease_max: Duration,
    /// Time between two check-ins of a worker.
    pub heartbeat_interval: Duration,
}

/// What a worker lists.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// When the worker's present life began, if it says so.
    pub started_at: Option<u64>,
    /// The worker's clock in milliseconds.
    pub clock: u64,
    /// Runs.
    pub running: Vec<RunStatus>,
    /// Ends that it has not been allowed to forget.
    pub ends: Vec<RunEnd>,
}

/// The worker's verdict on a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// It is there.
    Present,
    /// This run was stopped or has ended there.
    Old,
    /// The worker has done nothing and will do nothing on this call.
    Refused,
    /// The lease in the call had ended.
    Late,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// No answer: it may have started, or may yet start.
    Unknown,
}

/// The worker's verdict on a stop, or on a share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// It does as it was told; a run that was to be stopped ends, or will never start.
    Noted,
    /// The worker has seen a higher fencing token.
    Fenced,
    /// No answer.
    Unknown,
}

/// A call to the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a run, under a lease until a time on the worker's clock.
    Start {
        /// The run.
        start: Start,
        /// End of the lease in milliseconds on the worker's clock.
        until: u64,
        /// Fencing token.
        epoch: u64,
        /// Life that the call is for.
        incarnation: WorkerIncarnation,
    },
    /// Stop a run.
    Stop {
        /// The run.
        run: RunId,
        /// Fencing token.
        epoch: u64,
        /// Life that the call is for.
        incarnation: WorkerIncarnation,
    },
    /// Let a filler work at a share of what it could.
    Pace {
        /// The run.
        run: RunId,
        /// Share in percent.
        percent: u32,
        /// Fencing token.
        epoch: u64,
        /// Life that the call is for.
        incarnation: WorkerIncarnation,
    },
}

/// How a look at the worker's list extends the lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListRequest {
    /// Fencing token; none before the first orders.
    pub epoch: Option<u64>,
    /// Ends that the worker may forget.
    pub cursor: u64,
    /// End of the lease in milliseconds on the worker's clock.
    pub until: Option<u64>,
    /// Life that the look is for.
    pub incarnation: WorkerIncarnation,
    /// Serial number of the look.
    pub serial: u64,
}
