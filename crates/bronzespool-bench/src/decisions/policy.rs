//! The decision interface: what a policy hears and what it orders.

use {
    crate::decisions::{Job, JobId, Slot},
    bronzespool_core::Time,
};

/// What a policy hears.
#[derive(Clone, Debug)]
pub enum PolicyEvent<'a> {
    /// A job was submitted. Its true run time is not for the policy to read, the oracle aside.
    Submitted(&'a Job),
    /// A wave of cancellations; running members are gone.
    Cancelled(&'a [JobId]),
    /// A job has completed.
    Completed(JobId),
    /// A job has failed on a worker; all its members are gone.
    Failed {
        /// The job.
        job: JobId,
        /// The worker that failed it.
        worker: usize,
    },
    /// A stop that the policy ordered is confirmed; the job waits again.
    Stopped(JobId),
    /// A job was given up: it will not be run again.
    Dropped(JobId),
    /// Workers were lost with all that ran on them.
    Down(&'a [usize]),
    /// Workers are back, empty.
    Up(&'a [usize]),
}

/// What a policy orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Starts the whole gang.
    Grant {
        /// The job.
        job: JobId,
        /// One slot for each member.
        slots: Vec<Slot>,
    },
    /// Checkpoints and stops the whole gang; answered by [`Input::Stopped`].
    Stop(JobId),
    /// Refuses the job for good.
    Refuse(JobId),
}

/// A scheduler under measurement.
pub trait Policy {
    /// Name in tables.
    fn name(&self) -> &'static str;

    /// Takes note of an event.
    fn on_event(&mut self, now: Time, event: PolicyEvent<'_>);

    /// Orders what follows from all events so far.
    fn decide(&mut self, now: Time) -> Vec<Action>;

    /// When to be asked again without an event, if at all.
    fn next_wake(&self, _now: Time) -> Option<Time> {
        None
    }

    /// Faults of its own that it has met, such as orders that its state refuses.
    fn internal_errors(&self) -> u64 {
        0
    }
}
