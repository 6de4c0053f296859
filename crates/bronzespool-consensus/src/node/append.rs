//! Follower side of log replication.

use {
    super::Node,
    crate::{
        entry::{Entry, Index, ReplicaId, Term},
        message::MessageBody,
        storage::StorageWrite,
    },
    bronzespool_core::Instance,
};

impl Node {
    pub(super) fn on_heartbeat(
        &mut self,
        from: &Instance,
        id: ReplicaId,
        round: u64,
        commit: Index,
    ) {
        if self.is_leader() {
            return;
        }
        self.follow_leader(id);
        self.commit_to(commit);
        self.send_to(from, id, self.hard_state.term, MessageBody::HeartbeatResponse { round });
    }

    pub(super) fn on_append(
        &mut self,
        from: &Instance,
        id: ReplicaId,
        prev: (Index, Term),
        commit: Index,
        entries: Vec<Entry>,
    ) {
        if self.is_leader() || !is_chain(prev, &entries, self.hard_state.term) {
            return;
        }
        self.follow_leader(id);
        let (prev_index, prev_term) = prev;
        let prev_matches =
            prev_index < self.log.base() || self.log.term(prev_index) == Some(prev_term);
        if !prev_matches {
            let (hint_index, hint_term) = self.log.conflict_hint(prev_index, prev_term);
            let body = MessageBody::AppendRejected { prev_index, hint_index, hint_term };
            self.send_to(from, id, self.hard_state.term, body);
            return;
        }
        let matched = prev_index + entries.len() as u64;
        if !self.merge(entries) {
            return;
        }
        let matched = matched.max(self.log.base());
        self.commit_to(commit.min(matched));
        self.send_synced(from, id, self.hard_state.term, MessageBody::Matched(matched));
    }

    /// Appends the entries that the log lacks. Returns false if they contradict committed
    /// entries.
    fn merge(&mut self, entries: Vec<Entry>) -> bool {
        let is_present =
            |e: &Entry| e.index <= self.log.base() || self.log.term(e.index) == Some(e.term);
        let Some(at) = entries.iter().position(|e| !is_present(e)) else { return true };
        let from = entries[at].index;
        if from <= self.commit {
            return false;
        }
        if from <= self.log.last() {
            self.truncate(from);
        }
        for entry in entries.into_iter().skip(at) {
            self.log.push(entry);
        }
        true
    }

    fn truncate(&mut self, from: Index) {
        self.push_write(StorageWrite::Truncate(from));
        self.log.truncate(from);
        self.output.truncate(from - 1);
    }

    pub(super) fn commit_to(&mut self, index: Index) {
        self.commit = self.commit.max(index.min(self.log.last()));
    }
}

/// Whether the entries have consecutive indices and valid terms after `prev`.
fn is_chain(prev: (Index, Term), entries: &[Entry], term: Term) -> bool {
    let (mut index, mut last) = prev;
    for entry in entries {
        if Some(entry.index) != index.checked_add(1) || entry.term < last || entry.term > term {
            return false;
        }
        (index, last) = (entry.index, entry.term);
    }
    true
}
