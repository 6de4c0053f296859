//! Leases that the leader has granted, and which reports of an agent are newer than them.

use {
    crate::{id::WorkerIncarnation, message::PollId},
    bronzespool_core::{HashMap, Time},
};

/// The last grant to a worker incarnation.
#[derive(Clone, Copy, Debug)]
struct Grant {
    at: Time,
    /// The newest poll that was answered with a grant.
    poll: PollId,
}

/// The grants of one term, by worker incarnation.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    grants: HashMap<WorkerIncarnation, Grant>,
}

impl Grants {
    /// Records that a poll is being answered with orders and a lease for a worker incarnation.
    pub fn record(&mut self, now: Time, incarnation: &WorkerIncarnation, poll: PollId) {
        let former = self.grants.get(incarnation).map(|g| g.poll);
        let poll = former.filter(|f| f.follows(poll)).unwrap_or(poll);
        self.grants.insert(incarnation.clone(), Grant { at: now, poll });
    }

    /// Returns when a worker incarnation was last granted a lease.
    pub fn last_at(&self, incarnation: &WorkerIncarnation) -> Option<Time> {
        self.grants.get(incarnation).map(|g| g.at)
    }

    /// Whether a poll was sent after all polls that brought the worker incarnation orders. Only then
    /// may it take the worker or a run of it away: a poll that was held up on its way does not know
    /// of runs that the worker has started since. Unknown before the first grant of a term.
    pub fn precede(&self, incarnation: &WorkerIncarnation, poll: PollId) -> bool {
        self.grants.get(incarnation).is_some_and(|g| poll.follows(g.poll))
    }

    /// Forgets a worker incarnation that is gone.
    pub fn forget(&mut self, incarnation: &WorkerIncarnation) {
        self.grants.remove(incarnation);
    }
}
