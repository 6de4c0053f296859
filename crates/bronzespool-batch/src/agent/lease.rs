//! Leases on the clock of a worker, which may run slow.

use {bronzespool_core::Time, std::time::Duration};

/// Slowest rate of a worker's clock, in percent of true time.
const CLOCK_RATE_MIN_PERCENT: u64 = 98;
/// Added to a lease before it counts as expired, since the worker's timer may fire a little late.
const EXPIRY_MARGIN_MILLIS: u64 = 200;

/// Returns the longest true time that a lease of `span` can last on a slow clock.
pub fn lease_duration_max(span: Duration) -> Duration {
    span * 100 / CLOCK_RATE_MIN_PERCENT as u32 + Duration::from_millis(EXPIRY_MARGIN_MILLIS)
}

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The worker's clock in milliseconds.
    pub clock: u64,
    /// When the answer with this reading arrived.
    pub at: Time,
}

impl ClockReading {
    /// Returns a time that the worker's clock has certainly reached at `now`.
    pub fn lower_bound(&self, now: Time) -> u64 {
        if now < self.at {
            let before = self.at.since(now).as_micros().div_ceil(1_000) as u64;
            return self.clock.saturating_sub(before);
        }
        let passed = now.since(self.at).as_millis() as u64;
        self.clock.saturating_add(passed * CLOCK_RATE_MIN_PERCENT / 100)
    }
}

/// The lease of all runs of one worker incarnation.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    reading: Option<ClockReading>,
    /// Latest lease end that any call could have set, on the worker's clock.
    latest_end: u64,
}

impl Lease {
    /// Takes a reading of the worker's clock.
    pub fn read(&mut self, reading: ClockReading) {
        self.reading = Some(reading);
    }

    /// Whether the worker's clock has been read.
    pub const fn is_read(&self) -> bool {
        self.reading.is_some()
    }

    /// Returns the lease end to request at `now`, on the worker's clock. The leader allowed `span`
    /// from `granted` on, and the worker accepts at most `lease_max`. None once the allowance has
    /// passed.
    pub fn extend(
        &mut self,
        now: Time,
        granted: Time,
        span: Duration,
        lease_max: Duration,
    ) -> Option<u64> {
        let reading = self.reading?;
        let after = |at: Time, span: Duration| {
            reading.lower_bound(at).saturating_add(span.as_millis() as u64)
        };
        let (allowed, limit) = (after(granted, span), after(now, lease_max));
        let end = allowed.min(limit);
        if end <= reading.lower_bound(now) {
            return None;
        }
        self.latest_end = self.latest_end.max(end);
        Some(end)
    }

    /// Whether every lease that could have been set has certainly expired. If this process has
    /// never read the worker's clock, the worker may still hold a lease of `lease_max` from an
    /// earlier process, counted from `start`.
    pub fn has_expired(&self, now: Time, start: Time, lease_max: Duration) -> bool {
        let earlier_expired = now.since(start) > lease_duration_max(lease_max);
        match self.reading {
            Some(r) => {
                earlier_expired
                    && r.lower_bound(now) > self.latest_end.saturating_add(EXPIRY_MARGIN_MILLIS)
            }
            None => earlier_expired,
        }
    }
}
