//! What the latest plan withholds from steps that wait, and for how long.

use {
    crate::id::StepId,
    bronzespool_core::{HashMap, Time},
    displaydoc::Display,
    std::sync::Arc,
};

/// Why capacity is withheld from a step.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// {0} accelerators are kept free for urgent jobs
    Urgent(u64),
    /// its data is in rack {0}, which has no room now
    Rack(Arc<str>),
    /// its tasks belong into one rack, and none has room now
    OneRack,
    /// it can no longer finish in time and comes after all other work
    Late,
}

impl Reason {
    /// Name of the cause in logs and metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Urgent(_) => "kept for urgent jobs",
            Self::Rack(_) | Self::OneRack => "rack",
            Self::Late => "late",
        }
    }
}

/// Capacity that is withheld from a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Withholding {
    /// Why.
    pub reason: Reason,
    /// Until when at most, as far as other work does not take the capacity; the earliest time of its turn
    /// if it waits for one.
    pub until: Time,
    /// Whether the step then waits for its turn behind steps that have waited longer.
    pub is_turn: bool,
}

/// What a plan withholds, by step. The leader shares it with its views of the cluster.
#[derive(Clone, Debug, Default)]
pub struct Withheld {
    by_step: Arc<HashMap<StepId, Withholding>>,
}

impl Withheld {
    /// Returns what is withheld from a step.
    pub fn of_step(&self, step: StepId) -> Option<&Withholding> {
        self.by_step.get(&step)
    }
}

impl FromIterator<(StepId, Withholding)> for Withheld {
    fn from_iter<I: IntoIterator<Item = (StepId, Withholding)>>(entries: I) -> Self {
        Self { by_step: Arc::new(entries.into_iter().collect()) }
    }
}
