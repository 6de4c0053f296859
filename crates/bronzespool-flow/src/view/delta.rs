//! Updates of the view, numbered by the index of the log entry that made them.

use {
    crate::view::EndpointRecord,
    bronzespool_core::{Center, Instance, Service, ServiceSpec},
    serde::{Deserialize, Serialize},
    std::collections::VecDeque,
};

/// Number of updates kept for sessions that lag. A session further behind gets the whole view.
const UPDATES_MAX: usize = 1_024;

/// One update of the view.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ViewUpdate {
    /// A new revision of the configuration.
    Config {
        /// Number of the revision.
        revision: u64,
        /// Services that are added or replaced.
        services: Vec<ServiceSpec>,
        /// Services that are removed.
        removed: Vec<Service>,
    },
    /// An endpoint was announced or changed.
    Endpoint(Box<EndpointRecord>),
    /// An endpoint's record was removed.
    EndpointRemoved(Instance),
    /// A data centre was drained or restored.
    CenterChanged {
        /// The data centre.
        center: Center,
        /// Whether it is drained from now on.
        drained: bool,
    },
}

impl ViewUpdate {
    /// Whether agents need the update as well as entries.
    pub const fn for_agents(&self) -> bool {
        matches!(self, Self::Config { .. } | Self::CenterChanged { .. })
    }
}

/// All updates after one log index up to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Index that the receiver must have applied.
    pub from: u64,
    /// Index that the receiver has applied afterwards.
    pub to: u64,
    /// The updates in log order.
    pub updates: Vec<ViewUpdate>,
}

/// The most recent updates, from which deltas are made.
#[derive(Clone, Debug, Default)]
pub struct DeltaLog {
    base: u64,
    updates: VecDeque<(u64, ViewUpdate)>,
}

impl DeltaLog {
    /// An empty log that starts after the log entry `index`.
    pub const fn after(index: u64) -> Self {
        Self { base: index, updates: VecDeque::new() }
    }

    /// Adds the update that the log entry `index` made.
    pub fn push(&mut self, index: u64, update: ViewUpdate) {
        self.updates.push_back((index, update));
        if self.updates.len() > UPDATES_MAX
            && let Some((dropped, _)) = self.updates.pop_front()
        {
            self.base = dropped;
        }
    }

    /// Index of the last update.
    pub fn last_index(&self) -> u64 {
        self.updates.back().map_or(self.base, |(index, _)| *index)
    }

    /// The updates after `from` up to `to`, or `None` if some of them are no longer kept. An agent
    /// gets only the updates that it needs.
    pub fn delta(&self, from: u64, to: u64, for_agent: bool) -> Option<Delta> {
        if from < self.base {
            return None;
        }
        let within = |index: u64| index > from && index <= to;
        let wanted = |(index, update): &&(u64, ViewUpdate)| {
            within(*index) && (!for_agent || update.for_agents())
        };
        let updates = self.updates.iter().filter(wanted).map(|(_, u)| u.clone()).collect();
        Some(Delta { from, to, updates })
    }
}
