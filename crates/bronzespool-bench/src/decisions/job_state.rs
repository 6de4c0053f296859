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
    GangBound { job: JobId, run: u32 },
    Sample,
    Wake,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    Future,
    Waiting,
    Running,
    Stopping,
    Gone,
}

#[derive(Clone, Debug)]
pub(super) struct State {
    pub(super) phase: Phase,
    pub(super) slots: Vec<Slot>,
    pub(super) run: u32,
    pub(super) began: Time,
    /// Set-up time of the current run.
    pub(super) setup: Duration,
    /// Work kept from earlier runs.
    pub(super) kept: Duration,
    pub(super) failures: u32,
    pub(super) started: bool,
    /// A member was lost: nothing is done until the gang has ended.
    pub(super) partial: bool,
    /// When the first member was lost.
    pub(super) hit: Time,
}

pub(super) const FRESH: State = State {
    phase: Phase::Future,
    slots: Vec::new(),
    run: 0,
    began: Time::ZERO,
    setup: Duration::ZERO,
    kept: Duration::ZERO,
    failures: 0,
    started: false,
    partial: false,
    hit: Time::ZERO,
};

/// Free, unusable and least unusable accelerators.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Level {
    pub(super) free: f64,
    pub(super) unusable: f64,
    pub(super) floor: f64,
}
