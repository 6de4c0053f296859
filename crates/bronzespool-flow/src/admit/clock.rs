//! Lower bound of another process's clock.

use bronzespool_core::Time;

/// A reading of a peer's clock and when it arrived here.
///
/// The peer read its clock before the reading arrived, so [`PeerClock::now`] is never ahead of
/// the peer, but for the drift between the clocks since then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerClock {
    reading: Time,
    arrived: Time,
}

impl PeerClock {
    /// The peer's `reading`, which arrived at `arrived` on the own clock.
    pub const fn new(reading: Time, arrived: Time) -> Self {
        Self { reading, arrived }
    }

    /// What the peer's clock shows at least when the own clock shows `now`.
    pub fn now(&self, now: Time) -> Time {
        self.reading + now.since(self.arrived)
    }
}
