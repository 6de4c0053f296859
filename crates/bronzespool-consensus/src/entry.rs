//! Entries of the log.

use {
    crate::members::Members,
    serde::{
        Deserialize, Deserializer, Serialize, Serializer,
        de::{SeqAccess, Visitor},
    },
    std::{fmt, ops::Deref, sync::Arc},
};

/// Position in the log; the first entry has index 1.
pub type Index = u64;
/// Election epoch; at most one leader exists in each.
pub type Term = u64;

/// Identity of a replica, made when its disk is first formatted.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Id(pub u64);

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Shared immutable bytes.
#[derive(Clone, Default, PartialEq, Eq, Hash)]
pub struct Payload(Arc<[u8]>);

impl Deref for Payload {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl From<Vec<u8>> for Payload {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }
}

impl From<&[u8]> for Payload {
    fn from(bytes: &[u8]) -> Self {
        Self(bytes.into())
    }
}

impl fmt::Debug for Payload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Payload({} bytes)", self.len())
    }
}

impl Serialize for Payload {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(self)
    }
}

impl<'de> Deserialize<'de> for Payload {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_bytes(PayloadVisitor)
    }
}

struct PayloadVisitor;

impl<'de> Visitor<'de> for PayloadVisitor {
    type Value = Payload;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Payload, E> {
        Ok(bytes.into())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Payload, A::Error> {
        let mut bytes = Vec::new();
        while let Some(byte) = seq.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes.into())
    }
}

/// What an entry carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Start of a leader's term.
    Noop,
    /// A command of the embedder's state machine.
    Data(Payload),
    /// A new membership, in effect from the moment it is appended.
    Members(Members),
}

/// One record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log.
    pub index: Index,
    /// Term of the leader that made it.
    pub term: Term,
    /// Contents.
    pub change: Change,
}

impl Entry {
    /// The command, if the entry carries one.
    pub fn data(&self) -> Option<&[u8]> {
        match &self.change {
            Change::Data(bytes) => Some(bytes),
            Change::Noop | Change::Members(_) => None,
        }
    }

    /// Bytes that the entry counts against limits.
    pub fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 16;
        const MEMBER_BYTES: usize = 80;
        match &self.change {
            Change::Noop => OVERHEAD_BYTES,
            Change::Data(bytes) => OVERHEAD_BYTES + bytes.len(),
            Change::Members(members) => OVERHEAD_BYTES + members.list.len() * MEMBER_BYTES,
        }
    }
}
