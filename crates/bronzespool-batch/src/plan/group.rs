//! Task groups that can be started: a single task, or all tasks of a gang.

use {
    crate::{
        id::{RunId, StepId},
        ledger::{CrashLog, Job, Ledger, StepState, Task, step_id, waiting_max},
        plan::ClusterView,
        spec::Step,
    },
    bronzespool_core::Time,
    std::{sync::Arc, time::Duration},
};

/// Delay before a failed task is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// A task that waits to be started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingTask {
    /// Position among the step's tasks.
    pub index: u32,
    /// Number of its last run; zero if it has not run.
    pub last_run: u32,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Workers on which it has failed.
    pub failed_on: Vec<Arc<str>>,
}

/// Tasks that are started together: a single task, or all tasks of a gang.
#[derive(Clone, Debug)]
pub struct TaskGroup<'a> {
    /// The job.
    pub job: &'a Job,
    /// The step.
    pub step: StepId,
    /// The step as submitted.
    pub spec: &'a Step,
    /// The tasks.
    pub tasks: Vec<PendingTask>,
    /// Service whose workers currently run the job.
    pub service: &'a Arc<str>,
    /// Whether its queue requires a permit of the advice service for each worker.
    pub needs_permit: bool,
    /// Log time since which the group could have been started, as far as known.
    pub ready_at: Time,
    /// Whether a worker has crashed under one of the tasks, so that they are started apart from all
    /// others.
    pub apart: bool,
}

impl TaskGroup<'_> {
    /// Returns the number of a task's next run. The members of a gang share it.
    pub fn run(&self, task: &PendingTask) -> u32 {
        if self.spec.gang {
            return self.tasks.iter().map(|t| t.last_run).max().unwrap_or(0) + 1;
        }
        task.last_run + 1
    }

    /// Whether a decision on this group holds for another one too: both are single tasks of one
    /// step, wait for the same time and have failed on the same workers.
    pub(super) fn is_like(&self, other: &Self) -> bool {
        let ([task], [other_task]) = (&*self.tasks, &*other.tasks) else { return false };
        self.step == other.step
            && self.ready_at == other.ready_at
            && self.apart == other.apart
            && task.failed_on == other_task.failed_on
    }
}

/// Task groups that differ only in the index of their task: single tasks of one step that have never
/// run. Any other group is alone.
#[derive(Clone, Debug)]
pub(super) struct LikeGroups<'a> {
    /// The first group.
    pub(super) first: TaskGroup<'a>,
    /// Number of groups; their tasks follow each other.
    pub(super) count: u32,
}

impl<'a> LikeGroups<'a> {
    pub(super) const fn one(group: TaskGroup<'a>) -> Self {
        Self { first: group, count: 1 }
    }

    /// Returns the groups one by one.
    pub(super) fn groups(&self) -> impl Iterator<Item = TaskGroup<'a>> {
        (0..self.count).map(|i| {
            let mut group = self.first.clone();
            group.tasks.iter_mut().for_each(|t| t.index += i);
            group
        })
    }

    /// Splits off at most `most` pieces of at most `size` groups each; the rest is the last piece.
    pub(super) fn split(self, size: u32, most: u32) -> impl Iterator<Item = Self> {
        let pieces = (self.count.max(1) - 1) / size.max(1);
        let whole = self.count;
        (0..=pieces.min(most)).map(move |i| {
            let before = i * size;
            let mut first = self.first.clone();
            first.tasks.iter_mut().for_each(|t| t.index += before);
            let rest = whole - before;
            let count = if i == pieces.min(most) { rest } else { rest.min(size) };
            Self { first, count }
        })
    }

    /// Whether a task of the same step follows these groups and differs in its index only.
    fn is_followed_by(&self, step: StepId, index: usize, task: &Task) -> bool {
        let next = |first: &PendingTask| {
            first.last_run == 0 && (first.index + self.count) as usize == index
        };
        task.last_run == 0 && self.first.step == step && self.first.tasks.first().is_some_and(next)
    }
}

/// Returns the task groups that can be started now: of a recurring job, those of a few occurrences for
/// each step.
pub(super) fn task_groups<'a>(ledger: &'a Ledger, view: &ClusterView) -> Vec<LikeGroups<'a>> {
    let active = ledger.jobs().filter(|j| j.phase.is_active());
    let mut groups = Vec::new();
    for job in active {
        let queue = ledger.config().and_then(|c| c.queue(&job.spec.queue));
        let needs_permit = queue.is_some_and(|q| q.advice.is_some());
        let most = waiting_max(&job.spec);
        let mut waiting = vec![0; job.spec.steps.len()];
        for occurrence in ledger.startable_occurrences(job, view.wall) {
            for (i, spec) in job.spec.steps.iter().enumerate() {
                let step = step_id(job.spec.id, occurrence, i);
                let before = groups.len();
                if waiting[i] < most && job.is_ready(occurrence, step.step) {
                    collect_groups(
                        (job, ledger.service(job), needs_permit),
                        step,
                        spec,
                        (view, ledger.crashes()),
                        &mut groups,
                    );
                }
                waiting[i] += usize::from(groups.len() > before);
            }
        }
    }
    groups
}

