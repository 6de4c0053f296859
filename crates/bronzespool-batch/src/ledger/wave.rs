//! Waves of maintenance: machines that each have to go down once.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, sync::Arc},
};

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveSpec {
    /// Number, chosen by the operator.
    pub id: u64,
    /// Machines.
    pub machines: Vec<Arc<str>>,
    /// Milliseconds in which all of them should have begun.
    pub duration: u64,
    /// Most machines that may be down at once.
    pub down_max: u32,
}

/// Why a wave is refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// at least one machine of a wave may be down at a time
    DownMax,
}

impl std::error::Error for Error {}

impl WaveSpec {
    /// Refuses a wave that could never end.
    pub const fn check(&self) -> Result<(), Error> {
        if self.down_max == 0 && !self.machines.is_empty() { Err(Error::DownMax) } else { Ok(()) }
    }
}

/// A wave.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// As ordered.
    pub spec: Arc<WaveSpec>,
    /// Log time of the order.
    pub ordered_at: bronzespool_core::Time,
    /// Machines that have begun their maintenance, or are not there any more.
    pub begun: BTreeSet<Arc<str>>,
}

impl Wave {
    /// Machines that have not begun.
    pub fn remaining(&self) -> impl Iterator<Item = &Arc<str>> {
        self.spec.machines.iter().filter(|m| !self.begun.contains(*m))
    }

    /// Whether all machines have begun.
    pub fn is_done(&self) -> bool {
        self.remaining().next().is_none()
    }
}
