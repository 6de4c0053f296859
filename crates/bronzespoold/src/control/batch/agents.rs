//! What the leader knows of agents beside the ledger; it begins anew with each term.

use {
    bronzespool::{
        batch::{WorkerIncarnation, agent::lease_duration_max, message::Poll},
        core::{HashMap, Instance, Time},
    },
    std::{net::SocketAddr, time::Duration},
};

/// Time for which an agent may extend its worker's leases without hearing from the leader: longer
/// than most cuts last.
pub(super) const WORKER_LEASE: Duration = Duration::from_millis(8_000);
/// Silence of an agent after which its worker is given nothing new.
pub(super) const AGENT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Silence after which a process is no longer named as one that passes on calls.
const RELAY_TIMEOUT: Duration = Duration::from_secs(2);
/// Most such processes that are named at once.
const RELAYS_MAX: usize = 6;

/// The latest word of one agent.
#[derive(Debug)]
pub(super) struct AgentPoll {
    /// When it arrived.
    pub(super) seen_at: Time,
    /// Rises with each poll, so that an older one that is parked can end.
    pub(super) serial: u64,
    /// Its contents.
    pub(super) poll: Poll,
}

/// All agents.
#[derive(Debug, Default)]
pub(super) struct Agents {
    term: u64,
    /// When this replica began to lead in the term.
    term_start: Time,
    pub(super) polls: HashMap<Instance, AgentPoll>,
    /// When an agent was last allowed to extend the leases of a worker's life.
    granted_at: HashMap<WorkerIncarnation, Time>,
    /// Processes that pass on calls, and when they were last heard of.
    relays: HashMap<SocketAddr, Time>,
}

impl Agents {
    /// Forgets what was known in an earlier term.
    pub(super) fn enter_term(&mut self, term: u64, now: Time) {
        if self.term != term {
            *self = Self { term, term_start: now, ..Self::default() };
        }
    }

    /// Takes a poll and returns its serial number.
    pub(super) fn record_poll(&mut self, now: Time, poll: &Poll) -> u64 {
        let serial = self.polls.get(&poll.agent).map_or(0, |v| v.serial) + 1;
        let latest = AgentPoll { seen_at: now, serial, poll: poll.clone() };
        self.polls.insert(poll.agent.clone(), latest);
        serial
    }

    /// Notes a process that passes on calls.
    pub(super) fn record_relay(&mut self, now: Time, relay: Option<SocketAddr>) {
        self.relays.extend(relay.map(|r| (r, now)));
    }

    /// Some of the processes that pass on calls and were heard of just now, drawn at random so
    /// that the load spreads.
    pub(super) fn relays(&mut self, now: Time) -> Vec<SocketAddr> {
        self.relays.retain(|_, seen| now.since(*seen) < RELAY_TIMEOUT);
        let mut relays: Vec<_> = self.relays.keys().copied().collect();
        fastrand::shuffle(&mut relays);
        relays.truncate(RELAYS_MAX);
        relays
    }

    /// Whether a newer poll of the agent has arrived.
    pub(super) fn is_superseded(&self, agent: &Instance, serial: u64) -> bool {
        self.polls.get(agent).is_none_or(|v| v.serial != serial)
    }

    /// Notes that the agent is told now that it may extend the leases.
    pub(super) fn record_grant(
        &mut self,
        now: Time,
        agent: &Instance,
        incarnation: &WorkerIncarnation,
    ) {
        self.granted_at.insert(incarnation.clone(), now);
        if let Some(latest) = self.polls.get_mut(agent) {
            latest.seen_at = now;
        }
    }

    /// Whether every lease in a worker's life has surely ended. A leader of an earlier term may
    /// have granted one until this term began.
    pub(super) fn leases_ended(&self, now: Time, incarnation: &WorkerIncarnation) -> bool {
        let last = self.granted_at.get(incarnation).copied().unwrap_or(self.term_start);
        now.since(last.max(self.term_start)) > lease_duration_max(WORKER_LEASE)
    }

    /// Forgets a life that is over.
    pub(super) fn forget(&mut self, incarnation: &WorkerIncarnation) {
        self.granted_at.remove(incarnation);
    }
}
