//! What the leader knows of one other replica.

use {
    crate::{entry::Index, snapshot::Snapshot},
    bronzespool_core::Time,
    std::{collections::VecDeque, sync::Arc},
};

/// How entries are sent to a replica.
#[derive(Debug)]
pub(super) enum Flow {
    /// One message at a time until a matching index is found.
    Probe {
        /// Whether the message is under way.
        sent: bool,
    },
    /// Several messages at a time; holds the last index of each that is under way.
    Stream(VecDeque<Index>),
    /// Parts of a snapshot, one at a time.
    Transfer {
        /// What is sent.
        snapshot: Arc<Snapshot>,
        /// Position of the part that is under way.
        offset: u64,
        /// Whether the part is under way.
        sent: bool,
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
    pub(super) flow: Flow,
    /// Last round of heartbeats that was answered.
    pub(super) round: u64,
    /// When that round was sent.
    pub(super) acked: Option<Time>,
    /// When an answer last came.
    pub(super) contact: Option<Time>,
    /// When the flow last moved.
    pub(super) moved: Time,
    /// Commit index last told.
    pub(super) told: Index,
}

impl Progress {
    pub(super) const fn new(last: Index, now: Time) -> Self {
        Self {
            matched: 0,
            next: last + 1,
            flow: Flow::Probe { sent: false },
            round: 0,
            acked: None,
            contact: None,
            moved: now,
            told: 0,
        }
    }

    /// Starts again from the last index that is known to match.
    pub(super) fn probe(&mut self, next: Index, now: Time) {
        self.next = next.max(self.matched + 1);
        self.flow = Flow::Probe { sent: false };
        self.moved = now;
    }

    /// Notes a matching index.
    pub(super) fn confirm(&mut self, index: Index, now: Time) {
        if index > self.matched {
            self.matched = index;
            self.moved = now;
        }
        self.next = self.next.max(self.matched + 1);
        match &mut self.flow {
            Flow::Stream(sent) => sent.retain(|&last| last > index),
            Flow::Probe { .. } => self.flow = Flow::Stream(VecDeque::new()),
            Flow::Transfer { snapshot, .. } if self.matched >= snapshot.meta.index => {
                self.flow = Flow::Stream(VecDeque::new());
            }
            Flow::Transfer { .. } => {}
        }
    }
}
