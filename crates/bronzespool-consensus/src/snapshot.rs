//! Snapshots of the state machine.

use {
    crate::{
        entry::{Index, SharedBytes, Term},
        error::{Error, Result},
        membership::Membership,
    },
    bronzespool_core::Code,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Upper bound of the size of a snapshot's state.
const STATE_MAX_BYTES: u64 = 256 << 20;

/// Metadata of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMeta {
    /// Index of the last entry that the state includes.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Membership in effect at that index.
    pub membership: Membership,
    /// Size of the state in bytes.
    pub size: u64,
    /// CRC-32 of the state.
    pub crc: u32,
}

/// State of the embedder's state machine at a log index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Metadata.
    pub meta: SnapshotMeta,
    /// Encoded state.
    pub state: SharedBytes,
}

impl Snapshot {
    /// Creates a snapshot from the state at `index`.
    pub fn new(index: Index, term: Term, membership: Membership, state: Vec<u8>) -> Self {
        let crc = crc32fast::hash(&state);
        let meta = SnapshotMeta { index, term, membership, size: state.len() as u64, crc };
        Self { meta, state: state.into() }
    }

    /// Combines metadata with a state. Fails if the size or the checksum does not match.
    pub fn verified(meta: SnapshotMeta, state: SharedBytes) -> Result<Arc<Self>> {
        if state.len() as u64 != meta.size || crc32fast::hash(&state) != meta.crc {
            return Err(Error::fault(Code::SnapshotCorrupt, format!("index {}", meta.index)));
        }
        Ok(Arc::new(Self { meta, state }))
    }

    /// The chunk of at most `max` bytes that starts at `offset`.
    pub(crate) fn chunk(&self, offset: u64, max: usize) -> Option<SharedBytes> {
        let start = usize::try_from(offset).ok()?;
        let rest = self.state.get(start..)?;
        Some(rest[..rest.len().min(max)].into())
    }
}

/// A snapshot that is being received in chunks.
#[derive(Debug)]
pub(crate) struct SnapshotAssembly {
    meta: SnapshotMeta,
    bytes: Vec<u8>,
}

impl SnapshotAssembly {
    pub(crate) fn new(meta: SnapshotMeta) -> Option<Self> {
        (meta.size <= STATE_MAX_BYTES).then(|| Self { meta, bytes: Vec::new() })
    }

    pub(crate) const fn meta(&self) -> &SnapshotMeta {
        &self.meta
    }

    pub(crate) const fn offset(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Appends a chunk. Ignored unless it starts where the previous chunk ended and fits the
    /// size.
    pub(crate) fn push(&mut self, offset: u64, bytes: &[u8]) {
        let fits = offset + bytes.len() as u64 <= self.meta.size;
        if offset == self.offset() && fits {
            self.bytes.extend_from_slice(bytes);
        }
    }

    pub(crate) const fn is_complete(&self) -> bool {
        self.offset() == self.meta.size
    }

    pub(crate) fn finish(self) -> Result<Arc<Snapshot>> {
        Snapshot::verified(self.meta, self.bytes.into())
    }
}
