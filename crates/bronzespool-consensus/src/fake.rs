//! In-memory storage that can lose writes and fail, for tests and examples.

use {
    crate::{
        error::{Error, Result},
        storage::{DurableState, Storage, StorageWrite},
    },
    bronzespool_core::Code,
};

/// In-memory storage with a durable part and a pending part that a crash loses.
#[derive(Clone, Debug, Default)]
pub struct MemoryStorage {
    durable: DurableState,
    pending: Vec<StorageWrite>,
    failing: bool,
}

impl MemoryStorage {
    /// Stages writes without making them durable, like writes whose sync has not finished.
    pub fn stage(&mut self, writes: &[StorageWrite]) {
        self.pending.extend_from_slice(writes);
    }

    /// Makes all staged writes durable.
    pub fn sync(&mut self) -> Result<()> {
        if self.failing {
            return Err(Error::fault(Code::StorageFailed, "sync"));
        }
        for write in std::mem::take(&mut self.pending) {
            self.durable.apply(&write);
        }
        Ok(())
    }

    /// Loses all staged writes except the first `kept`, which become durable.
    pub fn crash(&mut self, kept: usize) {
        for write in std::mem::take(&mut self.pending).iter().take(kept) {
            self.durable.apply(write);
        }
    }

    /// Loses all staged writes except the first snapshot, like a storage that replaces the snapshot
    /// before the log when it loses power between the two.
    pub fn crash_after_snapshot(&mut self) {
        let pending = std::mem::take(&mut self.pending);
        if let Some(write) = pending.iter().find(|w| matches!(w, StorageWrite::Snapshot(_))) {
            self.durable.apply(write);
        }
    }

    /// Loses all data, like a replaced disk.
    pub fn wipe(&mut self) {
        *self = Self::default();
    }

    /// Sets whether every following sync fails.
    pub fn set_failing(&mut self, failing: bool) {
        self.failing = failing;
    }
}

impl Storage for MemoryStorage {
    fn load(&mut self) -> Result<DurableState> {
        Ok(self.durable.clone())
    }

    fn write(&mut self, writes: &[StorageWrite]) -> Result<()> {
        self.stage(writes);
        self.sync()
    }
}
