//! The share of one team at one entry, enforced by a token bucket.

use {
    super::share::{Lease, Limit, RATE_SCALE},
    bronzespool_core::Time,
    std::time::Duration,
};

/// Longest time over which an unused bucket collects tokens.
const BURST: Duration = Duration::from_secs(1);
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Retry delay if there is no share.
const NO_SHARE_WAIT: Duration = Duration::from_secs(1);

/// Why a request may not start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Throttled {
    /// The rate is used up; the next token is available after this delay.
    Rate(Duration),
    /// The share allows no more requests in flight.
    Inflight,
    /// The team has no share here, or its lease has ended.
    NoShare,
}

impl Throttled {
    /// Delay after which a retry may succeed, given the mean time of a request.
    pub const fn retry_after(self, request_time: Duration) -> Duration {
        match self {
            Self::Rate(span) => span,
            Self::Inflight => request_time,
            Self::NoShare => NO_SHARE_WAIT,
        }
    }
}

/// Token bucket and count of requests in flight, under a lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    lease: Lease,
    /// Tokens saved. One token is [`RATE_SCALE`] times [`MICROS_PER_SECOND`] units, so that a rate
    /// multiplied by microseconds gives units.
    tokens: u64,
    filled_at: Time,
    inflight: u32,
    attempts: u64,
    peak: u32,
}

impl Bucket {
    /// Number of requests in flight.
    pub const fn inflight(&self) -> u32 {
        self.inflight
    }

    /// The latest share, even if its lease has ended.
    pub const fn share(&self) -> Limit {
        self.lease.limit
    }

    /// Replaces the share, with a lease that ends at `until`. An increase of the rate adds no
    /// tokens at once.
    pub fn set(&mut self, now: Time, limit: Limit, until: Time) {
        self.refill(now);
        self.lease = Lease { limit, until };
        self.tokens = self.tokens.min(tokens_max(limit.rate));
    }

    /// Admits a request, which counts as in flight until [`Bucket::release`]. A refused request
    /// counts as demand too.
    pub fn acquire(&mut self, now: Time) -> std::result::Result<(), Throttled> {
        self.attempts += 1;
        self.peak = self.peak.max(self.inflight.saturating_add(1));
        self.check(now)?;
        self.tokens -= RATE_SCALE * MICROS_PER_SECOND;
        self.inflight += 1;
        Ok(())
    }

    /// Whether [`Bucket::acquire`] would admit a request now. Does not count as demand.
    pub fn check(&mut self, now: Time) -> std::result::Result<(), Throttled> {
        self.refill(now);
        if now >= self.lease.until || self.lease.limit.rate == 0 {
            return Err(Throttled::NoShare);
        }
        if self.inflight >= self.lease.limit.inflight {
            return Err(Throttled::Inflight);
        }
        let missing = (RATE_SCALE * MICROS_PER_SECOND).saturating_sub(self.tokens);
        if missing > 0 {
            let micros = missing.div_ceil(self.lease.limit.rate);
            return Err(Throttled::Rate(Duration::from_micros(micros)));
        }
        Ok(())
    }

    /// Records the end of a request.
    pub const fn release(&mut self) {
        self.inflight = self.inflight.saturating_sub(1);
    }

    /// What this entry may still use: the share while its lease lasts, and at least the requests in
    /// flight.
    pub fn usable(&self, now: Time) -> Limit {
        let share = if now < self.lease.until { self.lease.limit } else { Limit::default() };
        share.max(Limit { rate: 0, inflight: self.inflight })
    }

    /// Demand since the last call, with the rate averaged over `span`.
    pub fn demand(&mut self, span: Duration) -> Limit {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1);
        let rate = self.attempts.saturating_mul(RATE_SCALE * MICROS_PER_SECOND) / micros;
        let inflight = self.peak.max(self.inflight);
        self.attempts = 0;
        self.peak = self.inflight;
        Limit { rate, inflight }
    }

    fn refill(&mut self, now: Time) {
        let end = now.min(self.lease.until);
        let micros = u64::try_from(end.since(self.filled_at).as_micros()).unwrap_or(u64::MAX);
        let fresh = self.lease.limit.rate.saturating_mul(micros);
        self.tokens = self.tokens.saturating_add(fresh).min(tokens_max(self.lease.limit.rate));
        self.filled_at = self.filled_at.max(now);
    }
}

/// Maximum number of tokens saved at `rate`: those of [`BURST`], but at least one.
const fn tokens_max(rate: u64) -> u64 {
    let burst = rate.saturating_mul(BURST.as_micros() as u64);
    if burst > RATE_SCALE * MICROS_PER_SECOND { burst } else { RATE_SCALE * MICROS_PER_SECOND }
}
