//! Changes of the view, numbered by the index of the log entry that made them.

use {
    crate::view::EndpointRecord,
    bronzespool_core::{Instance, Service, ServiceSpec},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Changes kept for sessions that lag; a session further behind gets the whole view.
const UPDATES_MAX: usize = 1_024;

/// One change of the view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ViewUpdate {
    /// A new revision of the configuration.
    Config {
        /// The revision.
        revision: u64,
        /// Services that replace or join.
        services: Vec<ServiceSpec>,
        /// Services that leave.
        removed: Vec<Service>,
    },
    /// An endpoint was announced or changed.
    Endpoint(Box<EndpointRecord>),
    /// An endpoint's record was removed.
    EndpointRemoved(Instance),
}

impl ViewUpdate {
    /// Whether agents need it too.
    pub const fn for_agents(&self) -> bool {
        matches!(self, Self::Config { .. })
    }
}

/// All changes after one index up to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Index that the receiver must have applied.
    pub from: u64,
    /// Index that the receiver has applied afterwards.
    pub to: u64,
    /// The changes in order.
    pub updates: Vec<ViewUpdate>,
}

/// The latest changes, for making deltas.
#[derive(Clone, Debug, Default)]
pub struct DeltaLog {
    first: u64,
    updates: VecDeque<(u64, ViewUpdate)>,
}

impl DeltaLog {
    /// An empty log after `index`.
    pub const fn after(index: u64) -> Self {
        Self { first: index, updates: VecDeque::new() }
    }

    /// Adds the change that the entry `index` made.
    pub fn push(&mut self, index: u64, update: ViewUpdate) {
        self.updates.push_back((index, update));
        if self.updates.len() > UPDATES_MAX
            && let Some((dropped, _)) = self.updates.pop_front()
        {
            self.first = dropped;
        }
    }

    /// Index of the last change.
    pub fn last_index(&self) -> u64 {
        self.updates.back().map_or(self.first, |(index, _)| *index)
    }

    /// The changes after `from` up to `to`, or `None` if some of them are no longer kept.
    pub fn delta(&self, from: u64, to: u64, agent: bool) -> Option<Delta> {
        if from < self.first {
            return None;
        }
        let within = |index: u64| index > from && index <= to;
        let wanted = |(index, update): &&(u64, ViewUpdate)| {
            within(*index) && (!agent || update.for_agents())
        };
        let updates = self.updates.iter().filter(wanted).map(|(_, c)| c.clone()).collect();
        Some(Delta { from, to, updates })
    }
}
