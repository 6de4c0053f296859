//! Leader side of log replication.

use {
    super::{Node, RoleState, progress::ReplicationMode},
    crate::{
        entry::{Index, ReplicaId, Term},
        message::MessageBody,
    },
};

/// What to send next to a replica.
enum NextSend {
    Nothing,
    Entries,
    Snapshot,
}

impl Node {
    /// Sends the replica what it lacks, as far as its window allows.
    pub(super) fn replicate(&mut self, id: ReplicaId) {
        loop {
            match self.next_send(id) {
                NextSend::Nothing => return,
                NextSend::Entries => self.send_entries(id),
                NextSend::Snapshot => self.start_transfer(id),
            }
        }
    }

    fn next_send(&self, id: ReplicaId) -> NextSend {
        let RoleState::Leader(leader) = &self.role_state else { return NextSend::Nothing };
        let Some(progress) = leader.peers.get(&id) else { return NextSend::Nothing };
        let may_send = match &progress.mode {
            ReplicationMode::Probe { in_flight } => !in_flight,
            ReplicationMode::Pipeline(in_flight) => {
                in_flight.len() < self.settings.inflight_max && progress.next <= self.log.last()
            }
            ReplicationMode::Snapshot { .. } => false,
        };
        match may_send {
            false => NextSend::Nothing,
            true if progress.next <= self.log.base() && self.snapshot.is_some() => {
                NextSend::Snapshot
            }
            true => NextSend::Entries,
        }
    }

    fn send_entries(&mut self, id: ReplicaId) {
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let Some(progress) = leader.peers.get_mut(&id) else { return };
        let prev_index = progress.next - 1;
        let prev_term = self.log.term(prev_index).unwrap_or(0);
        let entries = self.log.entries_from(progress.next, self.settings.append_bytes);
        match &mut progress.mode {
            ReplicationMode::Probe { in_flight } => *in_flight = true,
            ReplicationMode::Pipeline(in_flight) => {
                if in_flight.is_empty() {
                    progress.last_progress = self.now;
                }
                progress.next += entries.len() as u64;
                in_flight.push_back(progress.next - 1);
            }
            ReplicationMode::Snapshot { .. } => return,
        }
        progress.sent_commit = progress.sent_commit.max(self.commit.min(progress.next - 1));
        let commit = self.commit;
        self.send(id, MessageBody::Append { prev_index, prev_term, commit, entries });
    }

    pub(super) fn on_matched(&mut self, id: ReplicaId, index: Index) {
        let (now, last) = (self.now, self.log.last());
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let Some(progress) = leader.peers.get_mut(&id) else { return };
        if index > last {
            return;
        }
        progress.last_contact = Some(now);
        progress.record_match(index, now);
        self.advance_commit();
        self.replicate(id);
    }

    pub(super) fn on_append_rejected(&mut self, id: ReplicaId, prev: Index, hint: (Index, Term)) {
        let now = self.now;
        let (match_index, _) = self.log.conflict_hint(hint.0, hint.1);
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let Some(progress) = leader.peers.get_mut(&id) else { return };
        progress.last_contact = Some(now);
        let is_stale = match &progress.mode {
            ReplicationMode::Probe { .. } => prev + 1 != progress.next,
            ReplicationMode::Pipeline(_) => prev <= progress.matched,
            ReplicationMode::Snapshot { .. } => true,
        };
        if is_stale {
            return;
        }
        progress.restart_probe(match_index.min(prev.saturating_sub(1)) + 1, now);
        self.replicate(id);
    }

    /// Restarts probing for replicas whose responses are overdue.
    pub(super) fn retry_unacknowledged(&mut self) {
        let (now, last) = (self.now, self.log.last());
        let timeout = self.settings.heartbeat_interval * 2;
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        for progress in leader.peers.values_mut() {
            let is_caught_up =
                matches!(progress.mode, ReplicationMode::Pipeline(_)) && progress.matched == last;
            if is_caught_up || now < progress.last_progress + timeout {
                continue;
            }
            match &mut progress.mode {
                ReplicationMode::Snapshot { in_flight, .. } => {
                    *in_flight = false;
                    progress.last_progress = now;
                }
                _ => progress.restart_probe(0, now),
            }
        }
        self.resume_transfers();
    }
}
