//! What the leader knows of agents beyond the ledger. It is reset at the start of each term.

use {
    bronzespool::{
        batch::{
            WorkerIncarnation,
            agent::lease_duration_max,
            contact::Contacts,
            grant::{Grants, WORKER_LEASE},
            ledger::WorkerSpec,
            message::Poll,
        },
        core::{HashMap, Time},
    },
    std::{net::SocketAddr, time::Duration},
};

/// Silence after which a process is no longer offered as a relay for calls to the leader.
const RELAY_TIMEOUT: Duration = Duration::from_secs(2);
/// Most relays that are offered at once.
const RELAYS_MAX: usize = 6;

/// All agents that were heard from in the current term.
#[derive(Debug, Default)]
pub(super) struct Agents {
    term: u64,
    /// When this replica became leader of the term.
    term_start: Time,
    pub(super) contacts: Contacts,
    /// When an agent was last allowed to extend the leases of a worker incarnation.
    pub(super) grants: Grants,
    /// Processes that relay calls to the leader, and when they were last heard from.
    relays: HashMap<SocketAddr, Time>,
}

impl Agents {
    /// Forgets what was known in an earlier term.
    pub(super) fn enter_term(&mut self, term: u64, now: Time) {
        if self.term != term {
            *self = Self { term, term_start: now, ..Self::default() };
        }
    }

    /// Records that a process relays calls.
    pub(super) fn record_relay(&mut self, now: Time, relay: Option<SocketAddr>) {
        self.relays.extend(relay.map(|r| (r, now)));
    }

    /// Some of the relays that were heard from within [`RELAY_TIMEOUT`], chosen at random to spread
    /// the load.
    pub(super) fn relays(&mut self, now: Time) -> Vec<SocketAddr> {
        self.relays.retain(|_, seen| now.since(*seen) < RELAY_TIMEOUT);
        let mut relays: Vec<_> = self.relays.keys().copied().collect();
        fastrand::shuffle(&mut relays);
        relays.truncate(RELAYS_MAX);
        relays
    }

    /// Records that the agent is now being told that it may extend the leases. Returns whether the
    /// worker may be assigned tasks again, because the agent had been silent for too long.
    pub(super) fn record_grant(
        &mut self,
        now: Time,
        poll: &Poll,
        incarnation: &WorkerIncarnation,
    ) -> bool {
        self.grants.record(now, incarnation, poll.id);
        self.contacts.record_grant(now, &poll.agent)
    }

    /// Whether every lease of a worker incarnation has certainly ended. A leader of an earlier term
    /// may have granted a lease until this term began. One whose agent waits for the first answer, as
    /// after its registration, is about to be granted one.
    pub(super) fn leases_ended(&self, now: Time, worker: &WorkerSpec) -> bool {
        let granted_at = self.grants.last_at(&worker.incarnation);
        let is_awaited = granted_at.is_none() && self.contacts.is_reported(now, worker);
        let last = granted_at.map_or(self.term_start, |at| at.max(self.term_start));
        !is_awaited && now.since(last) > lease_duration_max(WORKER_LEASE)
    }

    /// Forgets a worker incarnation whose leases have ended.
    pub(super) fn forget(&mut self, incarnation: &WorkerIncarnation) {
        self.grants.forget(incarnation);
    }
}
