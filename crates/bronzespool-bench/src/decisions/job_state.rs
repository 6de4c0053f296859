//! What the driver knows of each job, and the events of its queue.

use {
    crate::decisions::{JobId, Slot},
    bronzespool_core::Time,
    std::time::Duration,
};

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
    /// Set-up time of the current run.
    pub(super) setup: Duration,
    /// Work kept from earlier runs.
    pub(super) kept: Duration,
    pub(super) failures: u32,
    pub(super) has_started: bool,
    /// A member was lost: nothing is done until the gang has ended.
    pub(super) member_lost: bool,
    /// When the first member was lost.
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

/// Free, unusable and least unusable accelerators.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CapacityUse {
    pub(super) free: f64,
    pub(super) unusable: f64,
    pub(super) floor: f64,
}
