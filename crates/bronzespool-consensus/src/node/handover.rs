//! A planned change of leader, without an election time of silence.

use {
    super::{Node, Phase},
    crate::{
        entry::Id,
        error::{Error, Result},
        message::{Ballot, Body},
    },
    bronzespool_core::{Instance, Time},
};

impl Node {
    /// Hands leadership to a voter that holds the whole log and returns its instance.
    ///
    /// Refused with [`Error::Busy`] while no voter in contact holds the whole log: propose nothing
    /// more and ask again. The lease ends before the other is told, so that votes that follow a
    /// hand-over need not wait for it.
    pub fn hand_over(&mut self, now: Time) -> Result<Instance> {
        self.advance_clock(now);
        self.check_leader()?;
        let (id, name) = self.successor().ok_or(Error::Busy)?;
        let term = self.hard.term;
        self.become_follower(term);
        self.send_to(&name, id, term, Body::TakeOver);
        Ok(name)
    }

    fn successor(&self) -> Option<(Id, Instance)> {
        let Phase::Leader(leader) = &self.phase else { return None };
        let whole = |id: Id| {
            let progress = leader.others.get(&id)?;
            let recent = self.now < progress.contact? + self.settings.election;
            (recent && progress.matched == self.log.last()).then_some(())
        };
        let voters = self.log.members().list.iter().filter(|m| m.voter);
        let mut ready = voters.filter(|m| whole(m.id).is_some());
        ready.next().map(|m| (m.id, m.name.clone()))
    }

    /// Starts an election at once on the leader's request.
    pub(super) fn on_take_over(&mut self, id: Id) {
        let voter = self.log.members().is_voter(self.hard.id);
        if voter && self.leader == Some(id) && !self.is_leader() {
            self.start_vote(Ballot::HandOver);
        }
    }
}
