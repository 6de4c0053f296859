//! Replicated drains of data centres.

use {
    bronzespool_core::Center,
    serde::{Deserialize, Serialize},
    std::collections::{BTreeMap, BTreeSet},
};

/// Whether a data centre is drained, and since which change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CenterDrain {
    /// Whether nothing new starts in the data centre.
    pub drained: bool,
    /// Index of the log entry that changed it last; zero if none did.
    pub revision: u64,
}

/// A change of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CenterChange {
    /// The data centre.
    pub center: Center,
    /// Whether it is to be drained or restored.
    pub drained: bool,
    /// Revision that the change is based on.
    pub base: u64,
}

/// Outcome of a [`CenterChange`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CenterOutcome {
    /// The change was made.
    Changed(CenterDrain),
    /// The data centre is already as requested.
    Unchanged(CenterDrain),
    /// The change was based on another revision and the data centre is not as requested: another
    /// change was made since.
    Conflict(CenterDrain),
}

/// Data centres that were ever drained.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CenterDrains(BTreeMap<Center, CenterDrain>);

impl CenterDrains {
    /// State of a data centre.
    pub fn get(&self, center: &Center) -> CenterDrain {
        self.0.get(center).copied().unwrap_or_default()
    }

    /// Data centres that were ever drained, with their states.
    pub fn iter(&self) -> impl Iterator<Item = (&Center, &CenterDrain)> {
        self.0.iter()
    }

    /// Whether the data centre is drained.
    pub fn is_drained(&self, center: &Center) -> bool {
        self.get(center).drained
    }

    /// Whether the data centre was ever drained.
    pub fn contains(&self, center: &Center) -> bool {
        self.0.contains_key(center)
    }

    /// The data centres that are drained.
    pub fn drained(&self) -> BTreeSet<Center> {
        self.0.iter().filter(|(_, state)| state.drained).map(|(name, _)| name.clone()).collect()
    }

    /// Outcome of a change if that is certain without a log entry; `None` if the change must be
    /// proposed.
    pub fn decide(&self, change: &CenterChange) -> Option<CenterOutcome> {
        let current = self.get(&change.center);
        if current.drained == change.drained {
            return Some(CenterOutcome::Unchanged(current));
        }
        (current.revision != change.base).then_some(CenterOutcome::Conflict(current))
    }

    /// Applies the change of the log entry `index`.
    pub fn apply(&mut self, index: u64, change: &CenterChange) -> CenterOutcome {
        if let Some(outcome) = self.decide(change) {
            return outcome;
        }
        let state = CenterDrain { drained: change.drained, revision: index };
        self.0.insert(change.center.clone(), state);
        CenterOutcome::Changed(state)
    }
}
