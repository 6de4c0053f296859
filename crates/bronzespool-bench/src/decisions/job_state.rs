//! The simulator's state of each job, and the events of its queue.

use {
    crate::decisions::{JobId, Slot},
    bronzespool_core::Time,
    std::time::Duration,
};

/// An event of the queue. `run` is the job's run number at the time of queueing: events of an
/// earlier run are ignored.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Submit(JobId),
    Cancel(Vec<JobId>),
    Fault(usize),
    End { job: JobId, run: u32 },
    Stopped { job: JobId, run: u32 },
    GangDeadline { job: JobId, run: u32 },
    Sample,
    Wake,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobPhase {
    NotSubmitted,
    Waiting,
    Running,
    Stopping,
    Removed,
}

#[derive(Clone, Debug)]
pub(super) struct JobState {
    pub(super) phase: JobPhase,
    pub(super) slots: Vec<Slot>,
    pub(super) run: u32,
    pub(super) started_at: Time,
    /// Set-up time at the beginning of the current run.
    pub(super) setup: Duration,
    /// Work that earlier runs have done and kept.
    pub(super) kept: Duration,
    pub(super) failures: u32,
    pub(super) has_started: bool,
    /// Whether a member was lost; the gang does no further work and waits for its end.
    pub(super) member_lost: bool,
    /// Time at which the first member was lost.
    pub(super) lost_at: Time,
}

pub(super) const INITIAL_STATE: JobState = JobState {
    phase: JobPhase::NotSubmitted,
    slots: Vec::new(),
    run: 0,
    started_at: Time::ZERO,
    setup: Duration::ZERO,
    kept: Duration::ZERO,
    failures: 0,
    has_started: false,
    member_lost: false,
    lost_at: Time::ZERO,
};

/// Numbers of accelerators at one point in time: free, free but unusable, and the unusable ones if
/// all free accelerators were adjacent.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CapacityUse {
    pub(super) free: f64,
    pub(super) unusable: f64,
    pub(super) floor: f64,
}
