//! Replica sets and their quorums.

use {
    crate::entry::ReplicaId,
    bronzespool_core::Instance,
    serde::{Deserialize, Serialize},
};

/// Maximum number of removed identities that are kept; the oldest are dropped first.
const RETIRED_MAX: usize = 256;

/// One member of a replica set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of the member's disk.
    pub id: ReplicaId,
    /// Instance that the member runs on.
    pub name: Instance,
    /// Whether the member counts in quorums. A learner only receives the log.
    pub voter: bool,
}

/// Replica set as recorded in the log.
///
/// While `outgoing` is not empty, the set is joint: every decision needs a majority of the voters
/// in `members` and a majority of `outgoing`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Voters and learners.
    pub members: Vec<Member>,
    /// Voters of the previous set while the set is joint.
    pub outgoing: Vec<ReplicaId>,
    /// Identities that were removed and must not rejoin.
    pub retired: Vec<ReplicaId>,
}

impl Membership {
    /// The first replica set, in which every replica votes.
    pub fn initial(replicas: impl IntoIterator<Item = (ReplicaId, Instance)>) -> Self {
        let members = replicas.into_iter().map(|(id, name)| Member { id, name, voter: true });
        Self { members: members.collect(), ..Self::default() }
    }

    /// The member with this identity.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|m| m.id == id)
    }

    /// Whether the identity was removed.
    pub fn is_retired(&self, id: ReplicaId) -> bool {
        self.retired.contains(&id)
    }

    /// Whether the identity counts in a quorum of either set.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.outgoing.contains(&id) || self.get(id).is_some_and(|m| m.voter)
    }

    /// Whether the set is joint, so that two sets of voters are in effect.
    pub const fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether `agrees` holds for a majority of every set in effect.
    pub fn has_quorum(&self, agrees: impl Fn(ReplicaId) -> bool) -> bool {
        self.quorum_value(|id| u8::from(agrees(id))) == 1
    }

    /// Largest value that a majority of every set in effect has reached.
    pub fn quorum_value<T: Ord + Copy + Default>(&self, value: impl Fn(ReplicaId) -> T) -> T {
        let incoming = self.members.iter().filter(|m| m.voter).map(|m| value(m.id));
        let new = majority(incoming.collect());
        if !self.is_joint() {
            return new;
        }
        new.min(majority(self.outgoing.iter().map(|&id| value(id)).collect()))
    }

    /// The set with a learner added. An earlier learner on the same instance is retired.
    #[must_use]
    pub fn with_learner(&self, id: ReplicaId, name: &Instance) -> Self {
        let mut next = self.clone();
        let is_former_learner = |m: &Member| m.name == *name && !m.voter;
        next.retire(is_former_learner);
        next.members.push(Member { id, name: name.clone(), voter: false });
        next
    }

    /// The joint set in which the learner `id` votes instead of the previous identity of its
    /// instance.
    #[must_use]
    pub fn with_voter(&self, id: ReplicaId) -> Self {
        let mut next = self.clone();
        let Some(name) = self.get(id).map(|m| m.name.clone()) else { return next };
        next.outgoing = self.voters();
        for member in next.members.iter_mut().filter(|m| m.name == name) {
            member.voter = member.id == id;
        }
        next
    }

    /// The joint set without the instance as a voter.
    #[must_use]
    pub fn without(&self, name: &Instance) -> Self {
        let mut next = self.clone();
        next.outgoing = self.voters();
        for member in next.members.iter_mut().filter(|m| m.name == *name) {
            member.voter = false;
        }
        next
    }

    /// The set that follows a joint set. The identities that lost their vote are retired.
    #[must_use]
    pub fn leave_joint(&self) -> Self {
        let mut next = self.clone();
        let outgoing = std::mem::take(&mut next.outgoing);
        next.retire(|m| !m.voter && outgoing.contains(&m.id));
        next
    }

    fn voters(&self) -> Vec<ReplicaId> {
        self.members.iter().filter(|m| m.voter).map(|m| m.id).collect()
    }

    fn retire(&mut self, is_leaving: impl Fn(&Member) -> bool) {
        let removed: Vec<ReplicaId> =
            self.members.iter().filter(|m| is_leaving(m)).map(|m| m.id).collect();
        self.members.retain(|m| !is_leaving(m));
        self.retired.extend(removed);
        let excess = self.retired.len().saturating_sub(RETIRED_MAX);
        self.retired.drain(..excess);
    }
}

/// Largest value that more than half of the values reach, or the default if there are no values.
fn majority<T: Ord + Copy + Default>(mut values: Vec<T>) -> T {
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(values.len() / 2).copied().unwrap_or_default()
}
