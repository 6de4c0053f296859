//! Moves work away from draining workers.
//!
//! An attempt of a job with checkpoints is moved, an attempt without them runs to its end, and an
//! attempt that has not started yet is placed on another worker.

use {
    crate::control::leader::calls::Leader,
    bronzespool::{
        core::Time,
        schedule::{Attempt, Event, JobState, Record, SchedulerState, StopReason},
    },
};

impl Leader {
    /// Records that stop the attempts with a member on a draining worker.
    pub(super) fn drain_records(&self, now: Time) -> Vec<Record> {
        let state = self.replica.state();
        let scheduler = state.scheduler();
        if !scheduler.workers().values().any(|w| w.up && w.draining) {
            return Vec::new();
        }
        let records = scheduler.jobs().filter_map(|job| {
            let attempt = job.attempt().filter(|a| a.stop.is_none())?;
            (can_move(job, attempt) && uses_draining_worker(scheduler, attempt))
                .then(|| Record::new(now, stop_event(scheduler, job, attempt, now)))
        });
        records.collect()
    }
}

fn can_move(job: &JobState, attempt: &Attempt) -> bool {
    let resumable = job.spec.checkpoint_interval.is_some() && !job.spec.protected;
    resumable || attempt.started.is_none()
}

fn uses_draining_worker(scheduler: &SchedulerState, attempt: &Attempt) -> bool {
    let mut holding = attempt.cells.iter().zip(&attempt.members).filter(|(_, m)| m.holds());
    holding.any(|(cell, _)| scheduler.workers().get(&cell.instance).is_some_and(|w| w.draining))
}

fn stop_event(scheduler: &SchedulerState, job: &JobState, attempt: &Attempt, now: Time) -> Event {
    let settings = scheduler.settings();
    let deadline = match attempt.started {
        Some(_) => now + settings.grace + attempt.lease + settings.clock_error_max,
        None => now,
    };
    let (job, attempt) = (job.spec.job.clone(), attempt.number);
    Event::Stopping { job, attempt, reason: StopReason::Move, deadline }
}
