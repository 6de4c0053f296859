//! Status of a replica for operators.

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
    /// Leads the current term.
    Leader,
    /// Its identity was replaced, so it no longer takes part.
    Retired,
}

/// Status of a member, as seen by the replica that reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Identity of the member's disk.
    pub id: ReplicaId,
    /// Instance that the member runs on.
    pub name: Instance,
    /// Whether it counts in quorums.
    pub voter: bool,
    /// Last index that the member holds durably, as far as the leader knows.
    pub matched: Option<Index>,
    /// When the leader last heard from the member, on the leader's clock.
    pub contact: Option<Time>,
}

/// Status of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Identity of the replica's disk.
    pub id: ReplicaId,
    /// Identity of the cluster, or zero if the replica belongs to none.
    pub cluster: u64,
    /// Role in the current term.
    pub role: Role,
    /// Current term.
    pub term: Term,
    /// Instance of the leader, if known.
    pub leader: Option<Instance>,
    /// Last committed index.
    pub commit: Index,
    /// Last index of the log.
    pub last: Index,
    /// Last index in the last snapshot.
    pub snapshot: Index,
    /// Whether the embedder should take a snapshot.
    pub snapshot_due: bool,
    /// Whether two sets of voters are in effect.
    pub joint: bool,
    /// The replica set.
    pub members: Vec<ReplicaStatus>,
    /// Why the replica does not take part, if it does not.
    pub fault: Option<Code>,
}

impl Node {
    /// Status for operators.
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

    /// Whether the log has grown enough since the last snapshot to take another.
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
