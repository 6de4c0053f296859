//! Leader of a term: heartbeat rounds, contact with a quorum, and commits.

use {
    super::{Node, RoleState, progress::Progress, reads::PendingRead},
    crate::{
        entry::{Index, ReplicaId},
        message::MessageBody,
    },
    bronzespool_core::Time,
    std::collections::{BTreeMap, VecDeque},
};

/// Maximum number of heartbeat rounds whose send time is kept.
const ROUNDS_MAX: usize = 256;

/// State of a leader during its term.
#[derive(Debug)]
pub(super) struct LeaderState {
    /// When this replica was elected.
    pub(super) elected_at: Time,
    /// Index of the first entry of this term.
    pub(super) first_index: Index,
    /// When the next heartbeat is due.
    pub(super) next_heartbeat: Time,
    /// Number of the last heartbeat round.
    pub(super) round: u64,
    /// Commit index at the last heartbeat and at the one before it.
    pub(super) recent_commits: [Index; 2],
    /// Recent heartbeat rounds and the times at which they were sent.
    sent_rounds: VecDeque<(u64, Time)>,
    pub(super) peers: BTreeMap<ReplicaId, Progress>,
    pub(super) reads: Vec<PendingRead>,
    /// Whether a read waits for a heartbeat round that has not been sent.
    pub(super) read_waiting: bool,
}

impl LeaderState {
    pub(super) const fn new(now: Time, first_index: Index) -> Self {
        Self {
            elected_at: now,
            first_index,
            next_heartbeat: now,
            round: 0,
            recent_commits: [Index::MAX; 2],
            sent_rounds: VecDeque::new(),
            peers: BTreeMap::new(),
            reads: Vec::new(),
            read_waiting: false,
        }
    }

    fn sent_at(&self, round: u64) -> Option<Time> {
        self.sent_rounds.iter().find(|(r, _)| *r == round).map(|(_, at)| *at)
    }
}

impl Node {
    /// Adds and removes replication progress so that it matches the membership.
    pub(super) fn update_peers(&mut self) {
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let membership = self.log.membership();
        leader.peers.retain(|id, _| membership.get(*id).is_some());
        for member in membership.members.iter().filter(|m| m.id != self.hard_state.id) {
            let new_progress = || Progress::new(self.log.last(), self.now);
            leader.peers.entry(member.id).or_insert_with(new_progress);
        }
    }

    /// Sends a heartbeat to every other member as a new round.
    pub(super) fn start_heartbeat_round(&mut self) {
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        leader.round += 1;
        leader.read_waiting = false;
        leader.next_heartbeat = self.now + self.settings.heartbeat_interval;
        leader.sent_rounds.push_back((leader.round, self.now));
        if leader.sent_rounds.len() > ROUNDS_MAX {
            leader.sent_rounds.pop_front();
        }
        let ids: Vec<ReplicaId> = leader.peers.keys().copied().collect();
        for id in ids {
            self.send_heartbeat(id);
        }
        self.answer_reads();
    }

    pub(super) fn send_heartbeat(&mut self, id: ReplicaId) {
        let commit = self.commit;
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let Some(progress) = leader.peers.get_mut(&id) else { return };
        let commit = commit.min(progress.matched);
        progress.sent_commit = progress.sent_commit.max(commit);
        let round = leader.round;
        self.send(id, MessageBody::Heartbeat { round, commit });
    }

    pub(super) fn on_heartbeat_response(&mut self, id: ReplicaId, round: u64) {
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let sent = leader.sent_at(round);
        let Some(progress) = leader.peers.get_mut(&id) else { return };
        progress.last_contact = Some(self.now);
        if let Some(at) = sent.filter(|_| round > progress.acked_round) {
            progress.acked_round = round;
            progress.round_sent = Some(at);
        }
        self.answer_reads();
    }

    /// Latest time at which a quorum was still bound to this leader's term: the send time of the
    /// newest heartbeat round that a quorum has answered.
    pub(super) fn quorum_contact(&self) -> Option<Time> {
        let RoleState::Leader(leader) = &self.role_state else { return None };
        let own = self.hard_state.id;
        self.log.membership().quorum_value(|id| match leader.peers.get(&id) {
            _ if id == own => Some(self.now),
            Some(progress) => progress.round_sent,
            None => None,
        })
    }

    /// Newest heartbeat round that a quorum has answered.
    pub(super) fn quorum_round(&self) -> u64 {
        let RoleState::Leader(leader) = &self.role_state else { return 0 };
        let own = self.hard_state.id;
        self.log.membership().quorum_value(|id| match leader.peers.get(&id) {
            _ if id == own => leader.round,
            Some(progress) => progress.acked_round,
            None => 0,
        })
    }

    pub(super) fn tick_leader(&mut self) {
        let RoleState::Leader(leader) = &self.role_state else { return };
        let (next_heartbeat, elected_at) = (leader.next_heartbeat, leader.elected_at);
        let last_contact = self.quorum_contact().unwrap_or(elected_at).max(elected_at);
        if self.now >= last_contact + self.settings.election_timeout {
            self.become_follower(self.hard_state.term);
            return;
        }
        if self.now >= next_heartbeat {
            self.retry_unacknowledged();
            self.start_heartbeat_round();
            self.record_commit();
            self.advance_membership();
        }
    }

    fn record_commit(&mut self) {
        let commit = self.commit;
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        leader.recent_commits = [commit, leader.recent_commits[0]];
    }

    /// Commits the entries that a quorum has made durable.
    pub(super) fn advance_commit(&mut self) {
        let RoleState::Leader(leader) = &self.role_state else { return };
        let own = (self.hard_state.id, self.output.durable());
        let reached = self.log.membership().quorum_value(|id| match leader.peers.get(&id) {
            _ if id == own.0 => own.1,
            Some(progress) => progress.matched,
            None => 0,
        });
        let is_current_term = self.log.term(reached) == Some(self.hard_state.term);
        if !is_current_term || reached <= self.commit {
            return;
        }
        let committed_bytes = self.size_of(self.commit + 1..=reached);
        self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(committed_bytes);
        self.commit = reached;
        self.answer_reads();
        self.advance_membership();
    }

    /// Sends everything that has accumulated since the last output.
    pub(super) fn flush_leader(&mut self) {
        let RoleState::Leader(leader) = &self.role_state else { return };
        let ids: Vec<ReplicaId> = leader.peers.keys().copied().collect();
        if leader.read_waiting {
            self.start_heartbeat_round();
        }
        for id in ids {
            self.replicate(id);
            self.send_commit(id);
        }
    }

    /// Sends the commit index to a replica that already holds the committed entries.
    fn send_commit(&mut self, id: ReplicaId) {
        let RoleState::Leader(leader) = &self.role_state else { return };
        let Some(progress) = leader.peers.get(&id) else { return };
        if progress.sent_commit < self.commit.min(progress.matched) {
            self.send_heartbeat(id);
        }
    }
}
