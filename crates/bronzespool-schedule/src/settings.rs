//! Durations and limits of the policy.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Durations and limits of the policy; the same on every replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Lease of borrowed cells: the longest an agent runs on without a renewal.
    pub lease: Duration,
    /// Lease of gang members on their own guarantee.
    pub gang_lease: Duration,
    /// Bound on the error of two clocks over a lease.
    pub clock_bound: Duration,
    /// Time for a last checkpoint when cells are reclaimed.
    pub grace: Duration,
    /// Time for a last checkpoint when urgent work reclaims cells.
    pub urgent_grace: Duration,
    /// Time within which all members of a gang must have prepared.
    pub prepare: Duration,
    /// Age at which the reservation of a borrowing gang becomes exclusive.
    pub exclusive: Duration,
    /// Wait before a job whose start failed is tried again.
    pub backoff: Duration,
    /// Time for a throttle to take effect before overuse stops a job.
    pub throttle: Duration,
    /// Distinct healthy workers on which a job fails before it is refused.
    pub job_strikes: u32,
    /// Distinct jobs that fail on a worker, and succeed elsewhere, before it is quarantined.
    pub worker_strikes: u32,
    /// Largest share of workers in quarantine at once, in thousandths.
    pub quarantine: u32,
    /// Time in quarantine before a probe.
    pub probation: Duration,
    /// Time for which an ended job is kept.
    pub history: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(700),
            gang_lease: Duration::from_secs(10),
            clock_bound: Duration::from_millis(50),
            grace: Duration::from_secs(20),
            urgent_grace: Duration::from_millis(400),
            prepare: Duration::from_secs(10),
            exclusive: Duration::from_secs(1_800),
            backoff: Duration::from_secs(5),
            throttle: Duration::from_secs(60),
            job_strikes: 3,
            worker_strikes: 3,
            quarantine: 100,
            probation: Duration::from_secs(600),
            history: Duration::from_secs(3_600),
        }
    }
}
