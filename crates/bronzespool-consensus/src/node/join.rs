//! Bootstrap of a cluster, discovery and joining of replicas, and membership changes.

use {
    super::{Node, RoleState},
    crate::{
        entry::{EntryPayload, Index, ReplicaId, Term},
        membership::{Member, Membership},
        message::{Message, MessageBody},
    },
    bronzespool_core::{Instance, Time},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Term of the entry that bootstraps a cluster.
const BOOTSTRAP_TERM: Term = 1;
/// Election timeouts of silence after which another identity of the same instance takes the place
/// of one. Only one process can have the instance's address, so that the silent one is gone.
const REPLACE_ELECTIONS: u32 = 1;
/// Election timeouts of silence after which a surplus voter is removed.
const SURPLUS_ELECTIONS: u32 = 3;
/// Election timeouts without a leader after which a member contacts its peers again.
const SILENT_ELECTIONS: u32 = 3;
/// Smallest even number of voters at which a silent one may be removed.
const SURPLUS_VOTERS_MIN: usize = 4;
/// Heartbeat intervals between two discovery requests.
const DISCOVERY_HEARTBEATS: u32 = 4;

/// State of bootstrap and joining.
#[derive(Debug)]
pub(super) struct JoinState {
    /// When the next discovery requests are due.
    next_discovery: Time,
    /// Blank peers that have responded to this identity.
    blank_peers: BTreeMap<Instance, ReplicaId>,
    /// Identities outside the set that have asked this leader to join.
    join_requests: BTreeMap<Instance, ReplicaId>,
    /// Members that are not in the settings, learned from another member.
    learned_names: BTreeSet<Instance>,
}

impl JoinState {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            next_discovery: now,
            blank_peers: BTreeMap::new(),
            join_requests: BTreeMap::new(),
            learned_names: BTreeSet::new(),
        }
    }
}

impl Node {
    /// Whether this replica is not a member according to its own log.
    fn is_non_member(&self) -> bool {
        self.hard_state.cluster == 0 || self.log.membership().get(self.hard_state.id).is_none()
    }

    /// When the next discovery requests are due. A member sends them too once it has lost contact
    /// with the leader, because the entry that added it may never be committed.
    pub(super) fn discovery_due(&self) -> Time {
        if self.retired || self.is_leader() {
            return Time::MAX;
        }
        if self.is_non_member() {
            return self.join.next_discovery;
        }
        self.join
            .next_discovery
            .max(self.leader_contact + self.settings.election_timeout * SILENT_ELECTIONS)
    }

    pub(super) fn tick_discovery(&mut self) {
        if self.now < self.discovery_due() {
            return;
        }
        self.join.next_discovery =
            self.now + self.settings.heartbeat_interval * DISCOVERY_HEARTBEATS;
        let own = self.settings.name.clone();
        let mut names = self.join.learned_names.clone();
        names.extend(self.settings.peers.iter().cloned());
        names.extend(self.log.membership().members.iter().map(|m| m.name.clone()));
        for name in names.iter().filter(|n| **n != own) {
            self.send_synced(
                name,
                ReplicaId(0),
                self.hard_state.term,
                MessageBody::DiscoveryRequest,
            );
        }
        self.try_bootstrap();
    }

    pub(super) fn on_discovery_request(&mut self, from: &Instance, message: &Message) {
        let id = message.from;
        if message.cluster != 0 && message.cluster != self.hard_state.cluster {
            return;
        }
        let membership = self.log.membership();
        let retired = self.is_retired(id);
        let is_member = membership.get(id).is_some();
        let bootstrap_compacted = is_member && self.log.get(1).is_none();
        self.send_synced(
            from,
            id,
            self.hard_state.term,
            MessageBody::DiscoveryResponse { retired, listed: bootstrap_compacted },
        );
        if is_member && message.cluster == 0 {
            self.send_bootstrap(from, id);
        }
        if !is_member && self.settings.allow_unlisted && !self.log.membership().members.is_empty() {
            let names = self.log.membership().members.iter().map(|m| m.name.clone()).collect();
            self.send_to(from, id, self.hard_state.term, MessageBody::MemberNames(names));
        }
        if !is_member && !retired && self.is_leader() {
            self.join.join_requests.insert(from.clone(), id);
            self.advance_membership();
        }
    }

