//! What a search covers.

use {crate::fault::FaultKind, std::time::Duration};

/// What a search covers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scope {
    /// Number of jobs, each of one task that needs the whole worker.
    pub(crate) jobs: u64,
    /// Time that passes in one move.
    pub(crate) tick: Duration,
    /// Whether records are on their way for a while, and polls wait for them.
    pub(crate) records_wait: bool,
    /// Whether requests for the worker's list take a while.
    pub(crate) lists_wait: bool,
    /// Whether the leader assigns free tasks.
    pub(crate) plans: bool,
    /// Lists, and polls, that the agent sends before time passes.
    pub(crate) rounds: u8,
    /// Faults of the environment.
    pub(crate) faults: &'static [FaultKind],
    /// Most faults of a history.
    pub(crate) faults_max: u8,
}

impl Scope {
    /// Small enough to explore all short histories.
    pub(crate) const BREADTH: Self = Self {
        jobs: 1,
        tick: Duration::from_secs(1),
        records_wait: false,
        lists_wait: false,
        plans: false,
        rounds: 1,
        faults: &[
            FaultKind::Message,
            FaultKind::DoubleCall,
            FaultKind::Agent,
            FaultKind::Leader,
            FaultKind::Replacement,
            FaultKind::Cancel,
        ],
        faults_max: 0,
    };

    /// For long random histories.
    pub(crate) const DEPTH: Self = Self {
        jobs: 2,
        tick: Duration::from_millis(500),
        records_wait: false,
        lists_wait: true,
        plans: true,
        rounds: 3,
        faults: &[FaultKind::Message, FaultKind::Leader, FaultKind::Replacement, FaultKind::Cancel],
        faults_max: 6,
    };

    /// Whether histories may contain a kind of fault.
    pub(crate) fn has(&self, kind: FaultKind) -> bool {
        self.faults.contains(&kind)
    }
}
