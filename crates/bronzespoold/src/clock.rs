//! The process's steady clock.

use {
    bronzespool::core::Time,
    rustix::time::{ClockId, Timespec, clock_gettime},
};

/// Steady time since the start of the process.
///
/// Time in which the machine is suspended counts: whoever holds a lease must see that it has
/// passed.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: u64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { origin: boottime_micros() }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        Time::from_micros(boottime_micros().saturating_sub(self.origin))
    }
}

fn boottime_micros() -> u64 {
    const MICROS_PER_SECOND: u64 = 1_000_000;
    const NANOS_PER_MICRO: u64 = 1_000;
    let Timespec { tv_sec, tv_nsec } = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(tv_sec).unwrap_or(0);
    let nanos = u64::try_from(tv_nsec).unwrap_or(0);
    seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO
}
