//! Maintenance waves: sets of machines that each have to go down once.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, sync::Arc},
};

/// An operator's order for a maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveSpec {
    /// Number, chosen by the operator.
    pub id: u64,
    /// Machines of the wave.
    pub machines: Vec<Arc<str>>,
    /// Milliseconds within which all machines should have begun their maintenance.
    pub duration: u64,
    /// Most machines that may be down at once.
    pub down_max: u32,
}

/// Why a wave is rejected.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// at least one machine of a wave may be down at a time
    DownMax,
}

impl std::error::Error for Error {}

impl WaveSpec {
    /// Bytes that each replica holds for the wave, about.
    pub fn stored_bytes(&self) -> usize {
        const WAVE_BYTES: usize = 200;
        const NAME_BYTES: usize = 120;
        const NAME_COPIES: usize = 4;
        let name = |m: &Arc<str>| NAME_BYTES + m.len() * NAME_COPIES;
        let names: usize = self.machines.iter().map(name).sum();
        WAVE_BYTES + names
    }

    /// Rejects a wave that could never finish.
    pub const fn check(&self) -> Result<(), Error> {
        if self.down_max == 0 && !self.machines.is_empty() { Err(Error::DownMax) } else { Ok(()) }
    }
}

/// A maintenance wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// As ordered.
    pub spec: Arc<WaveSpec>,
    /// Log time of the order.
    pub ordered_at: bronzespool_core::Time,
    /// Machines that have begun their maintenance, or do not exist any more.
    pub begun: BTreeSet<Arc<str>>,
}

impl Wave {
    /// Returns the machines that have not begun their maintenance.
    pub fn remaining(&self) -> impl Iterator<Item = &Arc<str>> {
        self.spec.machines.iter().filter(|m| !self.begun.contains(*m))
    }

    /// Whether all machines have begun their maintenance.
    pub fn is_done(&self) -> bool {
        self.remaining().next().is_none()
    }
}
