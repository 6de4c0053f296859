//! One team's share at one entry.

use {
    super::share::{Lease, Limit, RATE_SCALE},
    bronzespool_core::Time,
    std::time::Duration,
};

/// Longest span whose tokens a bucket saves.
const BURST: Duration = Duration::from_secs(1);
/// Microseconds in a second.
const MICROS: u64 = 1_000_000;
/// Wait named when there is no share at all.
const NO_SHARE_WAIT: Duration = Duration::from_secs(1);

/// Why a request may not start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Throttled {
    /// The rate is used up; a token comes after this span.
    Rate(Duration),
    /// As many requests are in flight as the share allows.
    Inflight,
    /// There is no share, or its lease has ended.
    NoShare,
}

impl Throttled {
    /// When trying again may help, given the mean time of a request.
    pub const fn retry_after(self, service: Duration) -> Duration {
        match self {
            Self::Rate(span) => span,
            Self::Inflight => service,
            Self::NoShare => NO_SHARE_WAIT,
        }
    }
}

/// Token bucket and in-flight count under a lease.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    lease: Lease,
    /// Millionths of a thousandth of a token.
    tokens: u64,
    filled: Time,
    inflight: u32,
    asked: u64,
    peak: u32,
}

impl Bucket {
    /// Requests in flight.
    pub const fn inflight(&self) -> u32 {
        self.inflight
    }

    /// The share, whether or not its lease has ended.
    pub const fn share(&self) -> Limit {
        self.lease.limit
    }

    /// Puts a share in force until `until`. A larger rate starts without saved tokens.
    pub fn set(&mut self, now: Time, limit: Limit, until: Time) {
        self.fill(now);
        self.lease = Lease { limit, until };
        self.tokens = self.tokens.min(cap(limit.rate));
    }

    /// Admits a request, which is in flight until [`Bucket::release`].
    pub fn acquire(&mut self, now: Time) -> std::result::Result<(), Throttled> {
        self.asked += 1;
        self.peak = self.peak.max(self.inflight.saturating_add(1));
        self.check(now)?;
        self.tokens -= RATE_SCALE * MICROS;
        self.inflight += 1;
        Ok(())
    }

    /// Whether [`Bucket::acquire`] would admit a request now.
    pub fn check(&mut self, now: Time) -> std::result::Result<(), Throttled> {
        self.fill(now);
        if now >= self.lease.until || self.lease.limit.rate == 0 {
            return Err(Throttled::NoShare);
        }
        if self.inflight >= self.lease.limit.inflight {
            return Err(Throttled::Inflight);
        }
        let missing = (RATE_SCALE * MICROS).saturating_sub(self.tokens);
        if missing > 0 {
            let micros = missing.div_ceil(self.lease.limit.rate);
            return Err(Throttled::Rate(Duration::from_micros(micros)));
        }
        Ok(())
    }

    /// A request has ended.
    pub const fn release(&mut self) {
        self.inflight = self.inflight.saturating_sub(1);
    }

    /// What may still be used: the share while its lease lasts, and what is in flight.
    pub fn usable(&self, now: Time) -> Limit {
        let share = if now < self.lease.until { self.lease.limit } else { Limit::default() };
        share.max(Limit { rate: 0, inflight: self.inflight })
    }

    /// What was asked for since the last call, over `span`.
    pub fn demand(&mut self, span: Duration) -> Limit {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX).max(1);
        let rate = self.asked.saturating_mul(RATE_SCALE * MICROS) / micros;
        let inflight = self.peak.max(self.inflight);
        self.asked = 0;
        self.peak = self.inflight;
        Limit { rate, inflight }
    }

    fn fill(&mut self, now: Time) {
        let ends = now.min(self.lease.until);
        let micros = u64::try_from(ends.since(self.filled).as_micros()).unwrap_or(u64::MAX);
        let fresh = self.lease.limit.rate.saturating_mul(micros);
        self.tokens = self.tokens.saturating_add(fresh).min(cap(self.lease.limit.rate));
        self.filled = self.filled.max(now);
    }
}

/// Most tokens saved at `rate`: those of [`BURST`], at least one.
const fn cap(rate: u64) -> u64 {
    let burst = rate.saturating_mul(BURST.as_micros() as u64);
    if burst > RATE_SCALE * MICROS { burst } else { RATE_SCALE * MICROS }
}