    pub(super) fn on_discovery_response(
        &mut self,
        from: &Instance,
        message: &Message,
        retired: bool,
        listed: bool,
    ) {
        if message.to != self.hard_state.id {
            return;
        }
        // A blank replica may have been a learner that was removed before any entry reached it.
        let is_own_cluster = [0, message.cluster].contains(&self.hard_state.cluster);
        if retired && is_own_cluster {
            self.retired = true;
            return;
        }
        if message.cluster != 0 {
            self.join.blank_peers.remove(from);
            if listed && self.hard_state.cluster == 0 {
                self.join_cluster(message.cluster);
            }
            return;
        }
        self.join.blank_peers.insert(from.clone(), message.from);
        self.try_bootstrap();
    }

    /// Remembers an instance that sends messages to the former identity of this one. The set that it
    /// belongs to can be joined, even if no instance of the settings is left.
    pub(super) fn on_message_to_other(&mut self, from: &Instance) {
        if self.settings.allow_unlisted && self.is_non_member() {
            self.join.learned_names.insert(from.clone());
        }
    }

    /// Adds the members of a set that this replica wants to join. The leader of that set may be
    /// an instance that is not in the settings.
    pub(super) fn on_member_names(&mut self, to: ReplicaId, names: Vec<Instance>) {
        if to != self.hard_state.id || !self.settings.allow_unlisted || !self.is_non_member() {
            return;
        }
        let has_new = names.iter().any(|n| !self.join.learned_names.contains(n));
        self.join.learned_names.extend(names);
        if has_new {
            self.join.next_discovery = self.now;
        }
    }

    /// Bootstraps the cluster if this instance sorts first by name and every peer is blank.
    ///
    /// A peer's response is addressed to this identity, so it was sent after this disk was
    /// formatted. If a cluster had accepted anything, a peer that still has its disk would know
    /// that cluster.
    fn try_bootstrap(&mut self) {
        let is_first = self.settings.peers.iter().min() == Some(&self.settings.name);
        if self.hard_state.cluster != 0 || !is_first || !self.settings.may_bootstrap {
            return;
        }
        let own = (self.hard_state.id, self.settings.name.clone());
        let mut replicas = vec![own];
        for name in self.settings.peers.iter().filter(|n| **n != self.settings.name) {
            let Some(&id) = self.join.blank_peers.get(name) else { return };
            replicas.push((id, name.clone()));
        }
        let cluster = self.hard_state.id.0;
        self.write_bootstrap_entry(cluster, Membership::initial(replicas.clone()));
        for (id, name) in replicas.iter().skip(1) {
            self.send_bootstrap(name, *id);
        }
    }

    /// Joins a cluster whose log is still to arrive.
    ///
    /// A blank member has neither voted nor acknowledged entries, so it may take part in
    /// elections with its empty log.
    pub(super) fn join_cluster(&mut self, cluster: u64) {
        self.hard_state.cluster = cluster;
        self.save_hard_state();
    }

    fn write_bootstrap_entry(&mut self, cluster: u64, membership: Membership) {
        self.hard_state.cluster = cluster;
        self.hard_state.term = self.hard_state.term.max(BOOTSTRAP_TERM);
        self.save_hard_state();
        let entry = crate::Entry {
            index: 1,
            term: BOOTSTRAP_TERM,
            payload: EntryPayload::Membership(membership),
        };
        self.log.push(entry);
        self.reset_election_deadline();
    }

    /// Sends the bootstrap entry to a member that may lack it.
    fn send_bootstrap(&mut self, name: &Instance, id: ReplicaId) {
        let Some(entry) = self.log.get(1) else { return };
        let EntryPayload::Membership(membership) = &entry.payload else { return };
        let body = MessageBody::Bootstrap(membership.clone());
        self.send_synced(name, id, BOOTSTRAP_TERM, body);
    }

    pub(super) fn on_bootstrap(&mut self, to: ReplicaId, cluster: u64, membership: Membership) {
        let own = membership.get(self.hard_state.id).map(|m| &m.name);
        let is_addressed = to == self.hard_state.id && own == Some(&self.settings.name);
        if is_addressed && cluster != 0 && self.hard_state.cluster == 0 && self.log.last() == 0 {
            self.write_bootstrap_entry(cluster, membership);
        }
    }

    /// Whether the newest membership and the first entry of this leader's term are committed.
    pub(super) fn may_change_membership(&self) -> bool {
        let RoleState::Leader(leader) = &self.role_state else { return false };
        self.commit >= leader.first_index && self.commit >= self.log.membership_index()
    }

