//! Replicated log with elections, membership changes and snapshots, without I/O of its own.
//!
//! A [`Node`] is one replica. Its inputs are the current time and a message, a proposal or the
//! completion of a write. Its output is a [`Ready`]: records to make durable, messages to send,
//! committed entries to apply and reads that may be answered. Output that depends on a record is
//! held back until [`Node::synced`] has reported that the record is durable.
//!
//! ```
//! use bronzespool_consensus::{Node, Settings, Storage, fake::MemoryStorage};
//! use bronzespool_core::{Instance, Time};
//!
//! let name = Instance::try_from("control-1").unwrap();
//! let mut disk = MemoryStorage::default();
//! let settings = Settings::new(name.clone(), vec![name], 7);
//! let mut node = Node::open(settings, disk.load()?, Time::ZERO)?;
//! let mut now = Time::ZERO;
//! while !node.is_leader() {
//!     now = node.next_tick().max(now);
//!     node.tick(now);
//!     let ready = node.ready();
//!     disk.write(&ready.writes)?;
//!     node.synced(now, ready.batch_id);
//! }
//! let index = node.propose(now, b"set a 1".to_vec())?;
//! let ready = node.ready();
//! disk.write(&ready.writes)?;
//! node.synced(now, ready.batch_id);
//! let applied = node.ready().committed;
//! assert_eq!(applied.last().map(|e| e.index), Some(index));
//! # Ok::<(), bronzespool_consensus::Error>(())
//! ```

mod entry;
mod error;
pub mod fake;
mod log;
mod log_clock;
mod membership;
mod message;
mod node;
mod settings;
mod snapshot;
mod storage;

pub use crate::{
    entry::{Entry, EntryPayload, Index, ReplicaId, SharedBytes, Term},
    error::{Error, Result},
    log_clock::LogClock,
    membership::{Member, Membership},
    message::{MESSAGE_MAX_BYTES, Message, MessageBody, VoteKind},
    node::{Node, ReadResult, Ready, ReplicaStatus, Role, Status, WriteBatchId},
    settings::Settings,
    snapshot::{Snapshot, SnapshotMeta},
    storage::{DurableState, FileStorage, HardState, Storage, StorageWrite},
};
