//! Faults that break one invariant each, to show that the oracle finds them.

use {
    bronzespool_consensus::{ReplicaId, Settings},
    bronzespool_core::Time,
};

/// Rates of clocks that drift apart too far, in thousandths of real time.
const SLOW_PERMILLE: u64 = 600;
const FAST_PERMILLE: u64 = 1_400;

/// A fault of the embedder or of its machine that the log does not tolerate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// A replica that starts is not bound by its contact with the leader before.
    ForgottenContact,
    /// Clocks drift further than the lease allows for.
    FastClocks,
    /// Syncs are reported that have not happened.
    LostSyncs,
    /// Entries are applied after the lease was checked.
    LateApplication,
    /// A blank disk gets the identity of the lost one.
    ReusedIdentity,
}

impl InjectedFault {
    /// Rate of the clock of replica `i` in thousandths of real time, instead of `rate`.
    pub(super) const fn clock_rate(self, i: usize, rate: u64) -> u64 {
        match self {
            Self::FastClocks if i == 0 => SLOW_PERMILLE,
            Self::FastClocks => FAST_PERMILLE,
            _ => rate,
        }
    }

    /// Changes the start of replica `i`.
    pub(super) fn change_start(self, i: usize, settings: &mut Settings, now: &mut Time) {
        match self {
            Self::ForgottenContact => *now = Time::ZERO,
            Self::ReusedIdentity => settings.identity = ReplicaId(i as u64 + 1),
            Self::FastClocks | Self::LostSyncs | Self::LateApplication => {}
        }
    }
}
