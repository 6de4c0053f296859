//! Leases on a worker's clock, which may run slow.

use {bronzespool_core::Time, std::time::Duration};

/// Slowest rate of a worker's clock in percent of true time.
const SLOWEST_PERCENT: u64 = 98;
/// Added before a lease counts as ended: the worker may act on its own timer a little late.
const END_SLACK_MILLIS: u64 = 200;

/// Longest true time that a lease of `span` can last on a slow clock.
pub fn lease_duration_max(span: Duration) -> Duration {
    span * 100 / SLOWEST_PERCENT as u32 + Duration::from_millis(END_SLACK_MILLIS)
}

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The worker's clock in milliseconds.
    pub clock: u64,
    /// When the answer that carried it arrived.
    pub at: Time,
}

impl ClockReading {
    /// A time that the worker's clock has surely reached at `now`.
    pub fn lower_bound(&self, now: Time) -> u64 {
        if now < self.at {
            let before = self.at.since(now).as_micros().div_ceil(1_000) as u64;
            return self.clock.saturating_sub(before);
        }
        let passed = now.since(self.at).as_millis() as u64;
        self.clock + passed * SLOWEST_PERCENT / 100
    }
}

/// The lease of all that runs in one life of a worker.
#[derive(Clone, Debug, Default)]
pub struct Lease {
    reading: Option<ClockReading>,
    /// Latest end that any call could have set, on the worker's clock.
    latest: u64,
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

    /// The end to ask for at `now`, on the worker's clock, where control allowed `span` from
    /// `granted` and the worker takes `hold` at most. None once the allowance has passed.
    pub fn extend(
        &mut self,
        now: Time,
        granted: Time,
        span: Duration,
        hold: Duration,
    ) -> Option<u64> {
        let reading = self.reading?;
        let allowed = reading.lower_bound(granted) + span.as_millis() as u64;
        let longest = reading.lower_bound(now) + hold.as_millis() as u64;
        let end = allowed.min(longest);
        if end <= reading.lower_bound(now) {
            return None;
        }
        self.latest = self.latest.max(end);
        Some(end)
    }

    /// Whether every lease that could have been set has surely ended. A worker whose clock was
    /// never read by this process may hold a lease of `hold` from an earlier one, since `start`.
    pub fn has_expired(&self, now: Time, start: Time, hold: Duration) -> bool {
        let earlier = now.since(start) > lease_duration_max(hold);
        match self.reading {
            Some(r) => earlier && r.lower_bound(now) > self.latest + END_SLACK_MILLIS,
            None => earlier,
        }
    }
}
