//! Guarantees of a team and the bindings of its guaranteed cells.

use {
    crate::cell::CellBinding,
    bronzespool_core::Level,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Guarantees of a team.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamState {
    /// Number of guaranteed cells of each level.
    pub shapes: BTreeMap<Level, u32>,
    /// Bindings of the guaranteed cells in use.
    pub bindings: Vec<CellBinding>,
}

impl TeamState {
    /// Number of guaranteed cells of `level` that are not bound.
    pub fn unbound(&self, level: Level) -> u32 {
        let total = self.shapes.get(&level).copied().unwrap_or(0);
        let bound = self.bindings.iter().filter(|b| b.level == level).count();
        total.saturating_sub(u32::try_from(bound).unwrap_or(u32::MAX))
    }
}
