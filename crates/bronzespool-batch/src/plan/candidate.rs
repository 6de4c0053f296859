//! Runs that can release capacity for a waiting task group.
//!
//! Which runs these are, and what they cost, depends on the group's precedence alone. They are
//! determined once per plan for all groups of the same precedence.

use {
    crate::{
        id::{RunId, StepId},
        ledger::Ledger,
        overload::budget,
        plan::{
            ClusterView, Precedence, TaskGroup,
            capacity::{ClusterCapacity, WorkerSlot, is_eligible},
            disruption,
            places::{Places, TaskCounts, TaskKind},
            time_left::{NEARLY_DONE, TimeLeft},
        },
        spec::{Resources, Step},
    },
    bronzespool_core::HashMap,
    std::{cell::OnceCell, rc::Rc},
};

/// Least cost of stopping a run, in milliseconds of its work: stopping and restarting take time
/// even if progress is saved.
const RESTART_COST_MILLIS: u64 = 300;

/// How capacity is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReleaseMode {
    /// Runs are stopped, those that lose the least work first.
    Preempt,
    /// Runs are left to finish, those with the least time left first.
    Wait,
}

/// A run that can release capacity.
#[derive(Clone, Debug)]
pub(super) struct Candidate {
    pub(super) run: RunId,
    pub(super) allocation: Resources,
    /// Work lost if the run is stopped, including that of its gang, and reduced for a lower
    /// priority; remaining milliseconds if the run is waited for.
    pub(super) loss: u64,
    /// Step of the run if its tasks are a gang.
    pub(super) gang: Option<StepId>,
    /// Whether the run ends so soon that it does not have to be stopped.
    pub(super) nearly_done: bool,
    /// Number of tasks of its step that may still be stopped; none if the step has no budget or the
    /// run is not ready.
    pub(super) budget_left: Option<u32>,
}

/// Groups for which the same runs can release capacity at the same cost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum ReleaseClass {
    /// Runs are left to finish.
    Wait,
    /// Runs are stopped for a job inside its team's guarantee.
    Guaranteed,
    /// Runs are stopped for another job of this priority.
    Priority(u32),
}

impl ReleaseClass {
    fn of(group: &TaskGroup<'_>, precedence: &Precedence, mode: ReleaseMode) -> Self {
        match mode {
            ReleaseMode::Wait => Self::Wait,
            ReleaseMode::Preempt if precedence.is_guaranteed(group) => Self::Guaranteed,
            ReleaseMode::Preempt => Self::Priority(precedence.priority(group.job)),
        }
    }
}

/// The runs that can release capacity for the groups of one class.
struct ClassCandidates {
    /// The runs by worker, those that cost the least first.
    by_slot: Vec<Vec<Candidate>>,
    by_kind: HashMap<TaskKind, KindReleases>,
}

/// What can be released for tasks of one kind.
pub(super) struct KindReleases {
    /// Tasks that fit at most into what is free or can be released.
    pub(super) counts: TaskCounts,
    /// What placing a first task on each worker takes.
    pub(super) options: FirstOptions,
}

impl KindReleases {
    fn new(capacity: &ClusterCapacity<'_>, count: impl Fn(usize) -> u64) -> Self {
        let counts = TaskCounts::new(capacity, count);
        Self { counts, options: FirstOptions::new(capacity) }
    }
}

/// What placing a first task on each worker takes, as far as a search has asked for it.
pub(super) struct FirstOptions {
    by_slot: Vec<OnceCell<Option<Rc<ReleaseOption>>>>,
    /// Number of changes of capacity that are considered.
    changes: usize,
}

/// The runs that have to release capacity on a worker for one task.
pub(super) struct ReleaseOption {
    /// Positions among the worker's candidates.
    pub(super) victims: Vec<usize>,
    pub(super) loss: u64,
}

impl FirstOptions {
    fn new(capacity: &ClusterCapacity<'_>) -> Self {
        let by_slot = capacity.slots.iter().map(|_| OnceCell::new()).collect();
        Self { by_slot, changes: capacity.changed.len() }
    }

