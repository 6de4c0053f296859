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
pub(super) const LEASE: Duration = Duration::from_millis(8_000);
/// Silence of an agent after which its worker is given nothing new.
pub(super) const SILENCE: Duration = Duration::from_millis(1_200);

/// Silence after which a process is no longer named as one that passes on calls.
const RELAY_SILENCE: Duration = Duration::from_secs(2);
/// Most such processes that are named at once.
const RELAYS_MAX: usize = 6;

/// The latest word of one agent.
#[derive(Debug)]
pub(super) struct View {
    /// When it arrived.
    pub(super) seen: Time,
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
    since: Time,
    pub(super) views: HashMap<Instance, View>,
    /// When an agent was last allowed to extend the leases of a worker's life.
    granted: HashMap<WorkerIncarnation, Time>,
    /// Processes that pass on calls, and when they were last heard of.
    relays: HashMap<SocketAddr, Time>,
}

impl Agents {
    /// Forgets what was known in an earlier term.
    pub(super) fn enter(&mut self, term: u64, now: Time) {
        if self.term != term {
            *self = Self { term, since: now, ..Self::default() };
        }
    }

    /// Takes a poll and returns its serial number.
    pub(super) fn note(&mut self, now: Time, poll: &Poll) -> u64 {
        let serial = self.views.get(&poll.agent).map_or(0, |v| v.serial) + 1;
        let view = View { seen: now, serial, poll: poll.clone() };
        self.views.insert(poll.agent.clone(), view);
        serial
    }

    /// Notes a process that passes on calls.
    pub(super) fn note_relay(&mut self, now: Time, relay: Option<SocketAddr>) {
        self.relays.extend(relay.map(|r| (r, now)));
    }

    /// Some of the processes that pass on calls and were heard of just now, drawn at random so
    /// that the load spreads.
    pub(super) fn relays(&mut self, now: Time) -> Vec<SocketAddr> {
        self.relays.retain(|_, seen| now.since(*seen) < RELAY_SILENCE);
        let mut relays: Vec<_> = self.relays.keys().copied().collect();
        fastrand::shuffle(&mut relays);
        relays.truncate(RELAYS_MAX);
        relays
    }

    /// Whether a newer poll of the agent has arrived.
    pub(super) fn is_superseded(&self, agent: &Instance, serial: u64) -> bool {
        self.views.get(agent).is_none_or(|v| v.serial != serial)
    }

    /// Notes that the agent is told now that it may extend the leases.
    pub(super) fn grant(&mut self, now: Time, agent: &Instance, life: &WorkerIncarnation) {
        self.granted.insert(life.clone(), now);
        if let Some(view) = self.views.get_mut(agent) {
            view.seen = now;
        }
    }

    /// Whether every lease in a worker's life has surely ended. A leader of an earlier term may
    /// have granted one until this term began.
    pub(super) fn is_over(&self, now: Time, life: &WorkerIncarnation) -> bool {
        let last = self.granted.get(life).copied().unwrap_or(self.since);
        now.since(last.max(self.since)) > lease_duration_max(LEASE)
    }

    /// Forgets a life that is over.
    pub(super) fn forget(&mut self, life: &WorkerIncarnation) {
        self.granted.remove(life);
    }
}
