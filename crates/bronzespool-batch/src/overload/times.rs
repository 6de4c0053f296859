//! Durations that decide what a job's caller still gets from it.

use {
    crate::{
        ledger::Ledger,
        spec::{JobSpec, Step},
    },
    bronzespool_estimate::{Estimates, Kind},
    std::{sync::Arc, time::Duration},
};

/// Multiple of the allowed duration after which a finished job has no value.
const CUTOFF_FACTOR: u32 = 3;
/// Allowed duration for jobs of a removed queue, in thousandths of the longest chain of steps.
const DEFAULT_SLACK_THOUSANDTHS: u64 = 2_000;

/// Durations of one occurrence of a job, from its submission on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobTimes {
    /// Expected duration of the longest chain of steps.
    pub chain: Duration,
    /// Duration within which the job counts in full.
    pub allowed: Duration,
    /// Duration after which the job has no value. It follows from the high estimate of the chain,
    /// so that a job is not given up because its duration was underestimated.
    pub cutoff: Duration,
}

impl JobTimes {
    /// Longest wait after which the job still counts in full.
    pub const fn slack(&self) -> Duration {
        self.allowed.saturating_sub(self.chain)
    }
}

/// Returns the durations of a job.
pub fn job_times(ledger: &Ledger, spec: &JobSpec, estimates: &Estimates) -> JobTimes {
    let queue = ledger.config().and_then(|c| c.queue(&spec.queue));
    let (slack, target) =
        queue.map_or((DEFAULT_SLACK_THOUSANDTHS, 0), |q| (q.slack, q.latency_target));
    let (mut expected, mut high) = (vec![Duration::ZERO; spec.steps.len()], Vec::new());
    high.clone_from(&expected);
    for (i, step) in spec.steps.iter().enumerate() {
        let work = step_work(&spec.queue, step, estimates);
        let before = |ends: &[Duration]| {
            let ends = step.depends_on.iter().filter_map(|s| ends.get(usize::from(*s)));
            ends.max().copied().unwrap_or_default()
        };
        expected[i] = before(&expected).saturating_add(work.expected);
        high[i] = before(&high).saturating_add(work.high);
    }
    let longest = |ends: &[Duration]| ends.iter().max().copied().unwrap_or_default();
    let (chain, high) = (longest(&expected), longest(&high));
    let allowed = |chain: Duration| {
        let millis =
            u64::try_from(chain.as_millis()).unwrap_or(u64::MAX).saturating_mul(slack) / 1_000;
        Duration::from_millis(millis.saturating_add(target))
    };
    JobTimes { chain, allowed: allowed(chain), cutoff: allowed(high).saturating_mul(CUTOFF_FACTOR) }
}

/// Returns the estimated duration of a step's tasks.
pub(super) fn step_work(
    queue: &Arc<str>,
    step: &Step,
    estimates: &Estimates,
) -> bronzespool_estimate::Work {
    let kind = Kind { queue: Arc::clone(queue), image: step.image.clone() };
    estimates.work(&kind, None, Duration::from_millis(step.estimate))
}
