//! Whether the agents of workers have been in contact without a break.

use {
    crate::{
        contact::AGENT_TIMEOUT,
        message::{Poll, PollId},
    },
    bronzespool_core::{HashMap, HashSet, Instance, Time},
};

/// State of the contact with a worker when a poll arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ContactState {
    /// The first contact in this term, or a pause of at most [`AGENT_TIMEOUT`].
    Continuous,
    /// The worker was out of contact.
    Restored,
    /// The agent sent the poll before one that has arrived already.
    Late,
}

/// Contact with one worker through its agent.
#[derive(Clone, Copy, Debug)]
struct Contact {
    /// When the unbroken contact began; none before the first report on a worker.
    since: Option<Time>,
    last: Time,
    poll: PollId,
}

/// Contacts with all workers, by the agents' instances.
#[derive(Clone, Debug, Default)]
pub(super) struct AgentContacts {
    contacts: HashMap<Instance, Contact>,
}

impl AgentContacts {
    /// Records a poll. A poll that reports no worker does not count as contact with a worker.
    pub(super) fn record(&mut self, at: Time, poll: &Poll) -> ContactState {
        let new = Contact { since: None, last: at, poll: poll.id };
        let contact = self.contacts.entry(poll.agent.clone()).or_insert(new);
        if contact.poll.follows(poll.id) {
            return ContactState::Late;
        }
        contact.poll = poll.id;
        if poll.worker.is_none() {
            return ContactState::Continuous;
        }
        let restored = contact.since.is_some() && at.since(contact.last) > AGENT_TIMEOUT;
        if restored || contact.since.is_none() {
            contact.since = Some(at);
        }
        contact.last = at;
        if restored { ContactState::Restored } else { ContactState::Continuous }
    }

    /// Returns since when the worker beside an agent is in contact without a break.
    pub(super) fn since(&self, agent: &Instance) -> Option<Time> {
        self.contacts.get(agent)?.since
    }

    /// Removes all agents but the given ones.
    pub(super) fn retain_agents<'a>(&mut self, agents: impl Iterator<Item = &'a Instance>) {
        let agents: HashSet<&Instance> = agents.collect();
        self.contacts.retain(|agent, _| agents.contains(agent));
    }
}
