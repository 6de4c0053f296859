//! Durations and limits of the policy.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Durations and limits of the policy; the same on every replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PolicySettings {
    /// Lease of borrowed cells: the longest an agent runs on without a renewal.
    pub borrowed_lease: Duration,
    /// Lease of gang members on their own guarantee.
    pub guaranteed_lease: Duration,
    /// Bound on the error of two clocks over a lease.
    pub clock_error_max: Duration,
    /// Time for a last checkpoint when cells are reclaimed.
    pub grace: Duration,
    /// Time for a last checkpoint when urgent work reclaims cells.
    pub urgent_grace: Duration,
    /// Time within which all members of a gang must have prepared.
    pub prepare_timeout: Duration,
    /// Age at which the reservation of a borrowing gang becomes exclusive.
    pub exclusive_age: Duration,
    /// Wait before a job whose start failed is tried again.
    pub retry_backoff: Duration,
    /// Time for a throttle to take effect before overuse stops a job.
    pub throttle_delay: Duration,
    /// Distinct healthy workers on which a job fails before it is refused.
    pub job_failures_max: u32,
    /// Distinct jobs that fail on a worker, and succeed elsewhere, before it is quarantined.
    pub worker_failures_max: u32,
    /// Largest share of workers in quarantine at once, in thousandths.
    pub quarantine_permille_max: u32,
    /// Time in quarantine before a probe.
    pub probe_delay: Duration,
    /// Time for which an ended job is kept.
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
