//! Durable state of a replica.

mod file;
mod frame;

pub use self::file::FileStorage;

use {
    crate::{
        entry::{Entry, Index, ReplicaId, Term},
        error::Result,
        snapshot::Snapshot,
    },
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// State besides the log that a replica must never lose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Identity of this disk.
    pub id: ReplicaId,
    /// Identity of the cluster, or zero before the replica belongs to one.
    pub cluster: u64,
    /// Highest term seen.
    pub term: Term,
    /// Candidate that this replica voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// A change to the durable state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StorageWrite {
    /// Replaces the hard state.
    HardState(HardState),
    /// Appends entries to the log.
    Append(Vec<Entry>),
    /// Removes the entries from an index on.
    Truncate(Index),
    /// Replaces the snapshot. Later entries are kept only if the log contains the snapshot's last
    /// entry with the same term.
    Snapshot(Arc<Snapshot>),
}

/// State recovered from a storage.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DurableState {
    /// The hard state; `None` on a blank disk.
    pub hard_state: Option<HardState>,
    /// The last snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl DurableState {
    /// Applies a write to this copy of the state.
    pub(crate) fn apply(&mut self, write: &StorageWrite) {
        match write {
            StorageWrite::HardState(hard_state) => self.hard_state = Some(*hard_state),
            StorageWrite::Append(entries) => self.append(entries),
            StorageWrite::Truncate(from) => self.truncate(*from),
            StorageWrite::Snapshot(snapshot) => self.install_snapshot(snapshot),
        }
    }

    fn append(&mut self, entries: &[Entry]) {
        if let Some(first) = entries.first() {
            self.truncate(first.index);
        }
        self.entries.extend_from_slice(entries);
    }

    fn truncate(&mut self, from: Index) {
        while self.entries.pop_if(|e| e.index >= from).is_some() {}
    }

    pub(crate) fn install_snapshot(&mut self, snapshot: &Arc<Snapshot>) {
        let meta = &snapshot.meta;
        let is_same_log = self.entries.iter().any(|e| e.index == meta.index && e.term == meta.term);
        self.entries.retain(|e| is_same_log && e.index > meta.index);
        self.snapshot = Some(snapshot.clone());
    }
}

/// Durable storage of a replica.
pub trait Storage {
    /// Reads the durable state.
    fn load(&mut self) -> Result<DurableState>;

    /// Makes the writes durable in order and returns once they are.
    ///
    /// After an error the state of these writes is unknown, so the replica must stop.
    fn write(&mut self, writes: &[StorageWrite]) -> Result<()>;
}
