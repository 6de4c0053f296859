//! What a replica tells operators.

use {
    super::{Node, RoleState},
    crate::entry::{Index, ReplicaId, Term},
    bronzespool_core::{Code, Instance, Time},
    serde::{Deserialize, Serialize},
};

/// Role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Belongs to no cluster yet.
    Blank,
    /// Receives the log and does not vote.
    Learner,
    /// Follows a leader.
    Follower,
    /// Tries to become the leader.
    Candidate,
    /// Leads its term.
    Leader,
    /// Its identity was replaced; it takes no part any more.
    Retired,
}

/// One replica of the set, as the asked replica sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Identity of its disk.
    pub id: ReplicaId,
    /// Instance.
    pub name: Instance,
    /// Whether it counts in quorums.
    pub voter: bool,
    /// Last index that it holds durably, as far as the leader knows.
    pub matched: Option<Index>,
    /// When the leader last heard of it, on the leader's clock.
    pub contact: Option<Time>,
}

/// State of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Identity of its disk.
    pub id: ReplicaId,
    /// Identity of the cluster, zero before it belongs to one.
    pub cluster: u64,
    /// Role.
    pub role: Role,
    /// Term.
    pub term: Term,
    /// Leader, where known.
    pub leader: Option<Instance>,
    /// Last committed index.
    pub commit: Index,
    /// Last index of the log.
    pub last: Index,
    /// Index of the last snapshot.
    pub snapshot: Index,
    /// Whether the embedder should hand in a snapshot.
    pub snapshot_due: bool,
    /// Whether two sets of voters are in force.
    pub joint: bool,
    /// The replica set.
    pub members: Vec<ReplicaStatus>,
    /// Why the replica takes no part.
    pub fault: Option<Code>,
}

impl Node {
    /// State for operators.
    pub fn status(&self) -> Status {
        let membership = self.log.membership();
        let snapshot = self.snapshot.as_ref().map_or(0, |s| s.meta.index);
        Status {
            id: self.hard_state.id,
            cluster: self.hard_state.cluster,
            role: self.role(),
            term: self.hard_state.term,
            leader: self.leader().cloned(),
            commit: self.commit,
            last: self.log.last(),
            snapshot,
            snapshot_due: self.is_snapshot_due(),
            joint: membership.is_joint(),
            members: membership.members.iter().map(|m| self.replica_status(m)).collect(),
            fault: self.retired.then_some(Code::ReplicaUnknown),
        }
    }

    /// Whether the log since the last snapshot is long enough to take another.
    pub fn is_snapshot_due(&self) -> bool {
        let snapshot_index = self.snapshot.as_ref().map_or(0, |s| s.meta.index);
        let enough_entries = self.applied - snapshot_index >= self.settings.threshold_entries;
        self.applied > snapshot_index
            && (enough_entries || self.log.bytes() >= self.settings.threshold_bytes)
    }

    fn role(&self) -> Role {
        match &self.role_state {
            _ if self.retired => Role::Retired,
            _ if self.hard_state.cluster == 0 => Role::Blank,
            RoleState::Leader(_) => Role::Leader,
            _ if !self.log.membership().is_voter(self.hard_state.id) => Role::Learner,
            RoleState::Follower => Role::Follower,
            RoleState::PreCandidate(_) | RoleState::Candidate(_) => Role::Candidate,
        }
    }

    fn replica_status(&self, member: &crate::Member) -> ReplicaStatus {
        let progress = match &self.role_state {
            RoleState::Leader(leader) => leader.peers.get(&member.id),
            _ => None,
        };
        let is_own = member.id == self.hard_state.id;
        let matched =
            if is_own { Some(self.output.durable()) } else { progress.map(|p| p.matched) };
        ReplicaStatus {
            id: member.id,
            name: member.name.clone(),
            voter: member.voter,
            matched,
            contact: progress.and_then(|p| p.last_contact),
        }
    }
}
