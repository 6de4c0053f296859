//! Entries of the replicated log.

use {
    crate::membership::Membership,
    serde::{
        Deserialize, Deserializer, Serialize, Serializer,
        de::{SeqAccess, Visitor},
    },
    std::{fmt, ops::Deref, sync::Arc},
};

/// Position in the log; the first entry has index 1.
pub type Index = u64;
/// Election term; each term has at most one leader.
pub type Term = u64;

/// Identity of a replica, assigned when its disk is first formatted.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Immutable bytes behind a reference count.
#[derive(Clone, Default, PartialEq, Eq, Hash)]
pub struct SharedBytes(Arc<[u8]>);

impl Deref for SharedBytes {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl From<Vec<u8>> for SharedBytes {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }
}

impl From<&[u8]> for SharedBytes {
    fn from(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }
}

impl fmt::Debug for SharedBytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SharedBytes({} bytes)", self.len())
    }
}

impl Serialize for SharedBytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(self)
    }
}

impl<'de> Deserialize<'de> for SharedBytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(SharedBytesVisitor)
    }
}

struct SharedBytesVisitor;

impl<'de> Visitor<'de> for SharedBytesVisitor {
    type Value = SharedBytes;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<SharedBytes, E> {
        Ok(bytes.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<SharedBytes, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = seq.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes.into())
    }
}

/// Contents of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// First entry of a leader's term.
    Noop,
    /// A command for the embedder's state machine.
    Command(SharedBytes),
    /// A new membership, in effect as soon as it is appended.
    Membership(Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that created the entry.
    pub term: Term,
    /// Contents.
    pub payload: EntryPayload,
}

impl Entry {
    /// The command, if the entry holds one.
    pub fn command(&self) -> Option<&[u8]> {
        match &self.payload {
            EntryPayload::Command(bytes) => Some(bytes),
            EntryPayload::Noop | EntryPayload::Membership(_) => None,
        }
    }

    /// Bytes that the entry counts towards size limits.
    pub fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 16;
        const MEMBER_BYTES: usize = 80;
        match &self.payload {
            EntryPayload::Noop => OVERHEAD_BYTES,
            EntryPayload::Command(bytes) => OVERHEAD_BYTES + bytes.len(),
            EntryPayload::Membership(membership) => {
                OVERHEAD_BYTES + membership.members.len() * MEMBER_BYTES
            }
        }
    }
}
