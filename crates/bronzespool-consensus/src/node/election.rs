//! Elections: pre-votes, votes, and when a replica grants them.

use {
    super::{Node, RoleState, leader::LeaderState},
    crate::{
        entry::{EntryPayload, Index, ReplicaId, Term},
        message::{Message, MessageBody, VoteKind},
    },
    bronzespool_core::Instance,
    std::time::Duration,
};

impl Node {
    pub(super) fn reset_election_deadline(&mut self) {
        let timeout_micros =
            u64::try_from(self.settings.election_timeout.as_micros()).unwrap_or(u64::MAX);
        let jitter = Duration::from_micros(self.rng.u64(0..=timeout_micros));
        self.election_deadline = self.now + self.settings.election_timeout + jitter;
    }

    /// Whether a leader may hold a lease that relies on this replica. If so, the replica does not
    /// help to elect another leader.
    fn is_lease_bound(&self) -> bool {
        let is_recent = self.now < self.leader_contact + self.settings.election_timeout;
        self.is_leader() || is_recent && !self.is_start_wait_over()
    }

    /// Compares the message's term with this replica's and adopts a newer one. Returns false if
    /// the message is not to be processed further.
    pub(super) fn check_term(&mut self, from: &Instance, message: &Message) -> bool {
        if message.term < self.hard_state.term {
            self.reply_to_stale_term(from, message);
            return false;
        }
        if message.term == self.hard_state.term {
            return true;
        }
        match message.body {
            MessageBody::VoteRequest { kind: VoteKind::PreVote, .. } => true,
            MessageBody::VoteResponse { kind: VoteKind::PreVote, granted: true } => true,
            MessageBody::VoteRequest { kind: VoteKind::Regular, .. } if self.is_lease_bound() => {
                false
            }
            _ => {
                self.become_follower(message.term);
                true
            }
        }
    }

    /// Informs the sender of an outdated message about the current term.
    fn reply_to_stale_term(&mut self, from: &Instance, message: &Message) {
        let body = match message.body {
            MessageBody::VoteRequest { kind, .. } => {
                MessageBody::VoteResponse { kind, granted: false }
            }
            MessageBody::Append { .. }
            | MessageBody::Heartbeat { .. }
            | MessageBody::SnapshotChunk { .. } => MessageBody::HeartbeatResponse { round: 0 },
            _ => return,
        };
        self.send_to(from, message.from, self.hard_state.term, body);
    }

    /// Becomes a follower in `term`, which is the current term or a later one.
    pub(super) fn become_follower(&mut self, term: Term) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.save_hard_state();
        }
        self.leader = None;
        self.fail_reads();
        self.role_state = RoleState::Follower;
        self.reset_election_deadline();
    }

    /// Records contact with the leader of the current term.
    pub(super) fn follow_leader(&mut self, leader: ReplicaId) {
        if !matches!(self.role_state, RoleState::Follower) {
            self.become_follower(self.hard_state.term);
        }
        self.leader = Some(leader);
        self.leader_contact = self.now;
        self.end_start_wait();
        self.reset_election_deadline();
    }

    pub(super) fn start_pre_vote(&mut self) {
        self.reset_election_deadline();
        if self.is_start_wait_over() {
            self.election_deadline = self.now + self.early_election_delay();
        }
        self.leader = None;
        if !self.may_stand() {
            return;
        }
        self.role_state = RoleState::PreCandidate(Vec::new());
        self.request_votes(VoteKind::PreVote);
        self.on_vote_response(
            self.hard_state.id,
            self.hard_state.term + 1,
            VoteKind::PreVote,
            true,
        );
    }

    /// Whether this replica may be elected. A voter whose removal may not be committed yet can be
    /// the only one that holds the last entries. If elected, it commits its removal and steps down.
    fn may_stand(&self) -> bool {
        self.log.memberships_from(self.commit).any(|m| m.is_voter(self.hard_state.id))
    }

    pub(super) fn start_election(&mut self, kind: VoteKind) {
        self.hard_state.term += 1;
        self.hard_state.vote = Some(self.hard_state.id);
        self.save_hard_state();
        self.role_state = RoleState::Candidate(Vec::new());
        self.reset_election_deadline();
        self.request_votes(kind);
        let name = self.settings.name.clone();
        let own = MessageBody::VoteResponse { kind, granted: true };
        self.send_synced(&name, self.hard_state.id, self.hard_state.term, own);
    }

    fn request_votes(&mut self, kind: VoteKind) {
        let pre_vote = kind == VoteKind::PreVote;
        let (last_index, last_term) = (self.log.last(), self.log.last_term());
        let term = self.hard_state.term + u64::from(pre_vote);
        let (membership, own) = (self.log.membership().clone(), self.hard_state.id);
        let is_recipient = |id: ReplicaId| id != own && membership.is_voter(id);
        for member in membership.members.iter().filter(|m| is_recipient(m.id)) {
            let body = MessageBody::VoteRequest { kind, last_index, last_term };
            if pre_vote {
                self.send_to(&member.name, member.id, term, body);
            } else {
                self.send_synced(&member.name, member.id, term, body);
            }
        }
    }

    pub(super) fn on_vote_request(
        &mut self,
        from: &Instance,
        (id, term): (ReplicaId, Term),
        kind: VoteKind,
        last: (Term, Index),
    ) {
        let is_up_to_date = last >= (self.log.last_term(), self.log.last());
        let can_vote =
            term > self.hard_state.term || self.hard_state.vote.is_none_or(|vote| vote == id);
        let granted =
            is_up_to_date && can_vote && (kind == VoteKind::Transfer || !self.is_lease_bound());
        if kind == VoteKind::PreVote {
            let term = if granted { term } else { self.hard_state.term };
            self.send_to(from, id, term, MessageBody::VoteResponse { kind, granted });
            return;
        }
        if granted {
            self.hard_state.vote = Some(id);
            self.save_hard_state();
            self.reset_election_deadline();
        }
        self.send_synced(
            from,
            id,
            self.hard_state.term,
            MessageBody::VoteResponse { kind, granted },
        );
    }

    pub(super) fn on_vote_response(
        &mut self,
        id: ReplicaId,
        term: Term,
        kind: VoteKind,
        granted: bool,
    ) {
        let pre_vote = kind == VoteKind::PreVote;
        let expected_term = self.hard_state.term + u64::from(pre_vote);
        if !granted || term != expected_term {
            return;
        }
        let votes = match &mut self.role_state {
            RoleState::PreCandidate(votes) if pre_vote => votes,
            RoleState::Candidate(votes) if !pre_vote => votes,
            _ => return,
        };
        if !votes.contains(&id) {
            votes.push(id);
        }
        if !self.log.membership().has_quorum(|m| votes.contains(&m)) {
            return;
        }
        if pre_vote {
            self.start_election(VoteKind::Regular);
        } else {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        self.leader = Some(self.hard_state.id);
        let start = self.log.last() + 1;
        let leader = LeaderState::new(self.now, start);
        self.role_state = RoleState::Leader(Box::new(leader));
        self.update_peers();
        self.uncommitted_bytes = self.size_of(self.commit + 1..=self.log.last());
        self.append_entry(EntryPayload::Noop);
        self.start_heartbeat_round();
    }
}
