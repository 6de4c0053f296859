//! Moves work away from draining workers and drained data centres.
//!
//! An attempt of a job with checkpoints is moved, an attempt without them runs to its end, and an
//! attempt that has not started yet is placed on another worker.

use {
    super::lifecycle,
    crate::{
        job::{Attempt, JobState},
        record::{Record, StopReason},
        state::SchedulerState,
    },
    bronzespool_core::Time,
};

/// Records that stop the attempts with a member on a draining worker or in a drained data centre.
pub fn drain_records(state: &SchedulerState, now: Time) -> Vec<Record> {
    let is_draining = state.workers().values().any(|w| w.up && w.draining);
    if !is_draining && state.drained_centers().is_empty() {
        return Vec::new();
    }
    let grace = state.settings().grace;
    let records = state.jobs().filter_map(|job| {
        let attempt = job.attempt().filter(|a| a.stop.is_none())?;
        let is_leaving = uses_draining_worker(state, attempt) || state.uses_drained_center(attempt);
        (can_move(job, attempt) && is_leaving).then(|| {
            let event = lifecycle::stop_event(state, job, attempt, StopReason::Move, grace, now);
            Record::new(now, event)
        })
    });
    records.collect()
}

fn can_move(job: &JobState, attempt: &Attempt) -> bool {
    let resumable = job.spec.checkpoint_interval.is_some() && !job.spec.protected;
    resumable || attempt.started.is_none()
}

fn uses_draining_worker(state: &SchedulerState, attempt: &Attempt) -> bool {
    let mut holding = attempt.cells.iter().zip(&attempt.members).filter(|(_, m)| m.holds());
    holding.any(|(cell, _)| state.workers().get(&cell.instance).is_some_and(|w| w.draining))
}
