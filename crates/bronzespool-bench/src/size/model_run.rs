//! Result of one run of the model.

use {
    crate::size::{
        counts::{COUNT_NAMES, Counts},
        decision_figures::DecisionFigures,
    },
    std::time::Duration,
};

/// Result of one run of the model.
#[derive(Clone, Debug, Default)]
pub struct ModelRun {
    /// Counts while jobs arrived, or during the whole of an idle run.
    pub counts: Counts,
    /// Runs that workers started in that time.
    pub runs: usize,
    /// Length of that time.
    pub length: Duration,
    /// What the placement rules made of the stream.
    pub decisions: DecisionFigures,
    /// Wall time that all plans took; it differs between equal runs.
    pub plan_time: Duration,
    /// Number of all plans.
    pub plan_count: u64,
}

impl ModelRun {
    /// Returns the counts for each started run, in the order of the count names.
    pub fn per_run(&self) -> [f64; COUNT_NAMES.len()] {
        self.counts.values().map(|v| v as f64 / self.runs.max(1) as f64)
    }

    /// Returns the counts for each second of each of `agents` agents.
    pub fn per_agent_second(&self, agents: usize) -> [f64; COUNT_NAMES.len()] {
        let seconds = agents as f64 * self.length.as_secs_f64();
        self.counts.values().map(|v| v as f64 / seconds)
    }
}
