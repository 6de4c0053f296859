//! Seeded arrival schedule.

use std::time::Duration;

/// Poisson arrivals: the gaps between them are independent and exponentially distributed.
#[derive(Clone, Debug)]
pub struct Arrivals {
    rng: fastrand::Rng,
    rate: f64,
    last_secs: f64,
}

impl Arrivals {
    /// Creates a schedule of `rate` arrivals per second on average; equal seeds give equal
    /// schedules.
    pub fn new(seed: u64, rate: f64) -> Self {
        Self { rng: fastrand::Rng::with_seed(seed), rate, last_secs: 0.0 }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    /// Time of the next arrival since the start of the schedule. The schedule has no end.
    fn next(&mut self) -> Option<Duration> {
        let uniform = 1.0 - self.rng.f64();
        self.last_secs -= uniform.ln() / self.rate;
        Some(Duration::from_secs_f64(self.last_secs))
    }
}
