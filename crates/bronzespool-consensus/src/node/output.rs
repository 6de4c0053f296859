//! Output of a replica, including messages that wait until records are durable.

use {
    super::reads::ReadResult,
    crate::{
        entry::{Entry, Index, ReplicaId},
        log::Log,
        message::Message,
        snapshot::Snapshot,
        storage::StorageWrite,
    },
    bronzespool_core::Instance,
    std::{collections::VecDeque, sync::Arc},
};

/// Identifies a batch of writes, in increasing order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WriteBatchId(u64);

/// Work for the embedder. In this order: load `snapshot`, apply `committed` and answer `reads`.
/// Independently of that, send `messages` immediately, make `writes` durable, and then report
/// `batch_id` to [`super::Node::synced`].
#[derive(Debug, Default)]
#[must_use]
pub struct Ready {
    /// Records to make durable, in order.
    pub writes: Vec<StorageWrite>,
    /// Messages to send now.
    pub messages: Vec<(Instance, Message)>,
    /// Pass to [`super::Node::synced`] once `writes` are durable.
    pub batch_id: WriteBatchId,
    /// State that replaces the state machine's state.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Entries to apply, in order and without gaps.
    pub committed: Vec<Entry>,
    /// Reads to answer from the state after `committed`, or that have failed.
    pub reads: Vec<ReadResult>,
}

impl Ready {
    /// Whether there is no work.
    pub fn is_empty(&self) -> bool {
        let no_output = self.writes.is_empty() && self.messages.is_empty() && self.reads.is_empty();
        no_output && self.snapshot.is_none() && self.committed.is_empty()
    }
}

#[derive(Debug)]
struct DeferredMessage {
    batch_id: u64,
    to: Instance,
    message: Message,
}

#[derive(Debug)]
struct IssuedBatch {
    batch_id: u64,
    last: Index,
}

/// Collects output until the next call of [`super::Node::ready`].
#[derive(Debug)]
pub(super) struct PendingOutput {
    pub(super) writes: Vec<StorageWrite>,
    pub(super) snapshot: Option<Arc<Snapshot>>,
    pub(super) reads: Vec<ReadResult>,
    messages: Vec<(Instance, Message)>,
    deferred: VecDeque<DeferredMessage>,
    batches: VecDeque<IssuedBatch>,
    last_issued: u64,
    last_synced: u64,
    /// Last index in `writes` or in an earlier batch.
    written: Index,
    /// Last index that is durable.
    durable: Index,
}

impl PendingOutput {
    pub(super) const fn new(last: Index) -> Self {
        Self {
            writes: Vec::new(),
            snapshot: None,
            reads: Vec::new(),
            messages: Vec::new(),
            deferred: VecDeque::new(),
            batches: VecDeque::new(),
            last_issued: 0,
            last_synced: 0,
            written: last,
            durable: last,
        }
    }

    pub(super) const fn durable(&self) -> Index {
        self.durable
    }

    /// Adds the log entries that are in no batch yet to `writes`.
    pub(super) fn stage_entries(&mut self, log: &Log) {
        if log.last() > self.written {
            self.writes.push(StorageWrite::Append(log.entries_from(self.written + 1, usize::MAX)));
            self.written = log.last();
        }
    }

    /// Forgets the entries after `last`, which were removed from the log.
    pub(super) fn truncate(&mut self, last: Index) {
        self.written = self.written.min(last);
        self.durable = self.durable.min(last);
        for batch in &mut self.batches {
            batch.last = batch.last.min(last);
        }
    }

    /// Restarts at `last` after a snapshot has replaced the log.
    pub(super) fn reset_to(&mut self, last: Index) {
        self.truncate(last);
        self.written = last;
    }

    pub(super) fn send(&mut self, to: Instance, message: Message) {
        self.messages.push((to, message));
    }

    /// Holds a message back until all records written so far are durable.
    pub(super) fn defer(&mut self, to: Instance, message: Message, last: Index) {
        let has_unissued = !self.writes.is_empty() || last > self.written;
        let batch_id = self.last_issued + u64::from(has_unissued);
        if batch_id <= self.last_synced && message.from != message.to {
            self.send(to, message);
            return;
        }
        self.deferred.push_back(DeferredMessage { batch_id, to, message });
    }

    pub(super) fn take_ready(&mut self, committed: Vec<Entry>) -> Ready {
        let mut batch_id = self.last_synced;
        if !self.writes.is_empty() {
            self.last_issued += 1;
            batch_id = self.last_issued;
            self.batches.push_back(IssuedBatch { batch_id: self.last_issued, last: self.written });
        }
        Ready {
            writes: std::mem::take(&mut self.writes),
            messages: std::mem::take(&mut self.messages),
            batch_id: WriteBatchId(batch_id),
            snapshot: self.snapshot.take(),
            committed,
            reads: std::mem::take(&mut self.reads),
        }
    }

    /// Releases the messages that waited for a batch. Returns those addressed to this replica.
    pub(super) fn mark_synced(&mut self, batch_id: WriteBatchId, own: ReplicaId) -> Vec<Message> {
        self.last_synced = self.last_synced.max(batch_id.0.min(self.last_issued));
        let synced = self.last_synced;
        let count = self.batches.partition_point(|b| b.batch_id <= synced);
        let last = self.batches.drain(..count).next_back().map_or(0, |b| b.last);
        self.durable = self.durable.max(last);
        let count = self.deferred.partition_point(|d| d.batch_id <= synced);
        let (local, remote): (Vec<DeferredMessage>, Vec<DeferredMessage>) =
            self.deferred.drain(..count).partition(|d| d.message.to == own);
        self.messages.extend(remote.into_iter().map(|d| (d.to, d.message)));
        local.into_iter().map(|d| d.message).collect()
    }
}