fn collect_groups<'a>(
    (job, service, needs_permit): (&'a Job, &'a Arc<str>, bool),
    step: StepId,
    spec: &'a Step,
    (view, crashes): (&ClusterView, &CrashLog),
    groups: &mut Vec<LikeGroups<'a>>,
) {
    let state = job.step(step.occurrence, step.step);
    let new_group = |tasks: Vec<PendingTask>, ready_at| {
        let is_suspect = |t: &PendingTask| crashes.of_task(step.task(t.index)).is_some();
        let apart = !crashes.is_empty() && tasks.iter().any(is_suspect);
        TaskGroup { job, step, spec, tasks, service, needs_permit, ready_at, apart }
    };
    let Some(state) = state else {
        let count = if spec.gang { 1 } else { spec.count };
        let tasks = if spec.gang { spec.count } else { spec.count.min(1) };
        let none: Arc<str> = "".into();
        let fresh = (0..tasks).map(|index| PendingTask {
            index,
            last_run: 0,
            checkpoint: none.clone(),
            failed_on: Vec::new(),
        });
        if count > 0 {
            groups.push(LikeGroups { first: new_group(fresh.collect(), job.submitted), count });
        }
        return;
    };
    if spec.gang {
        if state.is_done() || state.has_active_run() {
            return;
        }
        let checkpoint = latest_checkpoint(state);
        let ended = state.tasks.iter().map(|t| t.ended_at).max().unwrap_or(job.submitted);
        if view.now.since(ended) < RETRY_DELAY && state.failures > 0 {
            return;
        }
        let pending = |(i, t): (usize, &Task)| pending_task(i, t, checkpoint.clone());
        let tasks = state.tasks.iter().enumerate().map(pending).collect();
        groups.push(LikeGroups::one(new_group(tasks, ended)));
        return;
    }
    let idle = |t: &Task| !t.done && t.active_runs.is_empty();
    let delayed = |t: &Task| t.failures > 0 && view.now.since(t.ended_at) < RETRY_DELAY;
    for (i, task) in state.tasks.iter().enumerate().filter(|(_, t)| idle(t) && !delayed(t)) {
        if let Some(last) = groups.last_mut().filter(|g| g.is_followed_by(step, i, task)) {
            last.count += 1;
            continue;
        }
        let tasks = vec![pending_task(i, task, task.checkpoint.clone())];
        groups.push(LikeGroups::one(new_group(tasks, task.ended_at)));
    }
}

fn pending_task(index: usize, task: &Task, checkpoint: Arc<str>) -> PendingTask {
    PendingTask {
        index: index as u32,
        last_run: task.last_run,
        checkpoint,
        failed_on: task.failed_on.clone(),
    }
}

/// Returns the gang's most recently recorded checkpoint. A checkpoint of any member is valid for
/// all members.
fn latest_checkpoint(state: &StepState) -> Arc<str> {
    let checkpoint = state.tasks.iter().filter(|t| !t.checkpoint.is_empty());
    checkpoint.max_by_key(|t| t.ended_at).map_or_else(|| Arc::from(""), |t| t.checkpoint.clone())
}

/// Returns the runs of gangs that have lost a member. The remaining members have to end before the
/// gang can start again.
pub(super) fn runs_of_broken_gangs(ledger: &Ledger) -> Vec<RunId> {
    let mut runs = Vec::new();
    for job in ledger.jobs().filter(|j| j.phase.is_active()) {
        for (&occurrence, steps) in &job.occurrences {
            for (i, state) in steps.iter().enumerate() {
                let gang = job.spec.steps.get(i).is_some_and(|s| s.gang);
                if gang && is_broken(state) {
                    let step = step_id(job.spec.id, occurrence, i);
                    runs.extend(running_members(step, state));
                }
            }
        }
    }
    runs
}

fn is_broken(state: &StepState) -> bool {
    let complete = state.tasks.iter().all(|t| !t.active_runs.is_empty());
    let all_stopping = state.tasks.iter().flat_map(|t| &t.active_runs).all(|r| r.stopping);
    !state.is_done() && state.has_active_run() && !complete && !all_stopping
}

fn running_members(step: StepId, state: &StepState) -> impl Iterator<Item = RunId> {
    state.tasks.iter().enumerate().flat_map(move |(i, task)| {
        let id = step.task(i as u32);
        task.active_runs.iter().filter(|r| !r.stopping).map(move |r| RunId { task: id, run: r.run })
    })
}
