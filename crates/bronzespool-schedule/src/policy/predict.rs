//! Predictions of when jobs end.
//!
//! Declared run times are wrong by up to an order of magnitude in either direction. They are used
//! only until there are enough samples, and with a wide margin where the prediction must be
//! pessimistic.

use {
    crate::{
        estimate::RuntimeEstimate,
        job::{Attempt, JobState},
        state::SchedulerState,
    },
    bronzespool_core::Time,
    std::time::Duration,
};

/// Number of samples from which an estimate is used.
const SAMPLES_MIN: usize = 3;
/// Quantile of the pessimistic run time, in thousandths.
const PESSIMISTIC_PERMILLE: usize = 950;
/// Quantile of the expected run time, in thousandths.
const EXPECTED_PERMILLE: usize = 500;
/// Factor on the declared run time for the pessimistic prediction without an estimate.
const DECLARED_MARGIN: u32 = 10;

fn trusted_estimate<'a>(state: &'a SchedulerState, job: &JobState) -> Option<&'a RuntimeEstimate> {
    let enough = |e: &&RuntimeEstimate| e.len() >= SAMPLES_MIN;
    let spec = &job.spec;
    let own = state.estimate(Some(&spec.team), &spec.service, &spec.kind).filter(enough);
    own.or_else(|| state.estimate(None, &spec.service, &spec.kind).filter(enough))
}

/// Total run time that the job is unlikely to exceed.
pub fn pessimistic_runtime(state: &SchedulerState, job: &JobState) -> Duration {
    let learned = trusted_estimate(state, job).and_then(|e| e.quantile(PESSIMISTIC_PERMILLE));
    learned.unwrap_or_else(|| job.spec.declared_runtime.saturating_mul(DECLARED_MARGIN))
}

/// Total run time that half of such jobs do not exceed.
pub fn expected_runtime(state: &SchedulerState, job: &JobState) -> Duration {
    let learned = trusted_estimate(state, job).and_then(|e| e.quantile(EXPECTED_PERMILLE));
    learned.unwrap_or(job.spec.declared_runtime)
}

/// Run time completed so far: up to the last checkpoint, plus that of the current attempt since.
pub fn progress(job: &JobState, now: Time) -> Duration {
    let Some(attempt) = job.attempt() else {
        return job.saved_progress;
    };
    let since = attempt.checkpointed.or(attempt.started);
    job.saved_progress + since.map_or(Duration::ZERO, |since| now.since(since))
}

/// Predicted end of an attempt. It is never before `now`, and the remaining time is at least a
/// quarter of the run time so far, so that it grows as the job exceeds its expected run time.
pub fn expected_end(state: &SchedulerState, job: &JobState, attempt: &Attempt, now: Time) -> Time {
    if let Some(stop) = attempt.stop {
        return stop.deadline.max(now);
    }
    let done = progress(job, now);
    let total = expected_runtime(state, job);
    let left = if done < total {
        total - done
    } else {
        pessimistic_runtime(state, job).saturating_sub(done)
    };
    now + left.max(done / 4)
}

/// Whether a job has run longer than its pessimistic run time.
pub fn is_overdue(state: &SchedulerState, job: &JobState, now: Time) -> bool {
    progress(job, now) > pessimistic_runtime(state, job)
}

/// Run time that is lost if the job is stopped now: none if it makes a final checkpoint.
pub fn unsaved_runtime(job: &JobState, now: Time) -> Duration {
    if job.spec.checkpoint_interval.is_some() {
        return Duration::ZERO;
    }
    let started = job.attempt().and_then(|a| a.checkpointed.or(a.started));
    started.map_or(Duration::ZERO, |since| now.since(since))
}