    /// Forgets the options of workers that have changed since the last call.
    fn update(&mut self, capacity: &ClusterCapacity<'_>) {
        for slot in &capacity.changed[self.changes..] {
            self.by_slot[*slot].take();
        }
        self.changes = capacity.changed.len();
    }

    /// Returns the option of a worker, which `find` determines if it is not known.
    pub(super) fn get(
        &self,
        slot: usize,
        find: impl FnOnce() -> Option<ReleaseOption>,
    ) -> Option<Rc<ReleaseOption>> {
        self.by_slot[slot].get_or_init(|| find().map(Rc::new)).clone()
    }
}

/// The runs that can release capacity, by class.
pub(super) struct Candidates<'a> {
    view: &'a ClusterView,
    estimate: TimeLeft<'a>,
    by_class: HashMap<ReleaseClass, ClassCandidates>,
}

impl<'a> Candidates<'a> {
    pub(super) fn new(ledger: &'a Ledger, view: &'a ClusterView) -> Self {
        Self { view, estimate: TimeLeft::new(ledger, view), by_class: HashMap::default() }
    }

    /// Returns the runs that can release capacity for a group, by worker, and what they release for
    /// tasks of its kind.
    pub(super) fn of_group(
        &mut self,
        group: &TaskGroup<'_>,
        capacity: &ClusterCapacity<'_>,
        places: &Places,
        precedence: &Precedence,
        mode: ReleaseMode,
    ) -> (&[Vec<Candidate>], &KindReleases) {
        let class = ReleaseClass::of(group, precedence, mode);
        let Self { view, estimate, by_class } = self;
        let class = by_class.entry(class).or_insert_with(|| {
            capacity.steps.add_workers(capacity.slots.len());
            let on_slot = |slot: &WorkerSlot<'_>| {
                let mut candidates = match mode {
                    ReleaseMode::Preempt => {
                        preemption_candidates(group, slot, capacity, precedence, view, estimate)
                    }
                    ReleaseMode::Wait => finishing_candidates(slot, capacity, estimate),
                };
                candidates.sort_by_key(|c| (c.loss, c.run));
                candidates
            };
            let by_slot = capacity.slots.iter().map(on_slot).collect();
            ClassCandidates { by_slot, by_kind: HashMap::default() }
        });
        let ClassCandidates { by_slot, by_kind } = class;
        let kind = by_kind.entry(TaskKind::of(group));
        let count = released_tasks(group, capacity, places, by_slot);
        let kind = kind.or_insert_with(|| KindReleases::new(capacity, &count));
        kind.counts.update(capacity, &count);
        kind.options.update(capacity);
        (by_slot, kind)
    }

    /// Forgets runs that this plan stops. The others of their steps are determined anew if there is
    /// a disruption budget, of which the stopped ones have taken a part.
    pub(super) fn remove_stopped(&mut self, runs: &[RunId], capacity: &ClusterCapacity<'_>) {
        let budgeted = |run: &RunId| {
            let step = run.task.step;
            let spec = capacity.ledger.job(step.job).and_then(|j| j.step_spec(step.step));
            spec.is_some_and(|s| s.disruption_budget.is_some())
        };
        if runs.iter().any(budgeted) {
            self.by_class.clear();
            return;
        }
        for on_slot in self.by_class.values_mut().flat_map(|c| &mut c.by_slot) {
            on_slot.retain(|c| !capacity.stopping.contains(&c.run));
        }
    }
}

