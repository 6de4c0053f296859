//! How many tasks of a service may be away through the system's own actions.
//!
//! Load it answers: guaranteed jobs that need the room of services which run for long, while some
//! of a service's tasks are away for other causes. One budget a step counts all that are not at
//! work, whatever the cause.

use crate::{
    id::RunId,
    ledger::{Job, step_id},
    plan::{Scene, room::Room},
};

/// Progress in percent at which a task that lasts is at work.
const AT_WORK: u32 = 100;

/// Whether a run may be stopped without more tasks of its step being away than is allowed. Of
/// several runs of a step only one may be stopped at a time.
pub(super) fn may_stop(room: &Room<'_>, scene: &Scene, job: &Job, run: RunId) -> bool {
    let step = run.task.step;
    let Some(budget) = job.shape(step.step).and_then(|s| s.disruption) else { return true };
    let Some(state) = job.step(step.occurrence, step.step) else { return true };
    let id = step_id(step.job, step.occurrence, usize::from(step.step));
    let mut away = 0;
    let mut first = None;
    for (index, task) in state.tasks.iter().enumerate() {
        let task_id = id.task(index as u32);
        let runs = task.lives.iter().map(|l| RunId { task: task_id, run: l.run });
        match runs.into_iter().find(|r| is_at_work(room, scene, *r)) {
            Some(run) => first = first.or(Some(run)),
            None => away += 1,
        }
    }
    // What is not at work is away already: stopping it takes nothing from the budget.
    !is_at_work(room, scene, run) || away < budget && first == Some(run)
}

fn is_at_work(room: &Room<'_>, scene: &Scene, run: RunId) -> bool {
    let works = scene.progress.get(&run).is_some_and(|p| p.percent >= AT_WORK);
    works && !room.leaving.contains(&run) && !room.ledger.is_unwanted(run)
}
