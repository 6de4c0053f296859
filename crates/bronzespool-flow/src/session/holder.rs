//! The session as its holder sees it.

use {bronzespool_core::Time, std::time::Duration};

/// Validity of a session by its holder's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Holder {
    until: Time,
}

impl Holder {
    /// A holder without a session.
    pub const fn new() -> Self {
        Self { until: Time::ZERO }
    }

    /// Notes that the renewal sent at `sent` was granted for `lease`.
    pub fn renewed(&mut self, sent: Time, lease: Duration) {
        self.until = self.until.max(sent + lease);
    }

    /// Ends the session at once.
    pub const fn end(&mut self) {
        self.until = Time::ZERO;
    }

    /// Whether new work may be taken.
    pub fn valid(&self, now: Time) -> bool {
        now < self.until
    }

    /// When the session ends unless renewed.
    pub const fn until(&self) -> Time {
        self.until
    }
}