/// Returns the number of a group's tasks that fit at most into what is free or can be released on a
/// worker. It only falls during a plan: stopped runs are still counted until they have ended.
fn released_tasks(
    group: &TaskGroup<'_>,
    capacity: &ClusterCapacity<'_>,
    places: &Places,
    by_slot: &[Vec<Candidate>],
) -> impl Fn(usize) -> u64 {
    let need = group.spec.allocation();
    move |i| {
        let slot = &capacity.slots[i];
        if !places.matching[i] || !is_eligible(slot) {
            return 0;
        }
        capacity.steps.add_runs(by_slot[i].len());
        let available = slot.free.plus(&slot.releasing);
        let all = by_slot[i].iter().fold(available, |sum, c| sum.plus(&c.allocation));
        all.minus(&slot.excess).count(&need)
    }
}

/// Returns the runs on a worker that may be stopped, and those that end so soon that they need not
/// be.
fn preemption_candidates(
    group: &TaskGroup<'_>,
    slot: &WorkerSlot<'_>,
    capacity: &ClusterCapacity<'_>,
    precedence: &Precedence,
    view: &ClusterView,
    estimate: &mut TimeLeft<'_>,
) -> Vec<Candidate> {
    capacity.steps.add_runs(slot.worker.runs.len());
    let is_limited =
        view.overload.is_overloaded(&slot.worker.spec.service) && !precedence.is_guaranteed(group);
    let runs = slot.worker.runs.iter().filter(|(run, _)| !capacity.stopping.contains(run));
    let candidates = runs.filter_map(|(run, allocation)| {
        let job = capacity.ledger.job(run.task.step.job)?;
        let spec = job.step_spec(run.task.step.step)?;
        if !spec.long_lived && estimate.of_run(*run, spec) < NEARLY_DONE {
            return Some(Candidate {
                run: *run,
                allocation: *allocation,
                loss: 0,
                gang: None,
                nearly_done: true,
                budget_left: None,
            });
        }
        if !precedence.may_stop(group, job) || is_limited && budget::was_interrupted(job, *run) {
            return None;
        }
        let lost = match is_limited {
            true => budget::stop_millis(capacity.ledger, view, *run, spec),
            false => lost_millis(capacity, *run, view, spec),
        };
        let run_loss = lost.saturating_mul(allocation.weight());
        let count = if spec.gang { u64::from(spec.count) } else { 1 };
        let gang = spec.gang.then_some(run.task.step);
        // Of two runs with the same cost, the one with the lower priority is preempted.
        let loss =
            run_loss.saturating_mul(count) / (1 + u64::from(precedence.priority(job).min(8)));
        let budget_left = disruption::remaining_budget(capacity, view, job, *run);
        Some(Candidate {
            run: *run,
            allocation: *allocation,
            loss,
            gang,
            nearly_done: false,
            budget_left,
        })
    });
    candidates.collect()
}

/// Returns the runs on a worker that end by themselves, with the time that they have left.
fn finishing_candidates(
    slot: &WorkerSlot<'_>,
    capacity: &ClusterCapacity<'_>,
    estimate: &mut TimeLeft<'_>,
) -> Vec<Candidate> {
    capacity.steps.add_runs(slot.worker.runs.len());
    let runs = slot.worker.runs.iter().filter(|(run, _)| !capacity.stopping.contains(run));
    let candidates = runs.filter_map(|(run, allocation)| {
        let spec = capacity.ledger.job(run.task.step.job)?.step_spec(run.task.step.step)?;
        let loss = estimate.of_run(*run, spec).as_millis() as u64;
        let candidate = Candidate {
            run: *run,
            allocation: *allocation,
            loss,
            gang: None,
            nearly_done: true,
            budget_left: None,
        };
        (!spec.long_lived).then_some(candidate)
    });
    candidates.collect()
}

/// Returns the milliseconds of work that are lost if a run is stopped. A task that lasts has nothing
/// to do again.
fn lost_millis(capacity: &ClusterCapacity<'_>, run: RunId, view: &ClusterView, spec: &Step) -> u64 {
    if spec.checkpoints || spec.long_lived {
        return RESTART_COST_MILLIS;
    }
    let since = capacity.ledger.active_run(run).map(|r| r.assigned_at);
    since.map_or(0, |s| view.now.since(s).as_millis() as u64) + RESTART_COST_MILLIS
}
