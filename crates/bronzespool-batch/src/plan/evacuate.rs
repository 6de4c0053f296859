//! Runs that are stopped because their worker ends before them.
//!
//! Covers workers that are taken away at short notice. A run that is lost with its worker is repeated
//! only once the worker's leases have ended, several seconds later, and so is its whole gang. A run that
//! is stopped starts elsewhere at once.

use {
    crate::{
        id::RunId,
        ledger::{Ledger, Worker},
        plan::{ClusterView, time_left::TimeLeft},
    },
    std::time::Duration,
};

/// Time before a worker's end at which runs that save their progress are stopped. It covers the stop
/// itself, which saves what they have done until then.
const STOP_TIME: Duration = Duration::from_millis(900);

/// Returns the runs to stop now. Long-lived runs go on: their steps have a disruption budget instead.
pub(super) fn runs_to_stop(ledger: &Ledger, view: &ClusterView) -> Vec<RunId> {
    let mut estimate = TimeLeft::new(ledger, view);
    let leaving = ledger.workers().filter(|w| w.spec.leaving);
    leaving.flat_map(|worker| of_worker(worker, ledger, view, &mut estimate)).collect()
}

fn of_worker(
    worker: &Worker,
    ledger: &Ledger,
    view: &ClusterView,
    estimate: &mut TimeLeft<'_>,
) -> Vec<RunId> {
    let notice = view.departures.notice(&worker.spec.incarnation, view.now);
    let Some(notice) = notice else { return Vec::new() };
    let mut is_lost = |run: RunId| {
        let step = run.task.step;
        let job = ledger.job(step.job).filter(|_| !ledger.is_unwanted(run));
        let Some(spec) = job.and_then(|j| j.step_spec(step.step)) else { return false };
        let is_due = !spec.checkpoints || notice <= STOP_TIME;
        !spec.long_lived && is_due && estimate.of_run(run, spec) > notice
    };
    worker.runs.keys().copied().filter(|run| is_lost(*run)).collect()
}
