//! State of one worker.

use {
    crate::{id::RunId, ledger::record::WorkerSpec, spec::Resources},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// State of the present life of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// What it says of itself.
    pub spec: WorkerSpec,
    /// Number of the last end that is recorded; the worker may forget ends up to it.
    pub cursor: u64,
    /// Runs that it may hold, with what they take.
    pub runs: BTreeMap<RunId, Resources>,
}

impl Worker {
    /// A worker that holds nothing.
    pub(super) const fn new(spec: WorkerSpec) -> Self {
        Self { spec, cursor: 0, runs: BTreeMap::new() }
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
