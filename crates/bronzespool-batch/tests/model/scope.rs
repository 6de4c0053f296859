//! What a search covers.

use {
    crate::{
        fault::FaultKind,
        fixture::{LEASE, LIMITS},
    },
    bronzespool_batch::agent::Limits,
    std::time::Duration,
};

/// What a search covers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scope {
    /// Number of jobs, each of one task that needs the whole worker.
    pub(crate) jobs: u64,
    /// Limits that the platform sets.
    pub(crate) limits: Limits,
    /// Time for which the leader lets an agent extend leases.
    pub(crate) lease: Duration,
    /// Whether calls are often late whose sender does not wait for the outcome any more.
    pub(crate) late_calls: bool,
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
        limits: LIMITS,
        lease: LEASE,
        late_calls: false,
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
        limits: LIMITS,
        lease: LEASE,
        late_calls: false,
        tick: Duration::from_millis(500),
        records_wait: false,
        lists_wait: true,
        plans: true,
        rounds: 3,
        faults: &[FaultKind::Message, FaultKind::Leader, FaultKind::Replacement, FaultKind::Cancel],
        faults_max: 6,
    };

    /// For long random histories in which late calls outlive the time after which the leader counts the
    /// reports of an agent's next process, as with the limits of the platform.
    pub(crate) const LATE_CALLS: Self = Self {
        limits: Limits { lease_max: Duration::from_secs(5), ..LIMITS },
        lease: Duration::from_secs(4),
        late_calls: true,
        ..Self::DEPTH
    };

    /// Whether histories may contain a kind of fault.
    pub(crate) fn has(&self, kind: FaultKind) -> bool {
        self.faults.contains(&kind)
    }
}
