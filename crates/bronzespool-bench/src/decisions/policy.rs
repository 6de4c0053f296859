//! The decision interface: events that a policy receives and actions that it returns.

use {
    crate::decisions::{Job, JobId, Slot},
    bronzespool_core::Time,
};

/// An event reported to a policy.
#[derive(Clone, Debug)]
pub enum PolicyEvent<'a> {
    /// A job was submitted. No policy but the oracle may read its true run time.
    Submitted(&'a Job),
    /// Jobs were cancelled together; their running members have ended.
    Cancelled(&'a [JobId]),
    /// A job has completed.
    Completed(JobId),
    /// A job has failed on a worker; all its members have ended.
    Failed {
        /// The job.
        job: JobId,
        /// The worker on which it failed.
        worker: usize,
    },
    /// A stop is confirmed, whether ordered or forced after a lost member; the job waits again.
    Stopped(JobId),
    /// A job was dropped or refused: it will not be run again.
    Dropped(JobId),
    /// Workers were lost together with all members on them.
    Down(&'a [usize]),
    /// Workers are back and empty.
    Up(&'a [usize]),
}

/// An action ordered by a policy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Starts the whole gang.
    Grant {
        /// The job.
        job: JobId,
        /// One slot for each member, in the order of the members.
        slots: Vec<Slot>,
    },
    /// Checkpoints and stops the whole gang; confirmed by [`PolicyEvent::Stopped`].
    Stop(JobId),
    /// Refuses the job permanently.
    Refuse(JobId),
}

/// A scheduling policy that the simulator can run.
pub trait Policy {
    /// Name in tables and files.
    fn name(&self) -> &'static str;

    /// Handles an event.
    fn on_event(&mut self, now: Time, event: PolicyEvent<'_>);

    /// Returns the actions that follow from all events so far.
    fn decide(&mut self, now: Time) -> Vec<Action>;

    /// Time of the next decision that is due without an event, if any.
    fn next_wake(&self, _now: Time) -> Option<Time> {
        None
    }

    /// Number of internal errors, such as records that the policy's own state rejects.
    fn internal_errors(&self) -> u64 {
        0
    }
}
