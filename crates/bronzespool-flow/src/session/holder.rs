//! The holder's side of a session.

use {bronzespool_core::Time, std::time::Duration};

/// Validity of a session by the clock of its holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SessionHolder {
    expires_at: Time,
}

impl SessionHolder {
    /// A holder without a session.
    pub const fn new() -> Self {
        Self { expires_at: Time::ZERO }
    }

    /// Records that the renewal sent at `sent` was granted for `lease`.
    pub fn record_renewal(&mut self, sent: Time, lease: Duration) {
        self.expires_at = self.expires_at.max(sent + lease);
    }

    /// Ends the session at once.
    pub const fn end(&mut self) {
        self.expires_at = Time::ZERO;
    }

    /// Whether the session is valid, so that new work may be accepted.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.expires_at
    }

    /// When the session expires unless it is renewed.
    pub const fn expires_at(&self) -> Time {
        self.expires_at
    }
}