    pub(super) fn append_membership(&mut self, membership: Membership) -> Index {
        let index = self.append_entry(EntryPayload::Membership(membership));
        self.update_peers();
        index
    }

    /// Takes the next step of a membership change: leaves a joint set, promotes a caught-up
    /// learner, adds a replica that has asked to join, or removes a surplus voter. A leader that is
    /// no longer a member steps down.
    pub(super) fn advance_membership(&mut self) {
        if !self.may_change_membership() {
            return;
        }
        let membership = self.log.membership();
        if membership.is_joint() {
            let next = membership.leave_joint();
            self.append_membership(next);
        } else if membership.get(self.hard_state.id).is_none() {
            self.become_follower(self.hard_state.term);
        } else if let Some(id) = self.caught_up_learner() {
            let next = self.log.membership().with_voter(id);
            self.append_membership(next);
        } else if let Some((name, id)) = self.next_join_request() {
            let next = self.log.membership().with_learner(id, &name);
            self.append_membership(next);
        } else if let Some(name) = self.surplus_voter() {
            let next = self.log.membership().without(&name);
            self.append_membership(next);
        }
    }

    /// A silent voter of a set that has grown to an even size, because a new voter has taken its
    /// place. Without it, the set tolerates one more failure.
    fn surplus_voter(&self) -> Option<Instance> {
        let RoleState::Leader(leader) = &self.role_state else { return None };
        let voters: Vec<&Member> =
            self.log.membership().members.iter().filter(|m| m.voter).collect();
        if !self.settings.allow_unlisted
            || voters.len() < SURPLUS_VOTERS_MIN
            || !voters.len().is_multiple_of(2)
        {
            return None;
        }
        let timeout: Duration = self.settings.election_timeout * SURPLUS_ELECTIONS;
        let is_silent = |m: &&&Member| {
            let progress = leader.peers.get(&m.id);
            progress
                .is_some_and(|p| self.now > p.last_contact.unwrap_or(leader.elected_at) + timeout)
        };
        let mut silent_voters = voters.iter().filter(is_silent);
        let name = silent_voters.next().map(|m| m.name.clone());
        name.filter(|_| silent_voters.next().is_none())
    }

    /// A learner that holds everything committed a heartbeat ago and whose instance has no other
    /// live identity. The commit index is a heartbeat old because, under load, a learner never
    /// holds the entries that are being committed at this moment.
    fn caught_up_learner(&self) -> Option<ReplicaId> {
        let RoleState::Leader(leader) = &self.role_state else { return None };
        let earlier_commit = leader.recent_commits[1];
        // Below its first entry, the commit index is only the one that this leader knew at its
        // start. Any learner reaches it, even one that was never heard from.
        if earlier_commit < leader.first_index {
            return None;
        }
        let is_caught_up =
            |id: ReplicaId| leader.peers.get(&id).is_some_and(|p| p.matched >= earlier_commit);
        let learners = self.log.membership().members.iter().filter(|m| !m.voter);
        let mut ready =
            learners.filter(|m| is_caught_up(m.id) && !self.has_live_identity(&m.name, m.id));
        ready.next().map(|m| m.id)
    }

    fn next_join_request(&mut self) -> Option<(Instance, ReplicaId)> {
        let membership = self.log.membership();
        let is_outsider =
            |id: ReplicaId| membership.get(id).is_none() && !membership.is_retired(id);
        self.join.join_requests.retain(|_, id| is_outsider(*id));
        let may_join = |name: &Instance| {
            self.settings.allow_unlisted
                || self.settings.peers.contains(name)
                || membership.members.iter().any(|m| m.name == *name)
        };
        let mut requests = self.join.join_requests.iter();
        let next =
            requests.find(|(name, id)| may_join(name) && !self.has_live_identity(name, **id));
        next.map(|(name, id)| (name.clone(), *id))
    }

    /// Whether the leader has recently heard another identity of the instance.
    fn has_live_identity(&self, name: &Instance, id: ReplicaId) -> bool {
        let RoleState::Leader(leader) = &self.role_state else { return true };
        let timeout: Duration = self.settings.election_timeout * REPLACE_ELECTIONS;
        let is_live = |m: &Member| match leader.peers.get(&m.id) {
            _ if m.id == self.hard_state.id => true,
            Some(p) => self.now < p.last_contact.unwrap_or(leader.elected_at) + timeout,
            None => false,
        };
        let mut others =
            self.log.membership().members.iter().filter(|m| m.name == *name && m.id != id);
        others.any(is_live)
    }
}
