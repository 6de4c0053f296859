//! The replica set and its quorums.

use {
    crate::entry::ReplicaId,
    bronzespool_core::Instance,
    serde::{Deserialize, Serialize},
};

/// Identities of removed replicas that are remembered.
const RETIRED_MAX: usize = 256;

/// One replica of the set.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity of its disk.
    pub id: ReplicaId,
    /// Instance it runs on.
    pub name: Instance,
    /// Whether it counts in quorums; a learner only receives the log.
    pub voter: bool,
}

/// The replica set as recorded in the log.
///
/// While `outgoing` holds identities the set is joint: every decision needs a majority of the
/// voters and a majority of `outgoing`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Voters and learners.
    pub members: Vec<Member>,
    /// Voters of the set that is being replaced.
    pub outgoing: Vec<ReplicaId>,
    /// Identities that were removed and never come back.
    pub retired: Vec<ReplicaId>,
}

impl Membership {
    /// The first set, all voters.
    pub fn initial(replicas: impl IntoIterator<Item = (ReplicaId, Instance)>) -> Self {
        let members = replicas.into_iter().map(|(id, name)| Member { id, name, voter: true });
        Self { members: members.collect(), ..Self::default() }
    }

    /// The member with an identity.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|m| m.id == id)
    }

    /// Whether the identity was removed.
    pub fn is_retired(&self, id: ReplicaId) -> bool {
        self.retired.contains(&id)
    }

    /// Whether the identity counts in a quorum.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.outgoing.contains(&id) || self.get(id).is_some_and(|m| m.voter)
    }

    /// Whether two sets of voters are in force.
    pub const fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether every set in force has a majority for which `has` holds.
    pub fn has_quorum(&self, agrees: impl Fn(ReplicaId) -> bool) -> bool {
        self.quorum_value(|id| u8::from(agrees(id))) == 1
    }

    /// Largest value that a majority of every set in force has reached.
    pub fn quorum_value<T: Ord + Copy + Default>(&self, value: impl Fn(ReplicaId) -> T) -> T {
        let incoming = self.members.iter().filter(|m| m.voter).map(|m| value(m.id));
        let new = majority(incoming.collect());
        if !self.is_joint() {
            return new;
        }
        new.min(majority(self.outgoing.iter().map(|&id| value(id)).collect()))
    }

    /// The set with a learner added; an earlier learner of that instance is retired.
    #[must_use]
    pub fn with_learner(&self, id: ReplicaId, name: &Instance) -> Self {
        let mut next = self.clone();
        let is_former_learner = |m: &Member| m.name == *name && !m.voter;
        next.retire(is_former_learner);
        next.members.push(Member { id, name: name.clone(), voter: false });
        next
    }

    /// The joint set in which a learner votes in place of its instance's former identity.
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

    /// The joint set that leaves out an instance.
    #[must_use]
    pub fn without(&self, name: &Instance) -> Self {
        let mut next = self.clone();
        next.outgoing = self.voters();
        for member in next.members.iter_mut().filter(|m| m.name == *name) {
            member.voter = false;
        }
        next
    }

    /// The set after a joint one: the leaving identities are retired.
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

/// Largest value that more than half of the values reach; the default for no values.
fn majority<T: Ord + Copy + Default>(mut values: Vec<T>) -> T {
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(values.len() / 2).copied().unwrap_or_default()
}
