//! Planned leadership transfer without waiting for an election timeout.

use {
    super::{Node, RoleState},
    crate::{
        entry::ReplicaId,
        error::{Error, Result},
        message::{MessageBody, VoteKind},
    },
    bronzespool_core::{Instance, Time},
};

impl Node {
    /// Transfers leadership to a voter that holds the whole log and returns its instance.
    ///
    /// Fails with [`Error::Busy`] while no voter in contact holds the whole log. Stop proposing
    /// and retry. The lease ends before the other replica is notified, so votes that follow a
    /// transfer need not wait for the lease to expire.
    pub fn transfer_leadership(&mut self, now: Time) -> Result<Instance> {
        self.advance_clock(now);
        self.check_leader()?;
        let (id, name) = self.successor().ok_or(Error::Busy)?;
        let term = self.hard_state.term;
        self.become_follower(term);
        self.send_to(&name, id, term, MessageBody::TimeoutNow);
        Ok(name)
    }

    fn successor(&self) -> Option<(ReplicaId, Instance)> {
        let RoleState::Leader(leader) = &self.role_state else { return None };
        let is_caught_up = |id: ReplicaId| {
            let progress = leader.peers.get(&id)?;
            let is_live = self.now < progress.last_contact? + self.settings.election_timeout;
            (is_live && progress.matched == self.log.last()).then_some(())
        };
        let voters = self.log.membership().members.iter().filter(|m| m.voter);
        let mut ready = voters.filter(|m| is_caught_up(m.id).is_some());
        ready.next().map(|m| (m.id, m.name.clone()))
    }

    /// Starts an election immediately, as the leader has requested.
    pub(super) fn on_timeout_now(&mut self, id: ReplicaId) {
        let is_voter = self.log.membership().is_voter(self.hard_state.id);
        if is_voter && self.leader == Some(id) && !self.is_leader() {
            self.start_election(VoteKind::Transfer);
        }
    }
}
