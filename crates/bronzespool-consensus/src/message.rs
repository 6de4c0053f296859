//! Messages between replicas and their encoding.

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
/// Length of the message header: version and checksum.
const HEADER_BYTES: usize = 5;
/// Upper bound of the indices, terms, heartbeat rounds and offsets in a message.
const NUMBER_MAX: u64 = 1 << 62;
/// Upper bound of the length of an encoded message.
pub const MESSAGE_MAX_BYTES: usize = 16 << 20;

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Identity of the cluster, or zero if the sender belongs to none.
    pub cluster: u64,
    /// Sender.
    pub from: ReplicaId,
    /// Receiver, or zero if the sender does not know its identity.
    pub to: ReplicaId,
    /// Sender's term. In a pre-vote and its grant, the term of the proposed election.
    pub term: Term,
    /// Contents.
    pub body: MessageBody,
}

/// Kind of vote that a candidate requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum VoteKind {
    /// Pre-vote: asks whether an election could be won, without raising the term.
    PreVote,
    /// Vote in an election after a leader has been silent for the election timeout.
    Regular,
    /// Vote in an election that the leader requested after giving up its lease.
    Transfer,
}

/// Contents of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MessageBody {
    /// Sent by a replica outside the set, or by a member without contact to a leader, to find the
    /// cluster and learn the receiver's identity.
    DiscoveryRequest,
    /// Answer to `DiscoveryRequest`.
    DiscoveryResponse {
        /// Whether the identity of the requester was removed from the set.
        retired: bool,
        /// Whether the requester is a member and must join without the bootstrap entry, because it
        /// has been compacted away.
        listed: bool,
    },
    /// The first membership, sent by the instance that bootstraps the cluster.
    Bootstrap(Membership),
    /// Request for a vote.
    VoteRequest {
        /// Kind of the requested vote.
        kind: VoteKind,
        /// Last index of the candidate's log.
        last_index: Index,
        /// Term of that entry.
        last_term: Term,
    },
    /// Answer to `VoteRequest`.
    VoteResponse {
        /// Kind of the vote in the request.
        kind: VoteKind,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries that follow the entry at `prev_index`.
    Append {
        /// Index of the entry before the first one in `entries`.
        prev_index: Index,
        /// Term of that entry.
        prev_term: Term,
        /// Commit index of the leader.
        commit: Index,
        /// Entries; empty if the message only probes for a match.
        entries: Vec<Entry>,
    },
    /// The receiver's log matches the leader's up to this index, and the entries are durable.
    Matched(Index),
    /// The entry at `prev_index` is missing or has a different term.
    AppendRejected {
        /// `prev_index` of the rejected message.
        prev_index: Index,
        /// Largest index at which the logs may match.
        hint_index: Index,
        /// Term at that index.
        hint_term: Term,
    },
    /// Sent by the leader to confirm its leadership.
    Heartbeat {
        /// Number of the heartbeat round.
        round: u64,
        /// Commit index, limited to the part of the receiver's log that is known to match.
        commit: Index,
    },
    /// Answer to `Heartbeat`.
    HeartbeatResponse {
        /// Number of the heartbeat round.
        round: u64,
    },
    /// The leader has given up its lease and asks the receiver to start an election immediately.
    TimeoutNow,
    /// A chunk of a snapshot.
    SnapshotChunk {
        /// Metadata of the whole snapshot.
        meta: SnapshotMeta,
        /// Offset of the chunk in bytes.
        offset: u64,
        /// Bytes of the chunk.
        bytes: SharedBytes,
    },
    /// Requests the next chunk of a snapshot.
    ChunkRequest {
        /// Index of the snapshot.
        index: Index,
        /// Offset of the requested chunk in bytes.
        offset: u64,
    },
    /// Instances of the replica set, sent to a replica outside it that only knows a few seeds.
    MemberNames(Vec<Instance>),
    /// Sent by a replica that has started, to learn whether the receiver leads.
    LeadershipQuery {
        /// Random number of the sender's start.
        start: u64,
    },
    /// Answer to `LeadershipQuery` by a replica that does not lead.
    NotLeading {
        /// Number from the query.
        start: u64,
        /// Newest membership in the sender's log.
        membership: Membership,
    },
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

    /// Whether the numbers in the message are small enough that sums of them cannot overflow.
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
            | MessageBody::MemberNames(_)
            | MessageBody::LeadershipQuery { .. }
            | MessageBody::NotLeading { .. } => 0,
        };
        self.term.max(largest) <= NUMBER_MAX
    }

    /// Decodes a message. Fails if it is damaged, out of bounds, of an unknown version, or followed
    /// by other bytes.
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
