//! Storage in memory that fails as disks do, for tests and for trying out.

use {
    crate::{
        error::{Error, Result},
        storage::{DurableState, Storage, StorageWrite},
    },
    bronzespool_core::Code,
};

/// Storage in memory with a durable part and a part that a crash loses.
#[derive(Clone, Debug, Default)]
pub struct MemoryStorage {
    durable: DurableState,
    pending: Vec<StorageWrite>,
    failing: bool,
}

impl MemoryStorage {
    /// Takes writes without making them durable, as before the end of a sync.
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

    /// Loses what is not durable, except for the first `torn` writes of it.
    pub fn crash(&mut self, torn: usize) {
        for write in std::mem::take(&mut self.pending).iter().take(torn) {
            self.durable.apply(write);
        }
    }

    /// Loses everything, as a replaced disk.
    pub fn wipe(&mut self) {
        *self = Self::default();
    }

    /// Makes every sync fail from now on, or succeed again.
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
