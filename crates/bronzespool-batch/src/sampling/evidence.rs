//! Which runs are evidence of the speed of their workers.

use crate::{
    id::{RunId, WorkerIncarnation},
    ledger::{Job, Ledger, Worker},
    spec::Step,
};

/// Whether a run works at the full speed of its worker where it was placed. Tasks are slow away from
/// the rack of their data, and members of a single-rack gang are slow in several racks.
pub(super) fn is_evidence<'a>(
    job: &Job,
    step: &Step,
    run: RunId,
    worker: impl Fn(&WorkerIncarnation) -> Option<&'a Worker>,
) -> bool {
    if step.long_lived || step.best_effort {
        return false;
    }
    let rack = |i: &WorkerIncarnation| worker(i).map(|w| w.spec.rack());
    let Some(active) = job.active_run(run) else { return false };
    let own = rack(&active.incarnation);
    let near_data = step.rack.as_deref().is_none_or(|data| own == Some(data));
    near_data && (!is_bound_to_rack(step) || members(job, run).all(|m| rack(m) == own))
}

const fn is_bound_to_rack(step: &Step) -> bool {
    step.gang && step.single_rack
}

/// Returns the workers of all members of a gang that a run belongs to.
fn members(job: &Job, run: RunId) -> impl Iterator<Item = &WorkerIncarnation> {
    let state = job.step(run.task.step.occurrence, run.task.step.step);
    let runs = state.into_iter().flat_map(|s| &s.tasks).flat_map(|t| &t.active_runs);
    runs.filter(move |r| r.run == run.run).map(|r| &r.incarnation)
}

/// Whether a worker holds a best-effort run, which slows down the other runs on the worker.
pub(super) fn has_best_effort_run(ledger: &Ledger, worker: &Worker) -> bool {
    worker.runs.keys().any(|run| {
        let step = run.task.step;
        let spec = ledger.job(step.job).and_then(|j| j.step_spec(step.step));
        spec.is_some_and(|s| s.best_effort)
    })
}
