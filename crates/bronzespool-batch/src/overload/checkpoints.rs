//! When runs have saved their latest checkpoints.
//!
//! Workers name a run's latest checkpoint but not its time. The leader takes the time at which it
//! first saw the name, which is too late by at most one check-in.

use {
    crate::{id::RunId, ledger::Ledger, plan::ClusterView},
    bronzespool_core::{HashMap, Time},
    std::sync::Arc,
};

/// Times of the checkpoints that active runs have saved.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct CheckpointTimes {
    by_run: HashMap<RunId, (Arc<str>, Time)>,
}

impl CheckpointTimes {
    /// Returns the times updated from the progress that is reported now.
    pub(super) fn updated(&self, ledger: &Ledger, view: &ClusterView) -> Self {
        let mut by_run = HashMap::default();
        for (run, progress) in &view.progress {
            let Some(active) = ledger.active_run(*run) else { continue };
            if progress.checkpoint.is_empty() || progress.checkpoint == active.checkpoint {
                continue;
            }
            let former = self.by_run.get(run).filter(|(name, _)| *name == progress.checkpoint);
            let at = former.map_or(view.now, |(_, at)| *at);
            by_run.insert(*run, (Arc::clone(&progress.checkpoint), at));
        }
        Self { by_run }
    }

    /// Returns when a run has saved its latest checkpoint; `None` if it has saved none itself.
    pub(super) fn of(&self, run: RunId) -> Option<Time> {
        self.by_run.get(&run).map(|(_, at)| *at)
    }
}
