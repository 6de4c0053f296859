//! Jobs of a stream.

use {crate::decisions::KindPlan, bronzespool_core::Time, std::time::Duration};

/// Index of a job in its stream.
pub type JobId = usize;

/// How a job ends if it is run, as the stream determines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannedOutcome {
    /// Completes after its true run time.
    Completes,
    /// Fails on every worker.
    AlwaysFails,
    /// Needs more than the cluster has and can never run.
    Infeasible,
    /// Is cancelled at this time.
    Cancelled(Time),
}

/// A job of a stream.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index in the stream, in the order of submission.
    pub id: JobId,
    /// Index of the team.
    pub team: usize,
    /// Index of the kind.
    pub kind: usize,
    /// Parameters of the kind, with its declared run time.
    pub plan: KindPlan,
    /// Time of submission.
    pub submit: Time,
    /// True run time; only the simulator and the oracle may read it.
    pub actual: Duration,
    /// How the job ends if it is run.
    pub outcome: PlannedOutcome,
}

impl Job {
    /// Accelerators of all members together.
    pub const fn accels(&self) -> u32 {
        self.plan.gang * self.plan.accels
    }

    /// Whether the completion time is part of the figures: only jobs that can complete under every
    /// policy are counted.
    pub fn is_counted(&self) -> bool {
        self.outcome == PlannedOutcome::Completes
    }
}
