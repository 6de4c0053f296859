//! Messages between replicas.

use {
    crate::{
        entry::{Entry, Index, ReplicaId, SharedBytes, Term},
        error::{Error, Result},
        membership::Membership,
        snapshot::SnapshotMeta,
    },
    bronzespool_core::{Code, Instance},
    serde::{Deserialize, Serialize},
};

/// Version of the message format.
const VERSION: u8 = 1;
/// Bytes before the body: version and checksum.
const HEADER_BYTES: usize = 5;
/// Largest index, term, round or position in a message.
const NUMBER_MAX: u64 = 1 << 62;
/// Largest encoded message.
pub const MESSAGE_MAX_BYTES: usize = 16 << 20;

/// One message from a replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Identity of the cluster; zero from a replica that belongs to none.
    pub cluster: u64,
    /// Sender.
    pub from: ReplicaId,
    /// Receiver; zero where the sender does not know it.
    pub to: ReplicaId,
    /// Sender's term, or the term asked for in a vote.
    pub term: Term,
    /// Contents.
    pub body: MessageBody,
}

/// Kind of election.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteKind {
    /// Asks only whether an election could be won.
    PreVote,
    /// Follows a leader's silence.
    Regular,
    /// Follows a leader's request, who has given up its lease.
    Transfer,
}

/// Contents of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Request of a replica outside the set: who are you, and does the cluster exist?
    DiscoveryRequest,
    /// Answer to `DiscoveryRequest`.
    DiscoveryResponse {
        /// Whether the asking identity was removed from the set.
        retired: bool,
        /// Whether it is in the set and the founding entry is no longer held.
        listed: bool,
    },
    /// The first membership, from the instance that founds the cluster.
    Bootstrap(Membership),
    /// Request for a vote.
    VoteRequest {
        /// Kind of election.
        kind: VoteKind,
        /// Last index of the candidate's log.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answer to `VoteRequest`.
    VoteResponse {
        /// As in the request.
        kind: VoteKind,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries that follow an entry.
    Append {
        /// Index of the entry before the first.
        prev_index: Index,
        /// Term of that entry.
        prev_term: Term,
        /// Commit index of the leader.
        commit: Index,
        /// Entries, may be empty.
        entries: Vec<Entry>,
    },
    /// The log matches the leader's up to an index, durably.
    Matched(Index),
    /// The entry before the first is missing or has another term.
    AppendRejected {
        /// Index that was tried.
        prev_index: Index,
        /// Largest index that may match.
        hint_index: Index,
        /// Term at that index.
        hint_term: Term,
    },
    /// The leader is in contact.
    Heartbeat {
        /// Number of the round.
        round: u64,
        /// Commit index, as far as the receiver's log matches.
        commit: Index,
    },
    /// Answer to `Heartbeat`.
    HeartbeatResponse {
        /// Number of the round.
        round: u64,
    },
    /// The leader has given up its lease and asks the receiver to take over.
    TimeoutNow,
    /// A part of a snapshot.
    SnapshotChunk {
        /// The whole snapshot's description.
        meta: SnapshotMeta,
        /// Position of the part in bytes.
        offset: u64,
        /// The part.
        bytes: SharedBytes,
    },
    /// The next part that is wanted.
    ChunkRequest {
        /// Index of the snapshot.
        index: Index,
        /// Position in bytes.
        offset: u64,
    },
    /// Instances of the set, for a replica outside it that knows a few seeds only.
    MemberNames(Vec<Instance>),
}

impl Message {
    /// Encodes the message with version and checksum.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = vec![0; HEADER_BYTES];
        bytes[0] = VERSION;
        bytes = postcard::to_extend(self, bytes)
            .map_err(|e| Error::fault(Code::Internal, format!("message: {e}")))?;
        let crc = crc32fast::hash(&bytes[HEADER_BYTES..]);
        bytes[1..HEADER_BYTES].copy_from_slice(&crc.to_le_bytes());
        Ok(bytes)
    }

    /// Whether sums of the message's numbers cannot overflow.
    pub(crate) fn is_bounded(&self) -> bool {
        let largest = match &self.body {
            MessageBody::VoteRequest { last_index, last_term, .. } => *last_index.max(last_term),
            MessageBody::Append { prev_index, prev_term, commit, entries } => {
                let last = entries.iter().map(|e| e.index.max(e.term)).max();
                *prev_index.max(prev_term).max(commit).max(&last.unwrap_or(0))
            }
            MessageBody::Matched(index) => *index,
            MessageBody::AppendRejected { prev_index, hint_index, hint_term } => {
                *prev_index.max(hint_index).max(hint_term)
            }
            MessageBody::Heartbeat { round, commit } => *round.max(commit),
            MessageBody::HeartbeatResponse { round } => *round,
            MessageBody::SnapshotChunk { meta, offset, .. } => {
                meta.index.max(meta.term).max(*offset)
            }
            MessageBody::ChunkRequest { index, offset } => *index.max(offset),
            MessageBody::DiscoveryRequest
            | MessageBody::DiscoveryResponse { .. }
            | MessageBody::Bootstrap(_)
            | MessageBody::VoteResponse { .. }
            | MessageBody::TimeoutNow
            | MessageBody::MemberNames(_) => 0,
        };
        self.term.max(largest) <= NUMBER_MAX
    }

    /// Decodes a message, all of it or nothing.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        let corrupt = |detail: &str| Error::fault(Code::MessageCorrupt, detail);
        let Some((&version, rest)) = bytes.split_first() else { return Err(corrupt("empty")) };
        if version != VERSION {
            let detail = format!("message version {version}");
            return Err(Error::fault(Code::VersionUnknown, detail));
        }
        if bytes.len() > MESSAGE_MAX_BYTES {
            return Err(corrupt("too long"));
        }
        let Some((crc, body)) = rest.split_first_chunk::<4>() else { return Err(corrupt("short")) };
        if u32::from_le_bytes(*crc) != crc32fast::hash(body) {
            return Err(corrupt("checksum"));
        }
        match postcard::take_from_bytes(body) {
            Ok((message, [])) if Self::is_bounded(&message) => Ok(message),
            Ok((_, [])) => Err(corrupt("a number out of bounds")),
            Ok(_) => Err(corrupt("trailing bytes")),
            Err(e) => Err(corrupt(&e.to_string())),
        }
    }
}
