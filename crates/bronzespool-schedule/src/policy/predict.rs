//! When jobs are likely to end.
//!
//! Declared run times are off by an order of magnitude either way, so they only stand in where
//! nothing was learned yet, and with a wide margin.

use {
    crate::{
        estimate::RuntimeEstimate,
        job::{Attempt, JobState},
        state::SchedulerState,
    },
    bronzespool_core::Time,
    std::time::Duration,
};

/// Runs that must have ended before an estimate is trusted.
const SAMPLES_MIN: usize = 3;
/// Share of runs, in thousandths, that a pessimistic run time covers.
const PESSIMISTIC: usize = 950;
/// Share of runs, in thousandths, that an expected run time covers.
const EXPECTED: usize = 500;
/// Margin on a declared run time where nothing was learned.
const MARGIN: u32 = 10;

fn learned<'a>(state: &'a SchedulerState, job: &JobState) -> Option<&'a RuntimeEstimate> {
    let enough = |e: &&RuntimeEstimate| e.len() >= SAMPLES_MIN;
    let spec = &job.spec;
    let own = state.estimate(Some(&spec.team), &spec.service, &spec.kind).filter(enough);
    own.or_else(|| state.estimate(None, &spec.service, &spec.kind).filter(enough))
}

/// Whole run time that the job is unlikely to exceed.
pub fn pessimistic(state: &SchedulerState, job: &JobState) -> Duration {
    let seen = learned(state, job).and_then(|e| e.quantile(PESSIMISTIC));
    seen.unwrap_or_else(|| job.spec.declared_runtime.saturating_mul(MARGIN))
}

/// Whole run time of half of such jobs.
pub fn expected(state: &SchedulerState, job: &JobState) -> Duration {
    let seen = learned(state, job).and_then(|e| e.quantile(EXPECTED));
    seen.unwrap_or(job.spec.declared_runtime)
}

/// Progress of the whole job, at its present attempt or its last checkpoint.
pub fn progress(job: &JobState, now: Time) -> Duration {
    let Some(attempt) = job.attempt() else {
        return job.saved_progress;
    };
    let since = attempt.checkpointed.or(attempt.started);
    job.saved_progress + since.map_or(Duration::ZERO, |since| now.since(since))
}

/// When a running attempt is likely to end: never before now, later the longer it has run past its
/// expected time.
pub fn end(state: &SchedulerState, job: &JobState, attempt: &Attempt, now: Time) -> Time {
    if let Some(stop) = attempt.stop {
        return stop.deadline;
    }
    let done = progress(job, now);
    let whole = expected(state, job);
    let left =
        if done < whole { whole - done } else { pessimistic(state, job).saturating_sub(done) };
    now + left.max(done / 4)
}

/// Whether a running attempt has outlasted its pessimistic run time.
pub fn is_overdue(state: &SchedulerState, job: &JobState, now: Time) -> bool {
    progress(job, now) > pessimistic(state, job)
}

/// Run time that a stop now would lose: none where a last checkpoint is made.
pub fn at_stake(job: &JobState, now: Time) -> Duration {
    if job.spec.checkpoint_interval.is_some() {
        return Duration::ZERO;
    }
    let started = job.attempt().and_then(|a| a.checkpointed.or(a.started));
    started.map_or(Duration::ZERO, |since| now.since(since))
}
