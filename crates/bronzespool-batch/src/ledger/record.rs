//! Records, by which alone the ledger changes.

use {
    crate::{
        config::Config,
        crash::Crash,
        id::{JobId, RunId, WorkerIncarnation},
        ledger::wave::WaveSpec,
        spec::{JobSpec, Resources},
    },
    bronzespool_core::{Instance, Time},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// How a run ended on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunOutcome {
    /// It completed.
    Done,
    /// It failed, through its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
    Alone,
}

/// The end of a run as its worker lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// Number among the ended runs of this worker incarnation, from 1.
    pub number: u64,
    /// The run.
    pub run: RunId,
    /// How it ended.
    pub outcome: RunOutcome,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// Assignment of a run to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// The run.
    pub run: RunId,
    /// The worker incarnation.
    pub incarnation: WorkerIncarnation,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Permit of the advice service.
    pub permit: Option<Arc<str>>,
}

/// A worker's description of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSpec {
    /// The worker incarnation.
    pub incarnation: WorkerIncarnation,
    /// Instance of the agent beside it.
    pub agent: Instance,
    /// Service that the worker belongs to.
    pub service: Arc<str>,
    /// Data centre.
    pub center: Arc<str>,
    /// Labels; the last one names the rack.
    pub labels: Vec<Arc<str>>,
    /// Resources for tasks.
    pub capacity: Resources,
    /// Whether the worker is leaving and accepts no new tasks.
    pub leaving: bool,
}

impl WorkerSpec {
    /// Returns the worker's rack.
    pub fn rack(&self) -> &str {
        self.labels.last().map_or("", |l| l)
    }
}

/// Why a run is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopCause {
    /// Its gang has lost a member.
    Broken,
    /// A job inside its team's guarantee needs the capacity.
    Reclaimed(JobId),
    /// It makes no progress on its worker.
    Stalled,
    /// Its machine goes down for maintenance.
    Maintenance,
    /// Its worker has announced that it ends before the run does.
    Leaving,
}

/// One change of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Event {
    /// A configuration, which takes effect if its version is higher than the current one.
    Configured(Arc<Config>),
    /// A job is accepted.
    Submitted(Arc<JobSpec>),
    /// A job is cancelled.
    Cancelled(JobId),
    /// A worker has appeared, or its description has changed.
    WorkerUp(Box<WorkerSpec>),
    /// A worker incarnation has ended, together with all of its runs.
    WorkerGone(WorkerIncarnation),
    /// Runs are assigned to workers, either all or none of them.
    Started(Vec<Assignment>),
    /// Runs are to be stopped.
    Stopping {
        /// The runs.
        runs: Vec<RunId>,
        /// The reason.
        cause: StopCause,
    },
    /// Runs have ended on a worker.
    Ended {
        /// The worker incarnation.
        incarnation: WorkerIncarnation,
        /// The ended runs, by rising number.
        ends: Vec<RunEnd>,
    },
    /// A worker has not started a run and never will.
    Refused {
        /// The worker incarnation.
        incarnation: WorkerIncarnation,
        /// The run.
        run: RunId,
    },
    /// A maintenance wave is ordered.
    WaveOrdered(Arc<WaveSpec>),
    /// A machine has begun its maintenance, or does not exist any more.
    MaintenanceBegun {
        /// Number of the wave.
        wave: u64,
        /// The machine.
        machine: Arc<str>,
    },
    /// A worker has crashed.
    Crashed(Box<Crash>),
    /// The machine of the worker with this name goes down for maintenance.
    TakenDown(Arc<str>),
    /// The leader's summary of the learned run times, encoded.
    EstimatesSaved(Arc<[u8]>),
    /// Nothing more is started in a data centre.
    CenterDrained {
        /// The data centre.
        center: Arc<str>,
        /// Revision of its state that the command is based on.
        base: u64,
    },
    /// Tasks may be started in a data centre again.
    CenterRestored {
        /// The data centre.
        center: Arc<str>,
        /// Revision of its state that the command is based on.
        base: u64,
    },
}

/// Events that are applied together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Log time.
    pub at: Time,
    /// The events, in order.
    pub events: Vec<Event>,
}

/// What an event changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EventOutcome {
    /// The state has changed.
    Applied,
    /// The state already holds this.
    Known,
    /// The event does not fit the state and is ignored.
    Stale,
}
