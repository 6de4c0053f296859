//! What can be started: a task by itself, or the tasks of a gang together.

use {
    crate::{
        id::{RunId, StepId},
        ledger::{Job, Ledger, StepState, Task, step_id},
        plan::ClusterView,
        spec::Step,
    },
    bronzespool_core::Time,
    std::{sync::Arc, time::Duration},
};

/// Pause before a task that has failed is started again.
const FAILED_PAUSE: Duration = Duration::from_millis(200);

/// A task that waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Position among the step's tasks.
    pub index: u32,
    /// Number of its last run.
    pub run: u32,
    /// Checkpoint to go on from, empty for none.
    pub saved: Arc<str>,
    /// Workers on which it has failed.
    pub failed: Vec<Arc<str>>,
}

/// Tasks that are started together.
#[derive(Clone, Debug)]
pub struct TaskGroup<'a> {
    /// The job.
    pub job: &'a Job,
    /// The step.
    pub step: StepId,
    /// The step as submitted.
    pub shape: &'a Step,
    /// The tasks.
    pub tasks: Vec<Waiting>,
    /// Service whose workers run the job now.
    pub service: &'a Arc<str>,
    /// Whether its queue needs the word of a service on which workers may run it.
    pub advised: bool,
    /// Log time since which it could have started, as far as known.
    pub since: Time,
}

impl TaskGroup<'_> {
    /// Number of the next run of a task; members of a gang share it.
    pub fn run(&self, task: &Waiting) -> u32 {
        if self.shape.gang {
            return self.tasks.iter().map(|t| t.run).max().unwrap_or(0) + 1;
        }
        task.run + 1
    }
}

/// All that can be started now.
pub(super) fn units<'a>(ledger: &'a Ledger, scene: &ClusterView) -> Vec<TaskGroup<'a>> {
    let active = ledger.jobs().filter(|j| j.phase.is_active());
    let mut found = Vec::new();
    for job in active {
        let queue = ledger.config().and_then(|c| c.queue(&job.spec.queue));
        let advised = queue.is_some_and(|q| q.advice.is_some());
        let due = (0..job.spec.occurrences()).take_while(|k| job.spec.due(*k) <= scene.wall);
        for occurrence in due {
            for (i, shape) in job.spec.steps.iter().enumerate() {
                let step = step_id(job.spec.id, occurrence, i);
                if job.is_ready(occurrence, step.step) {
                    collect((job, ledger.service(job), advised), step, shape, scene, &mut found);
                }
            }
        }
    }
    found
}

fn collect<'a>(
    (job, service, advised): (&'a Job, &'a Arc<str>, bool),
    step: StepId,
    shape: &'a Step,
    scene: &ClusterView,
    found: &mut Vec<TaskGroup<'a>>,
) {
    let state = job.step(step.occurrence, step.step);
    let make = |tasks, since| TaskGroup { job, step, shape, tasks, service, advised, since };
    let Some(state) = state else {
        let fresh = (0..shape.count).map(|index| Waiting {
            index,
            run: 0,
            saved: "".into(),
            failed: Vec::new(),
        });
        split(shape, fresh.collect(), job.submitted, make, found);
        return;
    };
    if shape.gang {
        if state.is_done() || state.has_active_run() {
            return;
        }
        let saved = latest(state);
        let ended = state.tasks.iter().map(|t| t.ended_at).max().unwrap_or(job.submitted);
        if scene.now.since(ended) < FAILED_PAUSE && state.failures > 0 {
            return;
        }
        let wait = |(i, t): (usize, &Task)| waiting(i, t, saved.clone());
        found.push(make(state.tasks.iter().enumerate().map(wait).collect(), ended));
        return;
    }
    let idle = |t: &Task| !t.done && t.active_runs.is_empty();
    let paused = |t: &Task| t.failures > 0 && scene.now.since(t.ended_at) < FAILED_PAUSE;
    for (i, task) in state.tasks.iter().enumerate().filter(|(_, t)| idle(t) && !paused(t)) {
        found.push(make(vec![waiting(i, task, task.checkpoint.clone())], task.ended_at));
    }
}

fn split<'a>(
    shape: &Step,
    tasks: Vec<Waiting>,
    since: Time,
    make: impl Fn(Vec<Waiting>, Time) -> TaskGroup<'a>,
    found: &mut Vec<TaskGroup<'a>>,
) {
    if shape.gang {
        found.push(make(tasks, since));
        return;
    }
    found.extend(tasks.into_iter().map(|t| make(vec![t], since)));
}

fn waiting(index: usize, task: &Task, saved: Arc<str>) -> Waiting {
    Waiting { index: index as u32, run: task.last_run, saved, failed: task.failed_on.clone() }
}

/// The gang's checkpoint that was recorded last; any member's holds for all.
fn latest(state: &StepState) -> Arc<str> {
    let saved = state.tasks.iter().filter(|t| !t.checkpoint.is_empty());
    saved.max_by_key(|t| t.ended_at).map_or_else(|| Arc::from(""), |t| t.checkpoint.clone())
}

/// Runs of gangs that have lost a member: the rest has to end before the gang can start again.
pub(super) fn broken(ledger: &Ledger) -> Vec<RunId> {
    let mut runs = Vec::new();
    for job in ledger.jobs().filter(|j| j.phase.is_active()) {
        for (&occurrence, steps) in &job.occurrences {
            for (i, state) in steps.iter().enumerate() {
                let gang = job.spec.steps.get(i).is_some_and(|s| s.gang);
                if gang && is_broken(state) {
                    let step = step_id(job.spec.id, occurrence, i);
                    runs.extend(held(step, state));
                }
            }
        }
    }
    runs
}

fn is_broken(state: &StepState) -> bool {
    let whole = state.tasks.iter().all(|t| !t.active_runs.is_empty());
    let told = state.tasks.iter().flat_map(|t| &t.active_runs).all(|l| l.stopping);
    !state.is_done() && state.has_active_run() && !whole && !told
}

fn held(step: StepId, state: &StepState) -> impl Iterator<Item = RunId> {
    state.tasks.iter().enumerate().flat_map(move |(i, task)| {
        let id = step.task(i as u32);
        task.active_runs.iter().filter(|l| !l.stopping).map(move |l| RunId { task: id, run: l.run })
    })
}
