//! Agents in contact with the leader, and whether a poll changes what a plan reads of them.

use {
    crate::{ledger::WorkerSpec, message::Poll},
    bronzespool_core::{HashMap, Instance, Time},
    std::{rc::Rc, sync::Arc, time::Duration},
};

/// Silence of an agent after which its worker is assigned nothing new.
pub const AGENT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The latest poll of one agent.
#[derive(Clone, Debug)]
struct Contact {
    /// When the poll arrived, or when it was answered with a lease.
    heard_at: Time,
    /// Increases with each poll, so that an older poll that still waits for orders can end.
    serial: u64,
    poll: Rc<Poll>,
}

impl Contact {
    fn is_current(&self, now: Time) -> bool {
        now.since(self.heard_at) < AGENT_TIMEOUT
    }
}

/// What a recorded poll is to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Number of the poll among those of its agent.
    pub serial: u64,
    /// Whether the agent's process sent it before one that has arrived already. Such a poll reports
    /// nothing new.
    pub is_late: bool,
    /// Whether a worker may be assigned tasks from now on, or none any more, because of this poll. A
    /// plan reads all else that a poll reports beside events, such as progress, at its next run.
    pub calls_for_plan: bool,
}

/// The latest polls of all agents that were heard from in the current term.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    contacts: HashMap<Instance, Contact>,
}

impl Contacts {
    /// Records a poll.
    pub fn record_poll(&mut self, now: Time, poll: &Rc<Poll>) -> Arrival {
        let former = self.contacts.get(&poll.agent);
        if let Some(former) = former.filter(|c| c.poll.id.follows(poll.id)) {
            let serial = former.serial.saturating_sub(1);
            return Arrival { serial, is_late: true, calls_for_plan: false };
        }
        let serial = former.map_or(0, |c| c.serial) + 1;
        let before = former.filter(|c| c.is_current(now)).and_then(|c| worker_name(&c.poll));
        let calls_for_plan = before != worker_name(poll);
        let contact = Contact { heard_at: now, serial, poll: Rc::clone(poll) };
        self.contacts.insert(poll.agent.clone(), contact);
        Arrival { serial, is_late: false, calls_for_plan }
    }

    /// Records that an agent's poll is answered with a lease now. Returns whether the worker may be
    /// assigned tasks again, because the agent had been silent for too long.
    pub fn record_grant(&mut self, now: Time, agent: &Instance) -> bool {
        let Some(contact) = self.contacts.get_mut(agent) else { return false };
        let was_current = contact.is_current(now);
        contact.heard_at = now;
        !was_current && contact.poll.worker.is_some()
    }

    /// Whether a newer poll of the agent has arrived.
    pub fn is_superseded(&self, agent: &Instance, serial: u64) -> bool {
        self.contacts.get(agent).is_none_or(|c| c.serial != serial)
    }

    /// Whether the agent beside a worker is in contact and names this incarnation.
    pub fn is_reported(&self, now: Time, worker: &WorkerSpec) -> bool {
        let contact = self.contacts.get(&worker.agent).filter(|c| c.is_current(now));
        let named = contact.and_then(|c| c.poll.worker.as_ref());
        named.is_some_and(|w| w.incarnation == worker.incarnation)
    }

    /// Returns when an agent was last heard from.
    pub fn heard_at(&self, agent: &Instance) -> Option<Time> {
        self.contacts.get(agent).map(|c| c.heard_at)
    }

    /// Returns the latest polls of the agents that are in contact.
    pub fn in_contact(&self, now: Time) -> impl Iterator<Item = &Poll> {
        self.contacts.values().filter(move |c| c.is_current(now)).map(|c| &*c.poll)
    }

    /// Returns when the next agent is out of contact unless it is heard from before.
    pub fn next_timeout(&self, now: Time) -> Option<Time> {
        let current = self.contacts.values().filter(|c| c.is_current(now));
        current.map(|c| c.heard_at + AGENT_TIMEOUT).min()
    }
}

fn worker_name(poll: &Poll) -> Option<&Arc<str>> {
    poll.worker.as_ref().map(|w: &WorkerSpec| &w.incarnation.worker)
}
