//! Summary of the learned run times, from which the leader of a new term starts.

use {
    crate::ledger::{EventOutcome, Ledger},
    serde::{Deserialize, Deserializer},
    std::sync::Arc,
};

/// Reads a summary, which snapshots of former versions end without.
pub(super) fn read_or_default<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Arc<[u8]>, D::Error> {
    // Only the end of the bytes can fail here, as with the crashes.
    Ok(Arc::deserialize(deserializer).unwrap_or_default())
}

impl Ledger {
    /// Returns the latest summary of the learned run times; empty if there is none. Its format is
    /// that of the leader that saved it.
    pub const fn run_times(&self) -> &Arc<[u8]> {
        &self.run_times
    }

    pub(super) fn save_run_times(&mut self, summary: &Arc<[u8]>) -> EventOutcome {
        if self.run_times == *summary {
            return EventOutcome::Known;
        }
        self.run_times = Arc::clone(summary);
        EventOutcome::Applied
    }
}
