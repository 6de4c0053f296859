//! The monotonic clock of the process.

use {
    bronzespool::core::Time,
    rustix::time::{ClockId, Timespec, clock_gettime},
};

/// Monotonic time since the start of the process.
///
/// Time during which the instance is suspended counts (`CLOCK_BOOTTIME`): the holder of a lease
/// must see that the lease has expired meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: u64,
}

impl Clock {
    /// Creates a clock whose time is zero now.
    pub fn start() -> Self {
        Self { origin: boottime_micros() }
    }

    /// Current time.
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
