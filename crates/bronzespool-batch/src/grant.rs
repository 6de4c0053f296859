//! Leases that the leader has granted, and which reports of an agent are newer than them.

use {
    crate::{
        agent::lease_duration_max, contact::AGENT_TIMEOUT, id::WorkerIncarnation, message::PollId,
    },
    bronzespool_core::{HashMap, Time},
    std::time::Duration,
};

/// Time for which an agent may extend its worker's leases without hearing from the leader. It is
/// longer than most network partitions.
pub const WORKER_LEASE: Duration = Duration::from_millis(8_000);

/// The last grant to a worker incarnation.
#[derive(Clone, Copy, Debug)]
struct Grant {
    at: Time,
    /// The newest poll of the last process that was answered with a grant.
    poll: PollId,
    /// Since when all grants have gone to this process, with no longer pause than a live one makes.
    contact_since: Time,
    /// When another process was last answered with a grant; none in a term without another one.
    other_at: Option<Time>,
    /// Whether such contact has lasted for as long as a live process may be silent, and no lease of
    /// another process is left.
    settled: bool,
}

impl Grant {
    /// Whether this process alone was in contact for as long as a live one may be silent. Polls of a
    /// process that has ended can arrive between those of the next one, and tell nothing of what that
    /// one has started. A few of them, some time apart, are no contact. Which of two processes has
    /// ended is not known, so what the other one has started counts until its leases have ended.
    fn is_settled(&self, now: Time, lease_max: Duration) -> bool {
        let other_lasts = self.other_at.is_some_and(|at| now.since(at) <= lease_max);
        let lasts = !self.has_paused(now) && now.since(self.contact_since) >= AGENT_TIMEOUT;
        self.settled || lasts && !other_lasts
    }

    /// Whether the process was not answered for longer than a live one may be silent.
    fn has_paused(&self, now: Time) -> bool {
        now.since(self.at) >= AGENT_TIMEOUT
    }
}

/// The grants of one term, by worker incarnation.
#[derive(Clone, Debug)]
pub struct Grants {
    grants: HashMap<WorkerIncarnation, Grant>,
    /// Longest true time that a granted lease lasts.
    lease_max: Duration,
}

impl Default for Grants {
    fn default() -> Self {
        Self::new(WORKER_LEASE)
    }
}

impl Grants {
    /// Creates grants of leases of this length, of which there is none yet.
    pub fn new(lease: Duration) -> Self {
        Self { grants: HashMap::default(), lease_max: lease_duration_max(lease) }
    }

    /// Records that a poll is being answered with orders and a lease for a worker incarnation.
    pub fn record(&mut self, now: Time, incarnation: &WorkerIncarnation, poll: PollId) {
        let new = Grant { at: now, poll, contact_since: now, other_at: None, settled: false };
        let grant = self.grants.entry(incarnation.clone()).or_insert(new);
        if grant.poll.process() != poll.process() {
            *grant = Grant { other_at: Some(grant.at), ..new };
        }
        if grant.has_paused(now) {
            grant.contact_since = now;
        }
        grant.settled = grant.is_settled(now, self.lease_max);
        grant.at = now;
        if poll.follows(grant.poll) {
            grant.poll = poll;
        }
    }

    /// Returns when a worker incarnation was last granted a lease.
    pub fn last_at(&self, incarnation: &WorkerIncarnation) -> Option<Time> {
        self.grants.get(incarnation).map(|g| g.at)
    }

    /// Whether a poll was sent after all polls that brought the worker incarnation orders. Only then
    /// may it take the worker away: a poll that was held up on its way does not know of runs that the
    /// worker has started since. Unknown before the first grant of a term.
    pub fn precede(&self, now: Time, incarnation: &WorkerIncarnation, poll: PollId) -> bool {
        let grant = self.grants.get(incarnation);
        grant.is_some_and(|g| poll.follows(g.poll) && g.is_settled(now, self.lease_max))
    }

    /// Whether a poll may take runs of the worker incarnation away. Unlike a report of the worker as
    /// gone, a refusal may be in the last poll that was answered, since that answer has not ordered
    /// the run. All polls of an agent of an earlier version are one in this respect.
    pub fn precede_refusals(
        &self,
        now: Time,
        incarnation: &WorkerIncarnation,
        poll: PollId,
    ) -> bool {
        let is_last = |g: &Grant| poll == g.poll && g.is_settled(now, self.lease_max);
        self.precede(now, incarnation, poll) || self.grants.get(incarnation).is_some_and(is_last)
    }

    /// Forgets a worker incarnation that is gone.
    pub fn forget(&mut self, incarnation: &WorkerIncarnation) {
        self.grants.remove(incarnation);
    }
}
