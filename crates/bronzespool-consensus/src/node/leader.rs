//! The leader's term: rounds of heartbeats, quorum contact, commitment.

use {
    super::{Node, RoleState, progress::Progress, reads::Pending},
    crate::{
        entry::{Index, ReplicaId},
        message::MessageBody,
    },
    bronzespool_core::Time,
    std::collections::{BTreeMap, VecDeque},
};

/// Rounds whose time of sending is remembered.
const ROUNDS_MAX: usize = 256;

/// State of a leader.
#[derive(Debug)]
pub(super) struct Leader {
    /// Start of the term.
    pub(super) since: Time,
    /// Index of the term's first entry.
    pub(super) start: Index,
    /// When the next heartbeat is due.
    pub(super) beat: Time,
    /// Last round of heartbeats.
    pub(super) round: u64,
    /// Commit index at the last heartbeat and at the one before.
    pub(super) marks: [Index; 2],
    /// Rounds and when they were sent.
    rounds: VecDeque<(u64, Time)>,
    pub(super) others: BTreeMap<ReplicaId, Progress>,
    pub(super) reads: Vec<Pending>,
    /// Whether a read waits for a round that is not yet sent.
    pub(super) asked: bool,
}

impl Leader {
    pub(super) const fn new(now: Time, start: Index) -> Self {
        Self {
            since: now,
            start,
            beat: now,
            round: 0,
            marks: [Index::MAX; 2],
            rounds: VecDeque::new(),
            others: BTreeMap::new(),
            reads: Vec::new(),
            asked: false,
        }
    }

    fn sent_at(&self, round: u64) -> Option<Time> {
        self.rounds.iter().find(|(s, _)| *s == round).map(|(_, at)| *at)
    }
}

impl Node {
    /// Makes the leader's table of replicas follow the membership.
    pub(super) fn align_progress(&mut self) {
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let membership = self.log.membership();
        leader.others.retain(|id, _| membership.get(*id).is_some());
        for member in membership.members.iter().filter(|m| m.id != self.hard_state.id) {
            let fresh = || Progress::new(self.log.last(), self.now);
            leader.others.entry(member.id).or_insert_with(fresh);
        }
    }

    /// Sends a round of heartbeats.
    pub(super) fn begin_round(&mut self) {
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        leader.round += 1;
        leader.asked = false;
        leader.beat = self.now + self.settings.heartbeat_interval;
        leader.rounds.push_back((leader.round, self.now));
        if leader.rounds.len() > ROUNDS_MAX {
            leader.rounds.pop_front();
        }
        let ids: Vec<ReplicaId> = leader.others.keys().copied().collect();
        for id in ids {
            self.send_heartbeat(id);
        }
        self.release_reads();
    }

    pub(super) fn send_heartbeat(&mut self, id: ReplicaId) {
        let commit = self.commit;
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let Some(progress) = leader.others.get_mut(&id) else { return };
        let commit = commit.min(progress.matched);
        progress.told = progress.told.max(commit);
        let round = leader.round;
        self.send(id, MessageBody::Heartbeat { round, commit });
    }

    pub(super) fn on_heartbeat_response(&mut self, id: ReplicaId, round: u64) {
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        let sent = leader.sent_at(round);
        let Some(progress) = leader.others.get_mut(&id) else { return };
        progress.contact = Some(self.now);
        if let Some(at) = sent.filter(|_| round > progress.round) {
            progress.round = round;
            progress.acked = Some(at);
        }
        self.release_reads();
    }

    /// Latest time at which a quorum was still bound to this leader's term.
    pub(super) fn quorum_time(&self) -> Option<Time> {
        let RoleState::Leader(leader) = &self.role_state else { return None };
        let own = self.hard_state.id;
        self.log.membership().quorum_value(|id| match leader.others.get(&id) {
            _ if id == own => Some(self.now),
            Some(progress) => progress.acked,
            None => None,
        })
    }

    /// Latest round that a quorum has answered.
    pub(super) fn quorum_round(&self) -> u64 {
        let RoleState::Leader(leader) = &self.role_state else { return 0 };
        let own = self.hard_state.id;
        self.log.membership().quorum_value(|id| match leader.others.get(&id) {
            _ if id == own => leader.round,
            Some(progress) => progress.round,
            None => 0,
        })
    }

    pub(super) fn tick_leader(&mut self) {
        let RoleState::Leader(leader) = &self.role_state else { return };
        let (beat, since) = (leader.beat, leader.since);
        let heard = self.quorum_time().unwrap_or(since).max(since);
        if self.now >= heard + self.settings.election_timeout {
            self.become_follower(self.hard_state.term);
            return;
        }
        if self.now >= beat {
            self.repeat_lost();
            self.begin_round();
            self.mark_commit();
            self.advance_membership();
        }
    }

    fn mark_commit(&mut self) {
        let commit = self.commit;
        let RoleState::Leader(leader) = &mut self.role_state else { return };
        leader.marks = [commit, leader.marks[0]];
    }

    /// Commits what a quorum holds durably.
    pub(super) fn advance_commit(&mut self) {
        let RoleState::Leader(leader) = &self.role_state else { return };
        let own = (self.hard_state.id, self.output.durable());
        let reached = self.log.membership().quorum_value(|id| match leader.others.get(&id) {
            _ if id == own.0 => own.1,
            Some(progress) => progress.matched,
            None => 0,
        });
        let fresh = self.log.term(reached) == Some(self.hard_state.term);
        if !fresh || reached <= self.commit {
            return;
        }
        let done = self.size_of(self.commit + 1..=reached);
        self.uncommitted_bytes = self.uncommitted_bytes.saturating_sub(done);
        self.commit = reached;
        self.release_reads();
        self.advance_membership();
    }

    /// Sends what has gathered since the last output.
    pub(super) fn flush_leader(&mut self) {
        let RoleState::Leader(leader) = &self.role_state else { return };
        let ids: Vec<ReplicaId> = leader.others.keys().copied().collect();
        if leader.asked {
            self.begin_round();
        }
        for id in ids {
            self.replicate(id);
            self.tell_commit(id);
        }
    }

    /// Tells a replica that entries it holds are committed.
    fn tell_commit(&mut self, id: ReplicaId) {
        let RoleState::Leader(leader) = &self.role_state else { return };
        let Some(progress) = leader.others.get(&id) else { return };
        if progress.told < self.commit.min(progress.matched) {
            self.send_heartbeat(id);
        }
    }
}
