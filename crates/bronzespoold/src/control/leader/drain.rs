//! Moves work off workers that are leaving.
//!
//! Work with checkpoints moves, other work runs to its end, and an attempt that was not started
//! yet is tried elsewhere.

use {
    crate::control::leader::calls::Leader,
    bronzespool::{
        core::Time,
        schedule::{Attempt, Event, JobState, Record, SchedulerState, StopReason},
    },
};

impl Leader {
    /// Stops of attempts with a member on a leaving worker.
    pub(super) fn moves(&self, now: Time) -> Vec<Record> {
        let state = self.replica.state();
        let book = state.book();
        if !book.workers().values().any(|w| w.up && w.draining) {
            return Vec::new();
        }
        let leaving = book.jobs().filter_map(|job| {
            let attempt = job.attempt().filter(|a| a.stop.is_none())?;
            (may_move(job, attempt) && has_leaving(book, attempt))
                .then(|| Record::new(now, stop(book, job, attempt, now)))
        });
        leaving.collect()
    }
}

fn may_move(job: &JobState, attempt: &Attempt) -> bool {
    let saved = job.spec.checkpoint_interval.is_some() && !job.spec.protected;
    saved || attempt.started.is_none()
}

fn has_leaving(book: &SchedulerState, attempt: &Attempt) -> bool {
    let mut held = attempt.cells.iter().zip(&attempt.members).filter(|(_, m)| m.holds());
    held.any(|(cell, _)| book.workers().get(&cell.instance).is_some_and(|w| w.draining))
}

fn stop(book: &SchedulerState, job: &JobState, attempt: &Attempt, now: Time) -> Event {
    let settings = book.settings();
    let deadline = match attempt.started {
        Some(_) => now + settings.grace + attempt.lease + settings.clock_error_max,
        None => now,
    };
    let (job, attempt) = (job.spec.job.clone(), attempt.number);
    Event::Stopping { job, attempt, reason: StopReason::Move, deadline }
}
