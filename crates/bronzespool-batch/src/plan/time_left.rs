//! Estimates of the time that runs have left.
//!
//! Covers gangs whose members have unequal work: a member that has finished its own part holds its
//! capacity until the slowest member has finished too.

use {
    crate::{
        id::{RunId, StepId},
        ledger::Ledger,
        overload::times::observed_work,
        plan::ClusterView,
        spec::Step,
    },
    bronzespool_core::HashMap,
    std::time::Duration,
};

/// A run with less time left than this is not stopped, because a stop takes about as long.
pub(super) const NEARLY_DONE: Duration = Duration::from_millis(700);

/// Estimates the time that runs have left.
pub(super) struct TimeLeft<'a> {
    ledger: &'a Ledger,
    view: &'a ClusterView,
    /// Time that the gangs that were asked about have left.
    gangs: HashMap<StepId, Duration>,
}

impl<'a> TimeLeft<'a> {
    pub(super) fn new(ledger: &'a Ledger, view: &'a ClusterView) -> Self {
        Self { ledger, view, gangs: HashMap::default() }
    }

    /// Returns the time that a run has left. The members of a gang end together, when the slowest
    /// one is done.
    pub(super) fn of_run(&mut self, run: RunId, spec: &Step) -> Duration {
        let step = run.task.step;
        if !spec.gang {
            return self.of_task(run, spec);
        }
        if let Some(known) = self.gangs.get(&step) {
            return *known;
        }
        let state = self.ledger.job(step.job).and_then(|j| j.step(step.occurrence, step.step));
        let tasks = state.into_iter().flat_map(|s| s.tasks.iter().enumerate());
        let runs = tasks.flat_map(|(i, task)| {
            let id = step.task(i as u32);
            task.active_runs.iter().map(move |r| RunId { task: id, run: r.run })
        });
        let left = runs.map(|r| self.of_task(r, spec)).max().unwrap_or_default();
        self.gangs.insert(step, left);
        left
    }

    /// Returns the time that the work of a single run takes, estimated from its progress if that is
    /// known, else from the durations of other runs, else from its declared duration.
    fn of_task(&self, run: RunId, spec: &Step) -> Duration {
        const FULL_PERCENT: u32 = 100;
        let Some(active) = self.ledger.active_run(run) else { return Duration::ZERO };
        let age = self.view.now.since(active.assigned_at);
        let done = self.view.progress.get(&run).map_or(0, |p| p.percent.min(FULL_PERCENT));
        if done > 0 && active.checkpoint.is_empty() {
            return age * (FULL_PERCENT - done) / done;
        }
        let whole = self.whole(run, spec);
        if done > 0 {
            whole * (FULL_PERCENT - done) / FULL_PERCENT
        } else {
            whole.saturating_sub(age).max(NEARLY_DONE)
        }
    }

    /// Returns the expected duration of a whole run.
    fn whole(&self, run: RunId, spec: &Step) -> Duration {
        let Some(job) = self.ledger.job(run.task.step.job) else {
            return Duration::from_millis(spec.estimate);
        };
        observed_work(&job.spec, spec, run.task.step, &self.view.estimates).expected
    }
}
