//! One job of a stream.

use {crate::decisions::KindPlan, bronzespool_core::Time, std::time::Duration};

/// Index of a job in its stream.
pub type JobId = usize;

/// What the stream has in store for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedOutcome {
    /// Completes when it has run for its time.
    Completes,
    /// Fails on every worker.
    AlwaysFails,
    /// Needs more than the cluster has.
    Infeasible,
    /// Is cancelled at this time.
    Cancelled(Time),
}

/// A job of a stream.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index in the stream.
    pub id: JobId,
    /// Index of the team.
    pub team: usize,
    /// Index of the kind.
    pub kind: usize,
    /// What the kind declares.
    pub plan: KindPlan,
    /// Time of submission.
    pub submit: Time,
    /// True run time, known to the driver and the oracle only.
    pub actual: Duration,
    /// What becomes of it.
    pub outcome: PlannedOutcome,
}

impl Job {
    /// Accelerators of all members.
    pub const fn accels(&self) -> u32 {
        self.plan.gang * self.plan.accels
    }

    /// Whether its completion time counts: it is meant to complete under every policy.
    pub fn is_counted(&self) -> bool {
        self.outcome == PlannedOutcome::Completes
    }
}
