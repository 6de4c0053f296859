//! State of one worker.

use {
    crate::{id::RunId, ledger::record::WorkerSpec, spec::Resources},
    bronzespool_core::{Instance, Time},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Consecutive failures of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureStreak {
    /// Failures since the last run that was done, except those of steps that have also failed
    /// elsewhere.
    pub count: u32,
    /// Log time at which the last of them ended.
    pub last_at: Time,
}

/// State of a worker's current incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// The worker's description of itself.
    pub spec: WorkerSpec,
    /// Number of the last ended run that is recorded; the worker may forget ended runs up to it.
    pub cursor: u64,
    /// Runs that the worker may hold, with the resources that they allocate.
    pub runs: BTreeMap<RunId, Resources>,
    /// Consecutive failures of runs on the worker.
    pub failures: FailureStreak,
}

impl Worker {
    /// Returns a worker without runs.
    pub(super) fn new(spec: WorkerSpec) -> Self {
        Self { spec, cursor: 0, runs: BTreeMap::new(), failures: FailureStreak::default() }
    }

    /// Whether the worker stands beside this agent.
    pub fn is_beside(&self, agent: &Instance) -> bool {
        self.spec.agent == *agent
    }

    /// Returns the resources that are allocated to runs.
    pub fn used(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |sum, r| sum.plus(r))
    }

    /// Returns the resources by which the runs exceed a capacity that has shrunk.
    pub fn excess(&self) -> Resources {
        self.used().minus(&self.spec.capacity)
    }

    /// Returns the resources that are not allocated.
    pub fn free(&self) -> Resources {
        self.spec.capacity.minus(&self.used())
    }
}
