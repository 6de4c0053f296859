//! Records: the only way in which the ledger changes.

use {
    crate::{
        config::Config,
        id::{JobId, RunId, WorkerIncarnation},
        ledger::wave::WaveSpec,
        spec::{JobSpec, Resources},
    },
    bronzespool_core::{Instance, Time},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// How a run ended at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// It ran to its end.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by order.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

/// The end of a run, as its worker lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// Number among the worker's ends in this life, from 1.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Last checkpoint, empty for none.
    pub checkpoint: Arc<str>,
}

/// A run given to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The run.
    pub run: RunId,
    /// The worker.
    pub incarnation: WorkerIncarnation,
    /// Checkpoint to go on from, empty for none.
    pub checkpoint: Arc<str>,
    /// Permit of the service that names workers for the step.
    pub permit: Option<Arc<str>>,
}

/// What a worker says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSpec {
    /// The life.
    pub incarnation: WorkerIncarnation,
    /// Instance of the agent beside it.
    pub agent: Instance,
    /// Service that it runs tasks of.
    pub service: Arc<str>,
    /// Data centre.
    pub center: Arc<str>,
    /// Labels; the last one names the rack.
    pub labels: Vec<Arc<str>>,
    /// Room for tasks.
    pub capacity: Resources,
    /// Whether it is leaving and takes nothing new.
    pub leaving: bool,
}

impl WorkerSpec {
    /// Rack of the worker.
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", |l| l)
    }
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopCause {
    /// Its gang has lost a member.
    Broken,
    /// A job inside its team's guarantee needs the room.
    Reclaimed(JobId),
    /// It makes no progress where it is.
    Stalled,
    /// Its machine goes down for maintenance.
    Maintenance,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A configuration, which counts if its version is higher than the present one.
    Configured(Arc<Config>),
    /// A job is accepted.
    Submitted(Arc<JobSpec>),
    /// A job is cancelled.
    Cancelled(JobId),
    /// A worker is there, or what it says of itself has changed.
    WorkerUp(Box<WorkerSpec>),
    /// A life of a worker is over, and all that ran in it.
    WorkerGone(WorkerIncarnation),
    /// Runs are given to workers, all of these or none.
    Started(Vec<Assignment>),
    /// Runs are to be stopped.
    Stopping {
        /// The runs.
        runs: Vec<RunId>,
        /// Why.
        cause: StopCause,
    },
    /// Runs have ended at a worker.
    Ended {
        /// The worker.
        incarnation: WorkerIncarnation,
        /// The ends, by rising number.
        ends: Vec<RunEnd>,
    },
    /// A run was never started by its worker and never will be.
    Refused {
        /// The worker.
        incarnation: WorkerIncarnation,
        /// The run.
        run: RunId,
    },
    /// A wave of maintenance is ordered.
    WaveOrdered(Arc<WaveSpec>),
    /// A machine has begun its maintenance, or is not there any more.
    MaintenanceBegun {
        /// Number of the wave.
        wave: u64,
        /// The machine.
        machine: Arc<str>,
    },
}

/// Changes that are applied together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Log time.
    pub at: Time,
    /// The changes.
    pub events: Vec<Event>,
}

/// What an event did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EventOutcome {
    /// The state has changed.
    Applied,
    /// The state holds this already.
    Known,
    /// The event does not fit the state.
    Stale,
}
