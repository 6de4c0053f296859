//! The leader's side of replication.

use {
    super::{Node, RoleState, progress::Flow},
    crate::{
        entry::{Index, ReplicaId, Term},
        message::MessageBody,
    },
};

/// What to send to a replica next.
enum Step {
    Wait,
    Entries,
    Snapshot,
}

impl Node {
    /// Sends a replica what it lacks, as far as its window allows.
    pub(super) fn replicate(&mut self, id: ReplicaId) {
        loop {
            match self.next_step(id) {
                Step::Wait => return,
                Step::Entries => self.send_entries(id),
                Step::Snapshot => self.start_transfer(id),
            }
        }
    }

    fn next_step(&self, id: ReplicaId) -> Step {
        let RoleState::Leader(leader) = &self.role_state else { return Step::Wait };
        let Some(progress) = leader.others.get(&id) else { return Step::Wait };
        let may_send = match &progress.flow {
            Flow::Probe { sent } => !sent,
            Flow::Stream(sent) => {
                sent.len() < self.settings.inflight_max && progress.next <= self.log.last()
            }
            Flow::Transfer { .. } => false,
        };
        match may_send {
            false => Step::Wait,
            true if progress.next <= self.log.base() && self.snapshot.is_some() => Step::Snapshot,
            true => Step::Entries,
        }
    }

    fn send_entries(&mut self, id: ReplicaId) {
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let Some(progress) = leader.others.get_mut(&id) else { return };
        let prev_index = progress.next - 1;
        let prev_term = self.log.term(prev_index).unwrap_or(0);
        let entries = self.log.entries_from(progress.next, self.settings.append_bytes);
        match &mut progress.flow {
            Flow::Probe { sent } => *sent = true,
            Flow::Stream(sent) => {
                if sent.is_empty() {
                    progress.moved = self.now;
                }
                progress.next += entries.len() as u64;
                sent.push_back(progress.next - 1);
            }
            Flow::Transfer { .. } => return,
        }
        progress.told = progress.told.max(self.commit.min(progress.next - 1));
        let commit = self.commit;
        self.send(id, MessageBody::Append { prev_index, prev_term, commit, entries });
    }

    pub(super) fn on_matched(&mut self, id: ReplicaId, index: Index) {
        let (now, last) = (self.now, self.log.last());
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let Some(progress) = leader.others.get_mut(&id) else { return };
        if index > last {
            return;
        }
        progress.contact = Some(now);
        progress.confirm(index, now);
        self.advance_commit();
        self.replicate(id);
    }

    pub(super) fn on_append_rejected(&mut self, id: ReplicaId, prev: Index, hint: (Index, Term)) {
        let now = self.now;
        let (at, _) = self.log.conflict_hint(hint.0, hint.1);
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let Some(progress) = leader.others.get_mut(&id) else { return };
        progress.contact = Some(now);
        let stale = match &progress.flow {
            Flow::Probe { .. } => prev + 1 != progress.next,
            Flow::Stream(_) => prev <= progress.matched,
            Flow::Transfer { .. } => true,
        };
        if stale {
            return;
        }
        progress.probe(at.min(prev.saturating_sub(1)) + 1, now);
        self.replicate(id);
    }

    /// Starts again with replicas whose answers stay out.
    pub(super) fn repeat_lost(&mut self) {
        let (now, last) = (self.now, self.log.last());
        let patience = self.settings.heartbeat_interval * 2;
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        for progress in leader.others.values_mut() {
            let settled = matches!(progress.flow, Flow::Stream(_)) && progress.matched == last;
            if settled || now < progress.moved + patience {
                continue;
            }
            match &mut progress.flow {
                Flow::Transfer { sent, .. } => {
                    *sent = false;
                    progress.moved = now;
                }
                _ => progress.probe(0, now),
            }
        }
        self.resume_transfers();
    }
}
