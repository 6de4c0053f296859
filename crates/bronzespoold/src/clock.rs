//! The process's monotonic clock.

use {bronzespool::core::Time, std::time::Instant};

/// Monotonic time since the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        let micros = u64::try_from(self.origin.elapsed().as_micros()).unwrap_or(u64::MAX);
        Time::from_micros(micros)
    }
}
