//! Settings of the scheduling policy.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Durations and limits of the scheduling policy; identical on all replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicySettings {
    /// Lease of borrowed cells: the longest time for which an agent runs a member without a
    /// renewal.
    pub borrowed_lease: Duration,
    /// Lease of members that run on their team's guarantee.
    pub guaranteed_lease: Duration,
    /// Upper bound on the drift between two clocks during a lease.
    pub clock_error_max: Duration,
    /// Time given to a preempted job for a final checkpoint.
    pub grace: Duration,
    /// Time given for a final checkpoint if an urgent job reclaims the cells.
    pub urgent_grace: Duration,
    /// Time within which all members of a gang must be prepared.
    pub prepare_timeout: Duration,
    /// Age at which the reservation of a borrowing gang becomes exclusive, so that it preempts any
    /// borrowed work submitted after it.
    pub exclusive_age: Duration,
    /// Initial delay before a job is retried after a failed start; it doubles with each failure, up
    /// to a limit.
    pub retry_backoff: Duration,
    /// Time for which overuse is tolerated after throttling before the job is stopped.
    pub throttle_delay: Duration,
    /// Number of distinct healthy workers on which a job fails before it is refused.
    pub job_failures_max: u32,
    /// Number of distinct jobs that fail only on one worker before that worker is quarantined.
    pub worker_failures_max: u32,
    /// Largest share of workers in quarantine at the same time, in thousandths.
    pub quarantine_permille_max: u32,
    /// Time in quarantine before a worker gets a probe job.
    pub probe_delay: Duration,
    /// Time for which an ended job is kept in the state.
    pub retention: Duration,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            borrowed_lease: Duration::from_millis(700),
            guaranteed_lease: Duration::from_secs(10),
            clock_error_max: Duration::from_millis(50),
            grace: Duration::from_secs(20),
            urgent_grace: Duration::from_millis(400),
            prepare_timeout: Duration::from_secs(10),
            exclusive_age: Duration::from_secs(1_800),
            retry_backoff: Duration::from_secs(5),
            throttle_delay: Duration::from_secs(60),
            job_failures_max: 3,
            worker_failures_max: 3,
            quarantine_permille_max: 100,
            probe_delay: Duration::from_secs(600),
            retention: Duration::from_secs(3_600),
        }
    }
}
