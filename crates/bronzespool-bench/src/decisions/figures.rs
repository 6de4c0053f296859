//! What one run of a policy measured.

use {
    crate::decisions::BrokenGuarantee,
    serde::Serialize,
    std::{collections::BTreeMap, time::Duration},
};

/// Mean, p95, p99 and largest of a set of times in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Summary {
    /// Number of times.
    pub count: usize,
    /// Mean.
    pub mean: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest.
    pub max: f64,
}

impl Summary {
    /// Summary of `times`.
    pub fn of(times: &[Duration]) -> Self {
        if times.is_empty() {
            return Self::default();
        }
        let mut secs: Vec<f64> = times.iter().map(Duration::as_secs_f64).collect();
        secs.sort_by(f64::total_cmp);
        let rank = |share: f64| secs[((secs.len() as f64 * share).ceil() as usize).max(1) - 1];
        Self {
            count: secs.len(),
            mean: secs.iter().sum::<f64>() / secs.len() as f64,
            p95: rank(0.95),
            p99: rank(0.99),
            max: secs[secs.len() - 1],
        }
    }
}

/// Figures of one policy on one scenario. Times are in seconds of virtual time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Deployment.
    pub scale: String,
    /// Stream.
    pub stream: String,
    /// Policy.
    pub policy: String,
    /// Jobs submitted.
    pub jobs: usize,
    /// From submission to completion, over the jobs that are meant to complete.
    pub completion: Summary,
    /// The same by team; at the two-year size by size of the guarantee.
    pub teams: BTreeMap<String, Summary>,
    /// The same by accelerators of the gang.
    pub gangs: BTreeMap<String, Summary>,
    /// Jobs that are meant to complete and did not within the run.
    pub unfinished: usize,
    /// Jobs that the policy refused; the second number is of those that are meant to complete.
    pub refused: (usize, usize),
    /// Jobs given up after too many failures.
    pub dropped: usize,
    /// Unusable share of the free accelerators, over the time up to the horizon.
    pub fragmentation: f64,
    /// The same if as many free accelerators lay side by side, worker by worker.
    pub floor: f64,
    /// Mean number of free accelerators that the mix cannot use.
    pub unusable: f64,
    /// Share of the accelerator time up to the horizon that did work which was kept.
    pub utilisation: f64,
    /// Longest wait until the first start of a gang of two or more members.
    pub gang_wait: f64,
    /// Waits of the jobs within their team's guarantee.
    pub due: Summary,
    /// The same of those that could not start at once: the time to reclaim.
    pub reclaim: Summary,
    /// Stops ordered.
    pub preemptions: u64,
    /// Accelerator-seconds of work lost to stops.
    pub lost: f64,
    /// Accelerator-seconds of work lost to failures and lost workers.
    pub failed: f64,
    /// Guarantees broken.
    pub broken: u64,
    /// Those of jobs that had failed or lost a worker before.
    pub broken_retried: usize,
    /// The first of them.
    pub broken_first: Vec<BrokenGuarantee>,
    /// Gangs that were started in part or ran on in part past the bound.
    pub gang_violations: u64,
    /// Orders that cannot be carried out: a taken slot, a job that may not be stopped.
    pub invalid: u64,
    /// Virtual time of the last event.
    pub end: f64,
    /// Samples of (hour, unusable share of the free, share in use) for plots.
    #[serde(skip)]
    pub samples: Vec<(f64, f64, f64)>,
    /// Completion times for plots.
    #[serde(skip)]
    pub times: Vec<Duration>,
}
