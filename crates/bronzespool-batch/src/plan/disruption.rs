//! How many tasks of a service may be away through the system's own actions.
//!
//! Load it answers: guaranteed jobs that need the room of services which run for long, while some
//! of a service's tasks are away for other causes. One budget a step counts all that are not at
//! work, whatever the cause.

use crate::{
    id::RunId,
    ledger::{Job, Task},
    plan::{ClusterView, room::Room},
};

/// Progress in percent at which a task that lasts is at work.
const AT_WORK: u32 = 100;

/// How many more tasks of a run's step may be stopped, this run's among them; none where there is
/// no bound, or where the run is not at work, so that stopping it takes nothing from the budget.
pub(super) fn spare(room: &Room<'_>, scene: &ClusterView, job: &Job, run: RunId) -> Option<u32> {
    let step = run.task.step;
    let budget = job.step_spec(step.step)?.disruption_budget?;
    if !is_at_work(room, scene, run) {
        return None;
    }
    let state = job.step(step.occurrence, step.step)?;
    let works = |(index, task): &(usize, &Task)| {
        let id = step.task(*index as u32);
        task.active_runs.iter().any(|l| is_at_work(room, scene, RunId { task: id, run: l.run }))
    };
    let tasks = state.tasks.iter().enumerate();
    let away = state.tasks.len() - tasks.filter(works).count();
    Some(budget.saturating_sub(away as u32))
}

fn is_at_work(room: &Room<'_>, scene: &ClusterView, run: RunId) -> bool {
    let works = scene.progress.get(&run).is_some_and(|p| p.percent >= AT_WORK);
    works && !room.leaving.contains(&run) && !room.ledger.is_unwanted(run)
}
