//! Elections: trial votes, votes, and when a replica refuses both.

use {
    super::{Node, Phase, leader::Leader},
    crate::{
        entry::{Change, Id, Index, Term},
        message::{Ballot, Body, Message},
    },
    bronzespool_core::Instance,
    std::time::Duration,
};

impl Node {
    pub(super) fn reset_deadline(&mut self) {
        let span = u64::try_from(self.settings.election.as_micros()).unwrap_or(u64::MAX);
        let extra = Duration::from_micros(self.rng.u64(0..=span));
        self.deadline = self.now + self.settings.election + extra;
    }

    /// Whether a leader may hold a lease that rests on this replica: it helps no other.
    fn is_bound(&self) -> bool {
        self.is_leader() || self.now < self.contact + self.settings.election
    }

    /// Brings the terms of sender and receiver together; false if the message ends here.
    pub(super) fn check_term(&mut self, from: &Instance, message: &Message) -> bool {
        if message.term < self.hard.term {
            self.answer_old(from, message);
            return false;
        }
        if message.term == self.hard.term {
            return true;
        }
        match message.body {
            Body::Vote { ballot: Ballot::Trial, .. } => true,
            Body::Voted { ballot: Ballot::Trial, granted: true } => true,
            Body::Vote { ballot: Ballot::Regular, .. } if self.is_bound() => false,
            _ => {
                self.become_follower(message.term);
                true
            }
        }
    }

    /// Tells a sender of a former term about the present one.
    fn answer_old(&mut self, from: &Instance, message: &Message) {
        let body = match message.body {
            Body::Vote { ballot, .. } => Body::Voted { ballot, granted: false },
            Body::Append { .. } | Body::Heartbeat { .. } | Body::Chunk { .. } => {
                Body::Alive { seq: 0 }
            }
            _ => return,
        };
        self.send_to(from, message.from, self.hard.term, body);
    }

    /// Gives up any other role, in this term or a later one.
    pub(super) fn become_follower(&mut self, term: Term) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.save();
        }
        self.leader = None;
        self.fail_reads();
        self.phase = Phase::Follower;
        self.reset_deadline();
    }

    /// Notes that the leader of this term is in contact.
    pub(super) fn follow(&mut self, leader: Id) {
        if !matches!(self.phase, Phase::Follower) {
            self.become_follower(self.hard.term);
        }
        self.leader = Some(leader);
        self.contact = self.now;
        self.reset_deadline();
    }

    pub(super) fn start_trial(&mut self) {
        self.reset_deadline();
        self.leader = None;
        if !self.log.members().is_voter(self.hard.id) {
            return;
        }
        self.phase = Phase::Trial(Vec::new());
        self.ask_votes(Ballot::Trial);
        self.on_voted(self.hard.id, self.hard.term + 1, Ballot::Trial, true);
    }

    pub(super) fn start_vote(&mut self, ballot: Ballot) {
        self.hard.term += 1;
        self.hard.vote = Some(self.hard.id);
        self.save();
        self.phase = Phase::Candidate(Vec::new());
        self.reset_deadline();
        self.ask_votes(ballot);
        let name = self.settings.name.clone();
        let own = Body::Voted { ballot, granted: true };
        self.send_synced(&name, self.hard.id, self.hard.term, own);
    }

    fn ask_votes(&mut self, ballot: Ballot) {
        let trial = ballot == Ballot::Trial;
        let (last_index, last_term) = (self.log.last(), self.log.last_term());
        let term = self.hard.term + u64::from(trial);
        let (members, own) = (self.log.members().clone(), self.hard.id);
        let asked = |id: Id| id != own && members.is_voter(id);
        for member in members.list.iter().filter(|m| asked(m.id)) {
            let body = Body::Vote { ballot, last_index, last_term };
            if trial {
                self.send_to(&member.name, member.id, term, body);
            } else {
                self.send_synced(&member.name, member.id, term, body);
            }
        }
    }

    pub(super) fn on_vote(
        &mut self,
        from: &Instance,
        (id, term): (Id, Term),
        ballot: Ballot,
        last: (Term, Index),
    ) {
        let current = last >= (self.log.last_term(), self.log.last());
        let free = term > self.hard.term || self.hard.vote.is_none_or(|vote| vote == id);
        let granted = current && free && (ballot == Ballot::HandOver || !self.is_bound());
        if ballot == Ballot::Trial {
            let term = if granted { term } else { self.hard.term };
            self.send_to(from, id, term, Body::Voted { ballot, granted });
            return;
        }
        if granted {
            self.hard.vote = Some(id);
            self.save();
            self.reset_deadline();
        }
        self.send_synced(from, id, self.hard.term, Body::Voted { ballot, granted });
    }

    pub(super) fn on_voted(&mut self, id: Id, term: Term, ballot: Ballot, granted: bool) {
        let trial = ballot == Ballot::Trial;
        let wanted = self.hard.term + u64::from(trial);
        if !granted || term != wanted {
            return;
        }
        let votes = match &mut self.phase {
            Phase::Trial(votes) if trial => votes,
            Phase::Candidate(votes) if !trial => votes,
            _ => return,
        };
        if !votes.contains(&id) {
            votes.push(id);
        }
        if !self.log.members().has_quorum(|m| votes.contains(&m)) {
            return;
        }
        if trial {
            self.start_vote(Ballot::Regular);
        } else {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        self.leader = Some(self.hard.id);
        let start = self.log.last() + 1;
        let leader = Leader::new(self.now, start);
        self.phase = Phase::Leader(Box::new(leader));
        self.align_progress();
        self.backlog = self.size_of(self.commit + 1..=self.log.last());
        self.push(Change::Noop);
        self.begin_round();
    }
}
