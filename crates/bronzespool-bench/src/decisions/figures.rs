//! Figures measured in one simulation run.

use {
    crate::decisions::BrokenGuarantee,
    serde::Serialize,
    std::{collections::BTreeMap, time::Duration},
};

/// Mean, percentiles and maximum of a set of times, in seconds.
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
    /// Maximum.
    pub max: f64,
}

impl Summary {
    /// Summarises `times`; all figures are zero without any.
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
    /// Name of the deployment.
    pub scale: String,
    /// Name of the stream.
    pub stream: String,
    /// Name of the policy.
    pub policy: String,
    /// Number of jobs submitted.
    pub jobs: usize,
    /// Time from submission to completion, over the jobs that are meant to complete.
    pub completion: Summary,
    /// Completion time by team; at the two-year size by size of the team's guarantee.
    pub teams: BTreeMap<String, Summary>,
    /// Completion time by number of accelerators of the gang.
    pub gangs: BTreeMap<String, Summary>,
    /// Jobs that are meant to complete and did not do so within the run.
    pub unfinished: usize,
    /// Jobs that the policy refused, and how many of them are meant to complete.
    pub refused: (usize, usize),
    /// Jobs dropped after too many failures, and protected jobs dropped after one.
    pub dropped: usize,
    /// Share of the free accelerators that the mix cannot use, averaged up to the horizon.
    pub fragmentation: f64,
    /// The same share if as many free accelerators were adjacent, worker by worker.
    pub floor: f64,
    /// Mean number of free accelerators that the mix cannot use, up to the horizon.
    pub unusable: f64,
    /// Share of the accelerator time up to the horizon that was spent on work that was kept.
    pub utilisation: f64,
    /// Longest wait from submission to the first start, over gangs of two or more members.
    pub gang_wait: f64,
    /// Waits of jobs while they are due, that is, fit into their team's guarantee.
    pub due: Summary,
    /// The same over the jobs that could not start at once: the time to reclaim accelerators.
    pub reclaim: Summary,
    /// Preemptions: stops ordered for whole gangs.
    pub preemptions: u64,
    /// Accelerator-seconds lost to preemptions.
    pub lost: f64,
    /// Accelerator-seconds lost to failures and lost workers.
    pub failed: f64,
    /// Number of broken guarantees.
    pub broken: u64,
    /// Broken guarantees of jobs that had failed or lost a worker before.
    pub broken_retried: usize,
    /// The first broken guarantees, in detail.
    pub broken_first: Vec<BrokenGuarantee>,
    /// Gangs granted only in part, and gangs that ran in part for longer than
    /// [`GANG_STOP_MAX`](crate::decisions::GANG_STOP_MAX).
    pub gang_violations: u64,
    /// Actions that cannot be carried out, such as a grant of a slot in use or a stop of a
    /// protected job, and internal errors of the policy.
    pub invalid: u64,
    /// Virtual time at the end of the run.
    pub end: f64,
    /// Samples for plots: hour, unusable share of the free accelerators, share in use.
    #[serde(skip)]
    pub samples: Vec<(f64, f64, f64)>,
    /// Completion times for plots.
    #[serde(skip)]
    pub times: Vec<Duration>,
}
