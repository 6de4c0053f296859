//! What the leader knows of one other replica.

use {
    crate::{entry::Index, snapshot::Snapshot},
    bronzespool_core::Time,
    std::{collections::VecDeque, sync::Arc},
};

/// How entries are sent to a replica.
#[derive(Debug)]
pub(super) enum ReplicationMode {
    /// One message at a time until a matching index is found.
    Probe {
        /// Whether the message is under way.
        in_flight: bool,
    },
    /// Several messages at a time; holds the last index of each that is under way.
    Pipeline(VecDeque<Index>),
    /// Parts of a snapshot, one at a time.
    Snapshot {
        /// What is sent.
        snapshot: Arc<Snapshot>,
        /// Position of the part that is under way.
        offset: u64,
        /// Whether the part is under way.
        in_flight: bool,
    },
}

/// What the leader knows of one other replica.
#[derive(Debug)]
pub(super) struct Progress {
    /// Last index that is known to match, durably.
    pub(super) matched: Index,
    /// First index to send next.
    pub(super) next: Index,
    /// How entries are sent.
    pub(super) mode: ReplicationMode,
    /// Last round of heartbeats that was answered.
    pub(super) acked_round: u64,
    /// When that round was sent.
    pub(super) round_sent: Option<Time>,
    /// When an answer last came.
    pub(super) last_contact: Option<Time>,
    /// When the flow last moved.
    pub(super) last_progress: Time,
    /// Commit index last told.
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

    /// Starts again from the last index that is known to match.
    pub(super) fn restart_probe(&mut self, next: Index, now: Time) {
        self.next = next.max(self.matched + 1);
        self.mode = ReplicationMode::Probe { in_flight: false };
        self.last_progress = now;
    }

    /// Notes a matching index.
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
