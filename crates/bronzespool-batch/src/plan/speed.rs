//! Preference among workers that are not equally fast.
//!
//! Covers a service whose workers differ in speed, with urgent gangs beside work that can wait. A gang
//! ends with its slowest member, so one slow worker delays the whole gang. A task group is therefore
//! placed on the slowest workers on which its job still ends in time, which keeps fast workers free
//! for groups that need them. If no worker is fast enough, it is placed on the fastest ones.

use {
    crate::plan::urgency::Urgency, bronzespool_core::Instance, bronzespool_estimate::Estimates,
    std::time::Duration,
};

/// Natural logarithm of the ratio of the speeds of two neighbouring classes. Speeds within a class count as
/// equal, so that small differences do not spread tasks over more workers.
const CLASS_WIDTH: f64 = 0.5;
/// Factor by which a task may take longer than expected: tasks of one step differ, the slowest member
/// ends a gang, and declared durations are rough.
const DURATION_MARGIN: f64 = 2.0;

/// Class of worker speeds; a typical worker has class zero, faster ones a higher class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SpeedClass(i32);

impl SpeedClass {
    /// Returns the class of the worker beside the agent on an instance.
    pub(super) fn of_worker(estimates: &Estimates, instance: &Instance) -> Self {
        Self((estimates.speed(instance).factor.ln() / CLASS_WIDTH).round() as i32)
    }

    /// Whether the worker is as fast as a typical one.
    pub(super) const fn is_typical(self) -> bool {
        self.0 == 0
    }

    /// Returns the lowest class with at least this speed.
    fn at_least(factor: f64) -> Self {
        Self((factor.ln() / CLASS_WIDTH).ceil() as i32)
    }
}

/// Sort key of a worker by its speed: smaller is better.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SpeedRank {
    is_slow: bool,
    order: i32,
}

/// The speed that a task group needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SpeedNeed(SpeedClass);

impl SpeedNeed {
    /// Returns the speed at which a group's job ends within its allowed duration or, if that is not
    /// possible any more, before its cutoff.
    pub(super) fn of(urgency: &Urgency) -> Self {
        let left = urgency.time_left();
        if left == Duration::ZERO || urgency.remaining == Duration::ZERO {
            return Self::default();
        }
        let factor = urgency.remaining.as_secs_f64() / left.as_secs_f64() * DURATION_MARGIN;
        Self(SpeedClass::at_least(factor))
    }

    /// Returns the rank of a worker for the group.
    pub(super) fn rank(self, class: SpeedClass) -> SpeedRank {
        let is_slow = class < self.0;
        SpeedRank { is_slow, order: if is_slow { -class.0 } else { class.0 } }
    }
}
