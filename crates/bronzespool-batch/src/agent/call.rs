//! Calls from an agent to its worker, and the answers.

use {
    crate::{
        id::{RunId, WorkerIncarnation},
        ledger::RunEnd,
        message::{RunStatus, Start},
    },
    bronzespool_core::HashSet,
    std::time::Duration,
};

/// Limits that the platform sets.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest lease that a worker accepts.
    pub lease_max: Duration,
    /// Time between two check-ins of a worker.
    pub heartbeat_interval: Duration,
}

/// A worker's list of its runs.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    /// Start time of the worker's current incarnation, if the worker reports it.
    pub started_at: Option<u64>,
    /// The worker's clock in milliseconds.
    pub clock: u64,
    /// Runs that are running.
    pub running: Vec<RunStatus>,
    /// Ended runs that the worker may not forget yet.
    pub ends: Vec<RunEnd>,
    /// Whether the worker may hold runs, most often ended ones, that the list does not name.
    pub truncated: bool,
}

impl Listing {
    /// Whether the list is one of this incarnation. A worker that reports no start time in its lists
    /// reports none in its check-ins, where it reads as zero.
    pub fn identifies(&self, incarnation: &WorkerIncarnation) -> bool {
        self.started_at.unwrap_or_default() == incarnation.started_at
    }

    /// Leaves out the first end of a run that the list also names as running, and the ends after it: a
    /// run is in one of both lists, and ends are acknowledged up to a number. They count once the run is
    /// not listed as running any more.
    pub(super) fn withhold_contradicted_ends(&mut self) {
        let running: HashSet<RunId> = self.running.iter().map(|s| s.run).collect();
        let first = self.ends.iter().position(|e| running.contains(&e.run));
        if let Some(first) = first {
            self.ends.truncate(first);
            self.truncated = true;
        }
    }
}

/// Why a request for the worker's list has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListFailure {
    /// An open connection was closed before the answer.
    Closed,
    /// Nothing listens at the address.
    Absent,
    /// Another worker answers at the address.
    Foreign,
    /// The worker has refused the request, or its answer cannot be read.
    Refused,
    /// Nothing arrived in time.
    Silent,
}

/// How an incarnation was last seen before another one took its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LastSeen {
    /// It answered the latest request.
    Answering,
    /// It closed its last connection, and has not been silent since.
    Closed,
    /// It was silent since its last answer, as if it were cut off.
    Silent,
    /// It had announced that it leaves.
    Leaving,
}

/// The worker's answer to a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is running.
    Present,
    /// The run was stopped or has ended on this worker.
    Old,
    /// The worker has done nothing and will do nothing for this call.
    Refused,
    /// The lease in the call had expired.
    Late,
    /// The worker has seen a higher fencing token than this one, which the call carried.
    Fenced(u64),
    /// No answer: the run may have started, or may still start.
    Unknown,
}

/// Why a run that the leader has assigned counts as not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotStarted {
    /// The worker has refused the only start that was sent.
    Refused,
    /// The worker has acknowledged a start or a stop, and its next list does not name the run.
    Unlisted,
    /// The leases in all starts had ended when the worker made a list that does not name the run.
    Expired,
    /// The worker is leaving, and no start was sent.
    Leaving,
}

/// The worker's answer to a stop or to a change of pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// The worker complies; a run that was to be stopped ends, or will never start.
    Noted,
    /// The worker has seen a higher fencing token than this one, which the call carried.
    Fenced(u64),
    /// No answer.
    Unknown,
}

/// A call to the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start a run under a lease that ends at a time on the worker's clock.
    Start {
        /// The run.
        start: Start,
        /// End of the lease in milliseconds on the worker's clock.
        until: u64,
        /// Fencing token.
        epoch: u64,
        /// Worker incarnation that the call is for.
        incarnation: WorkerIncarnation,
    },
    /// Stop a run.
    Stop {
        /// The run.
        run: RunId,
        /// Fencing token.
        epoch: u64,
        /// Worker incarnation that the call is for.
        incarnation: WorkerIncarnation,
    },
    /// Limit a best-effort run to a share of its full speed.
    Pace {
        /// The run.
        run: RunId,
        /// Share in percent.
        percent: u32,
        /// Fencing token.
        epoch: u64,
        /// Worker incarnation that the call is for.
        incarnation: WorkerIncarnation,
    },
}

/// A request for the worker's list, which also extends its leases.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListRequest {
    /// Fencing token; none before the first orders.
    pub epoch: Option<u64>,
    /// Number up to which the worker may forget ended runs.
    pub cursor: u64,
    /// End of the leases in milliseconds on the worker's clock; none to leave them as they are.
    pub until: Option<u64>,
    /// Worker incarnation that the request is for.
    pub incarnation: WorkerIncarnation,
    /// Serial number of the request.
    pub serial: u64,
}
