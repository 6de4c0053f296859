//! Lower bound of the clock of another process.

use bronzespool_core::Time;

/// A reading of a peer's clock, and the local time at which it arrived.
///
/// The peer read its clock before the reading arrived, so [`PeerClock::now`] is never ahead of the
/// peer's clock, except for the drift between the clocks since then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerClock {
    reading: Time,
    arrived: Time,
}

impl PeerClock {
    /// The peer's `reading`, which arrived at `arrived` on the local clock.
    pub const fn new(reading: Time, arrived: Time) -> Self {
        Self { reading, arrived }
    }

    /// Lower bound of the peer's clock when the local clock shows `now`.
    pub fn now(&self, now: Time) -> Time {
        self.reading + now.since(self.arrived)
    }
}
