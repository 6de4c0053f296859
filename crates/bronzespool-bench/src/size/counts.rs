//! Counts of what the roles do.

use serde::{Deserialize, Serialize};

/// Names of all counts with their roles, in the order of [`Counts::values`].
pub const COUNT_NAMES: [&str; 13] = [
    "agent: polls",
    "agent: bytes of polls",
    "agent: wakes of the poll loop",
    "agent: lists of the worker",
    "agent: starts and stops of the worker",
    "agent: check-ins of the worker",
    "leader: waiting polls woken",
    "leader: plans",
    "leader: records",
    "leader: events",
    "leader: bytes of records",
    "leader: orders",
    "leader: bytes of orders",
];

/// Counts of what the roles do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Polls of agents.
    pub polls: u64,
    /// Encoded bytes of the polls.
    pub poll_bytes: u64,
    /// Times that an agent's poll loop was woken by a change.
    pub agent_wakes: u64,
    /// Requests for a worker's list.
    pub lists: u64,
    /// Starts and stops that a worker was called for.
    pub calls: u64,
    /// Check-ins of workers.
    pub check_ins: u64,
    /// Polls that waited for orders when a record was applied; each is looked at again.
    pub woken_polls: u64,
    /// Plans.
    pub plans: u64,
    /// Records of the ledger.
    pub records: u64,
    /// Events in records.
    pub events: u64,
    /// Encoded bytes of the records.
    pub record_bytes: u64,
    /// Starts and stops in answers to polls.
    pub orders: u64,
    /// Encoded bytes of the answers to polls.
    pub order_bytes: u64,
}

impl Counts {
    /// Returns all counts, in the order of [`COUNT_NAMES`].
    pub const fn values(&self) -> [u64; COUNT_NAMES.len()] {
        [
            self.polls,
            self.poll_bytes,
            self.agent_wakes,
            self.lists,
            self.calls,
            self.check_ins,
            self.woken_polls,
            self.plans,
            self.records,
            self.events,
            self.record_bytes,
            self.orders,
            self.order_bytes,
        ]
    }
}
