//! State of one worker.

use {
    crate::{id::RunId, ledger::record::WorkerSpec, spec::Resources},
    bronzespool_core::Time,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Evidence on whether a worker fails what it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureStreak {
    /// Failures since the last run that ended done, of tasks that had not failed elsewhere.
    pub count: u32,
    /// When the last of them ended.
    pub last_at: Time,
}

/// State of the present life of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// What it says of itself.
    pub spec: WorkerSpec,
    /// Number of the last end that is recorded; the worker may forget ends up to it.
    pub cursor: u64,
    /// Runs that it may hold, with what they take.
    pub runs: BTreeMap<RunId, Resources>,
    /// Evidence on whether it fails what it runs.
    pub failures: FailureStreak,
}

impl Worker {
    /// A worker that holds nothing.
    pub(super) fn new(spec: WorkerSpec) -> Self {
        Self { spec, cursor: 0, runs: BTreeMap::new(), failures: FailureStreak::default() }
    }

    /// Resources that its runs take.
    pub fn used(&self) -> Resources {
        self.runs.values().fold(Resources::default(), |sum, r| sum.plus(r))
    }

    /// Resources that no run takes.
    pub fn free(&self) -> Resources {
        self.spec.capacity.minus(&self.used())
    }
}
