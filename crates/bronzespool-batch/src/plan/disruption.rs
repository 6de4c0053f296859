//! Disruption budget of a step: how many of its tasks the system may make unavailable at once.
//!
//! Covers guaranteed jobs that need the capacity of long-lived services while some tasks of those
//! services are unavailable for other causes. The budget counts all tasks of the step that are not
//! ready, whatever the cause.

use crate::{
    id::RunId,
    ledger::{Job, Task},
    plan::{ClusterView, capacity::ClusterCapacity},
};

/// Progress in percent at which a long-lived task is ready.
const READY_PERCENT: u32 = 100;

/// Returns how many more tasks of a run's step may be stopped, including this run. None if the step
/// has no budget, or if the run is not ready, since stopping it then costs nothing of the budget.
pub(super) fn remaining_budget(
    capacity: &ClusterCapacity<'_>,
    view: &ClusterView,
    job: &Job,
    run: RunId,
) -> Option<u32> {
    let step = run.task.step;
    let budget = job.step_spec(step.step)?.disruption_budget?;
    if !is_ready(capacity, view, run) {
        return None;
    }
    let state = job.step(step.occurrence, step.step)?;
    let ready = |(index, task): &(usize, &Task)| {
        let id = step.task(*index as u32);
        task.active_runs.iter().any(|r| is_ready(capacity, view, RunId { task: id, run: r.run }))
    };
    let tasks = state.tasks.iter().enumerate();
    let unavailable = state.tasks.len() - tasks.filter(ready).count();
    Some(budget.saturating_sub(unavailable as u32))
}

fn is_ready(capacity: &ClusterCapacity<'_>, view: &ClusterView, run: RunId) -> bool {
    let ready = view.progress.get(&run).is_some_and(|p| p.percent >= READY_PERCENT);
    ready && !capacity.stopping.contains(&run) && !capacity.ledger.is_unwanted(run)
}
