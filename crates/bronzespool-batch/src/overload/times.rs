//! Durations that decide how much a job still counts for its caller.

use {
    crate::{
        id::StepId,
        ledger::Ledger,
        sampling::step_key,
        spec::{JobSpec, Step},
    },
    bronzespool_estimate::{Estimates, Kind, Work},
    std::{sync::Arc, time::Duration},
};

/// Multiple of the allowed duration after which a finished job has no value.
const CUTOFF_FACTOR: u32 = 3;
/// Allowed duration for jobs of a removed queue, in thousandths of the longest chain of steps.
const DEFAULT_SLACK_THOUSANDTHS: u64 = 2_000;

/// Multiple of a declared duration that a task takes at most, since declared durations are up to
/// 90 % too low, and divisor for the least, since they are up to 90 % too high.
pub(super) const DECLARED_FACTOR: u32 = 10;

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
    /// Duration after which the job has no value even if its declared durations are too low by the
    /// largest factor that is expected. It equals the cutoff if there is evidence of the durations.
    pub latest: Duration,
}

impl JobTimes {
    /// Longest wait after which the job still counts in full.
    pub const fn slack(&self) -> Duration {
        self.allowed.saturating_sub(self.chain)
    }
}

/// Returns the durations of a job.
pub fn job_times(ledger: &Ledger, spec: &JobSpec, estimates: &Estimates) -> JobTimes {
    let works: Vec<_> = spec.steps.iter().map(|s| step_work(&spec.queue, s, estimates)).collect();
    job_times_of(ledger, spec, &works)
}

/// Returns the durations of a job whose steps have these estimates.
pub(crate) fn job_times_of(ledger: &Ledger, spec: &JobSpec, works: &[Work]) -> JobTimes {
    let queue = ledger.config().and_then(|c| c.queue(&spec.queue));
    let (slack, target) =
        queue.map_or((DEFAULT_SLACK_THOUSANDTHS, 0), |q| (q.slack, q.latency_target));
    let (chain, high) = (
        longest_chain(&spec.steps, 0, |i| works[i].expected),
        longest_chain(&spec.steps, 0, |i| works[i].high),
    );
    let most = longest_chain(&spec.steps, 0, |i| match works[i].samples {
        0 => works[i].high.saturating_mul(DECLARED_FACTOR),
        _ => works[i].high,
    });
    let allowed = |chain: Duration| {
        let millis =
            u64::try_from(chain.as_millis()).unwrap_or(u64::MAX).saturating_mul(slack) / 1_000;
        Duration::from_millis(millis.saturating_add(target))
    };
    let cutoff = |chain| allowed(chain).saturating_mul(CUTOFF_FACTOR);
    JobTimes { chain, allowed: allowed(chain), cutoff: cutoff(high), latest: cutoff(most) }
}

/// Returns the duration of the longest chain of steps that begins with a step; for the first step, of
/// the longest chain of all.
pub(crate) fn longest_chain(
    steps: &[Step],
    from: usize,
    duration: impl Fn(usize) -> Duration,
) -> Duration {
    let mut ends = vec![Duration::ZERO; steps.len()];
    for (i, step) in steps.iter().enumerate() {
        let before = step.depends_on.iter().filter_map(|s| ends.get(usize::from(*s)));
        let begin = before.max().copied().unwrap_or_default();
        let counts = i == from || !begin.is_zero() || from == 0;
        ends[i] = if counts { begin.saturating_add(duration(i)) } else { Duration::ZERO };
    }
    ends.into_iter().max().unwrap_or_default()
}

/// Returns the estimated durations of the tasks of a job's steps in one occurrence. Tasks of a step
/// that have run count most for the others.
pub(crate) fn observed_works(spec: &JobSpec, occurrence: u32, estimates: &Estimates) -> Vec<Work> {
    let of_step = |(i, step): (usize, &Step)| {
        let id = StepId { job: spec.id, occurrence, step: i as u16 };
        observed_work(spec, step, id, estimates)
    };
    spec.steps.iter().enumerate().map(of_step).collect()
}

/// Returns the estimated duration of the tasks of one step. Those that have run count most.
pub(crate) fn observed_work(
    spec: &JobSpec,
    step: &Step,
    id: StepId,
    estimates: &Estimates,
) -> Work {
    let kind = Kind { queue: Arc::clone(&spec.queue), image: step.image.clone() };
    estimates.work(&kind, Some(step_key(id)), Duration::from_millis(step.estimate))
}

/// Returns the estimated duration of a step's tasks.
pub(super) fn step_work(queue: &Arc<str>, step: &Step, estimates: &Estimates) -> Work {
    let kind = Kind { queue: Arc::clone(queue), image: step.image.clone() };
    estimates.work(&kind, None, Duration::from_millis(step.estimate))
}
