//! Replication progress of one other replica, as the leader sees it.

use {
    crate::{entry::Index, snapshot::Snapshot},
    bronzespool_core::Time,
    std::{collections::VecDeque, sync::Arc},
};

/// How the leader sends entries to a replica.
#[derive(Debug)]
pub(super) enum ReplicationMode {
    /// One message at a time until an index is found at which the logs match.
    Probe {
        /// Whether an unanswered message has been sent.
        in_flight: bool,
    },
    /// Several messages at a time. Holds the last index of each unacknowledged message.
    Pipeline(VecDeque<Index>),
    /// Chunks of a snapshot, one at a time.
    Snapshot {
        /// Snapshot being sent.
        snapshot: Arc<Snapshot>,
        /// Offset in bytes of the current chunk.
        offset: u64,
        /// Whether the current chunk is sent and unanswered.
        in_flight: bool,
    },
}

/// Replication progress of one other replica, as the leader sees it.
#[derive(Debug)]
pub(super) struct Progress {
    /// Last index known to match and to be durable on the replica.
    pub(super) matched: Index,
    /// Index of the next entry to send.
    pub(super) next: Index,
    /// How entries are being sent.
    pub(super) mode: ReplicationMode,
    /// Last heartbeat round that the replica answered.
    pub(super) acked_round: u64,
    /// When that round was sent.
    pub(super) round_sent: Option<Time>,
    /// When a message from the replica last arrived.
    pub(super) last_contact: Option<Time>,
    /// When replication to the replica last advanced.
    pub(super) last_progress: Time,
    /// Last commit index sent to the replica.
    pub(super) sent_commit: Index,
}

impl Progress {
    pub(super) const fn new(last: Index, now: Time) -> Self {
        Self {
            matched: 0,
            next: last + 1,
            mode: ReplicationMode::Probe { in_flight: false },
            acked_round: 0,
            round_sent: None,
            last_contact: None,
            last_progress: now,
            sent_commit: 0,
        }
    }

    /// Resumes probing at `next` or, if later, right after the last index known to match.
    pub(super) fn restart_probe(&mut self, next: Index, now: Time) {
        self.next = next.max(self.matched + 1);
        self.mode = ReplicationMode::Probe { in_flight: false };
        self.last_progress = now;
    }

    /// Records that the replica matches up to `index`.
    pub(super) fn record_match(&mut self, index: Index, now: Time) {
        if index > self.matched {
            self.matched = index;
            self.last_progress = now;
        }
        self.next = self.next.max(self.matched + 1);
        match &mut self.mode {
            ReplicationMode::Pipeline(in_flight) => in_flight.retain(|&last| last > index),
            ReplicationMode::Probe { .. } => self.mode = ReplicationMode::Pipeline(VecDeque::new()),
            ReplicationMode::Snapshot { snapshot, .. } if self.matched >= snapshot.meta.index => {
                self.mode = ReplicationMode::Pipeline(VecDeque::new());
            }
            ReplicationMode::Snapshot { .. } => {}
        }
    }
}
