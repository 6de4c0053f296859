//! The wait before a restarted replica votes, and how it ends early.
//!
//! Covers the loss of all replicas at once. A replica that starts has forgotten when it last answered
//! a leader, so that a leader may hold a lease that relies on it. It therefore waits an election
//! timeout before it votes. The lease has ended, and the wait with it, once every voter has answered
//! since the start that it does not lead.

use {
    super::{Node, RoleState},
    crate::{entry::ReplicaId, membership::Membership, message::MessageBody},
    bronzespool_core::{HashSet, Instance, Time},
    std::time::Duration,
};

/// Answers of the voters to a replica that has not heard from a leader since it started.
#[derive(Debug)]
pub(super) struct StartWait {
    /// Random number of this start. Answers to an earlier start do not count.
    start: u64,
    /// When the wait ends without answers.
    end: Time,
    next_query: Time,
    /// Voters that have answered that they do not lead.
    answered: HashSet<ReplicaId>,
    /// Whether no lease can rely on this replica.
    is_over: bool,
}

impl Node {
    /// Begins the wait of a replica that holds a membership.
    pub(super) fn begin_start_wait(&mut self) {
        if self.log.membership().members.is_empty() {
            return;
        }
        self.start_wait = Some(StartWait {
            start: self.rng.u64(..),
            end: self.now + self.settings.election_timeout,
            next_query: self.now,
            answered: HashSet::default(),
            is_over: false,
        });
    }

    /// Ends the wait because a leader has been heard from: from now on its contact counts.
    pub(super) fn end_start_wait(&mut self) {
        self.start_wait = None;
    }

    /// Whether the voters have answered that no lease relies on what this replica has forgotten.
    pub(super) fn is_start_wait_over(&self) -> bool {
        self.start_wait.as_ref().is_some_and(|w| w.is_over)
    }

    /// When the next queries are due.
    pub(super) fn start_query_due(&self) -> Time {
        self.start_wait.as_ref().filter(|w| !w.is_over).map_or(Time::MAX, |w| w.next_query)
    }

    /// Asks the voters that have not answered yet whether they lead.
    pub(super) fn tick_start_wait(&mut self) {
        let now = self.now;
        let interval = self.settings.heartbeat_interval / 2;
        let Some(wait) = &mut self.start_wait else { return };
        if now >= wait.end {
            self.start_wait = None;
            return;
        }
        if wait.is_over || now < wait.next_query {
            return;
        }
        wait.next_query = now + interval;
        let start = wait.start;
        for (id, name) in self.unanswered_voters() {
            let body = MessageBody::LeadershipQuery { start };
            self.send_to(&name, id, self.hard_state.term, body);
        }
        self.check_start_wait();
    }

    /// Answers a restarted replica if this one does not lead.
    pub(super) fn on_leadership_query(&mut self, from: &Instance, id: ReplicaId, start: u64) {
        if matches!(self.role_state, RoleState::Leader(_)) {
            return;
        }
        let body = MessageBody::NotLeading { start, membership: self.log.membership().clone() };
        self.send_to(from, id, self.hard_state.term, body);
    }

    /// Counts a voter that does not lead. A voter with another membership may know of a leader that
    /// this replica does not ask, so that its answer does not count.
    pub(super) fn on_not_leading(&mut self, id: ReplicaId, start: u64, membership: &Membership) {
        let is_same_membership = membership == self.log.membership();
        let Some(wait) = &mut self.start_wait else { return };
        if wait.start != start || !is_same_membership {
            return;
        }
        wait.answered.insert(id);
        self.check_start_wait();
    }

    /// Ends the wait if all voters have answered, and stands for election soon.
    fn check_start_wait(&mut self) {
        let is_answered = self.unanswered_voters().is_empty();
        let Some(wait) = self.start_wait.as_mut().filter(|w| !w.is_over) else { return };
        if is_answered {
            wait.is_over = true;
            self.election_deadline = self.now + self.early_election_delay();
        }
    }

    /// Time until the next election of a replica whose wait has ended early. Random, so that replicas
    /// which have started together do not compete; longer than the answers to a pre-vote take.
    pub(super) fn early_election_delay(&mut self) -> Duration {
        let least = self.settings.heartbeat_interval / 4;
        let most = u64::try_from(self.settings.heartbeat_interval.as_micros()).unwrap_or(u64::MAX);
        least + Duration::from_micros(self.rng.u64(0..=most))
    }

    /// The other voters of all memberships that may be in effect and have not answered.
    fn unanswered_voters(&self) -> Vec<(ReplicaId, Instance)> {
        let Some(wait) = &self.start_wait else { return Vec::new() };
        let mut voters: Vec<(ReplicaId, Instance)> = Vec::new();
        for membership in self.log.memberships_from(self.commit) {
            for member in membership.members.iter().filter(|m| membership.is_voter(m.id)) {
                let is_known = voters.iter().any(|(id, _)| *id == member.id);
                let is_own = member.id == self.hard_state.id;
                if !is_known && !is_own && !wait.answered.contains(&member.id) {
                    voters.push((member.id, member.name.clone()));
                }
            }
        }
        voters
    }
}
