//! Disruption budget of a step: how many of its tasks the system may make unavailable at once.
//!
//! Covers guaranteed jobs that need the capacity of long-lived services while some tasks of those
//! services are unavailable for other causes. The budget counts all tasks of the step that are not
//! known to be ready, whatever the cause. There is one budget for all that stops tasks: stops that a plan
//! has decided, and those of other plans that are not applied yet, count like those in the ledger.

use crate::{
    id::RunId,
    ledger::{Job, Task},
    plan::{ClusterView, capacity::ClusterCapacity},
};

/// Progress in percent at which a long-lived task is ready.
const READY_PERCENT: u32 = 100;

/// What is known of whether a run is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Readiness {
    Ready,
    /// It has not become ready, or it is being stopped.
    NotReady,
    /// Its worker has not reported it to this leader, as after a start of the leader or of the agent.
    Unknown,
}

/// Returns how many more tasks of a run's step may be stopped, including this run. None if the step
/// has no budget, or if the run is known not to be ready, since stopping it then costs nothing of the
/// budget. A task of which that is not known counts as ready where it would be stopped, and as
/// unavailable beside others. A gang is stopped whole or not at all.
pub(super) fn remaining_budget(
    capacity: &ClusterCapacity<'_>,
    view: &ClusterView,
    job: &Job,
    run: RunId,
) -> Option<u32> {
    let step = run.task.step;
    let spec = job.step_spec(step.step)?;
    let budget = spec.disruption_budget?;
    if readiness(capacity, view, run) == Readiness::NotReady {
        return None;
    }
    let state = job.step(step.occurrence, step.step)?;
    let is_any = |(index, task): (usize, &Task), wanted: &[Readiness]| {
        let id = step.task(index as u32);
        let mut runs = task.active_runs.iter().map(|r| RunId { task: id, run: r.run });
        runs.any(|r| wanted.contains(&readiness(capacity, view, r)))
    };
    let others = || state.tasks.iter().enumerate().filter(|(i, _)| *i as u32 != run.task.index);
    let unavailable = others().filter(|t| !is_any(*t, &[Readiness::Ready])).count();
    let left = budget.saturating_sub(u32::try_from(unavailable).unwrap_or(u32::MAX));
    if !spec.gang {
        return Some(left);
    }
    let members = others().filter(|t| is_any(*t, &[Readiness::Ready, Readiness::Unknown])).count();
    Some(if left as usize > members { left } else { 0 })
}

fn readiness(capacity: &ClusterCapacity<'_>, view: &ClusterView, run: RunId) -> Readiness {
    if capacity.stopping.contains(&run) || capacity.ledger.is_unwanted(run) {
        return Readiness::NotReady;
    }
    match view.progress.get(&run) {
        Some(progress) if progress.percent >= READY_PERCENT => Readiness::Ready,
        Some(_) => Readiness::NotReady,
        None => Readiness::Unknown,
    }
}
