//! Bound of what is accepted: jobs and waves are kept by every replica, in its log and in its snapshots.

use {
    crate::{
        control::batch::BatchController, limits::RETRY_DELAY, memory, telemetry::record_rejection,
    },
    bronzespool::{
        batch::{message::Denial, spec::JobSpec},
        core::{Time, bound::Bound},
    },
    std::{cell::Cell, rc::Rc, time::Duration},
};

/// Longest time for which a count of the ledger is used. Meanwhile only what is accepted is added.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes that jobs and waves take in the ledger, with those on their way into it.
pub(super) struct Storage {
    counted_at: Option<Time>,
    /// Bytes in the ledger at the last count, and of what was applied since.
    counted: Rc<Cell<usize>>,
    on_way: Rc<Cell<usize>>,
    bound: Bound,
}

/// Bytes that are on their way into the ledger, until this is dropped.
pub(super) struct StorageRoom {
    counted: Rc<Cell<usize>>,
    on_way: Rc<Cell<usize>>,
    bytes: usize,
}

impl Default for Storage {
    fn default() -> Self {
        let bound = Bound::new("stored jobs", memory::stored_max());
        Self { counted_at: None, counted: Rc::default(), on_way: Rc::default(), bound }
    }
}

impl Drop for StorageRoom {
    fn drop(&mut self) {
        self.on_way.set(self.on_way.get() - self.bytes);
        self.counted.set(self.counted.get() + self.bytes);
    }
}

impl BatchController {
    /// Room for `bytes` in the ledger; none if it would hold more than this process's share of memory.
    /// The room is counted until the record is applied, and with the ledger from then on.
    pub(super) fn take_storage(&self, bytes: usize) -> Option<StorageRoom> {
        let now = self.clock.now();
        let mut storage = self.storage.borrow_mut();
        if storage.counted_at.is_none_or(|at| now.since(at) >= COUNT_INTERVAL) {
            storage.counted.set(self.replica.state().batch().stored_bytes());
            storage.counted_at = Some(now);
        }
        let held = storage.counted.get() + storage.on_way.get();
        if held + bytes > memory::stored_max() {
            record_rejection(&mut storage.bound, held);
            return None;
        }
        storage.on_way.set(storage.on_way.get() + bytes);
        let (counted, on_way) = (Rc::clone(&storage.counted), Rc::clone(&storage.on_way));
        Some(StorageRoom { counted, on_way, bytes })
    }

    /// As [`Self::take_storage`], for a job.
    pub(super) fn take_job_storage(&self, spec: &JobSpec) -> Result<StorageRoom, Denial> {
        let seconds = RETRY_DELAY.as_secs() as u32;
        self.take_storage(spec.stored_bytes()).ok_or(Denial::Overloaded(seconds))
    }
}
