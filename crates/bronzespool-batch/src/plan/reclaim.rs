//! Selection of the runs that release capacity for a waiting task group.
//!
//! Covers a burst of first-priority jobs while other jobs use the guaranteed accelerators. Each
//! task is placed where releasing capacity costs the least work: a run that has saved a checkpoint
//! costs little, and a member of a gang costs the whole gang.

use {
    crate::{
        id::{RunId, StepId, WorkerIncarnation},
        plan::{
            ClusterView, Precedence, TaskGroup,
            capacity::{ClusterCapacity, WorkerSlot, is_eligible},
            disruption,
            place::{Placement, PlacementScope, fits_empty, tightness},
            time_left::{NEARLY_DONE, TimeLeft},
        },
        spec::Resources,
    },
    bronzespool_core::{HashMap, HashSet},
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
struct Candidate {
    run: RunId,
    allocation: Resources,
    /// Work lost if the run is stopped, including that of its gang, and reduced for a lower
    /// priority; remaining milliseconds if the run is waited for.
    loss: u64,
    /// Step of the run if its tasks are a gang.
    gang: Option<StepId>,
    /// Whether the run ends so soon that it does not have to be stopped.
    nearly_done: bool,
    /// Number of tasks of its step that may still be stopped; none if the step has no budget or the
    /// run is not ready.
    budget_left: Option<u32>,
}

/// State of a search for a placement of one task group.
struct PlacementSearch<'a, 'b> {
    group: &'a TaskGroup<'a>,
    capacity: &'a ClusterCapacity<'b>,
    /// Runs that can release capacity, by worker.
    candidates: &'a [Vec<Candidate>],
    /// Candidates that the search has used.
    used: HashSet<RunId>,
    available: Vec<Resources>,
    counts: Vec<u32>,
    victims: Vec<RunId>,
    stopped_gangs: HashSet<StepId>,
    /// Number of ready tasks that are stopped, by step.
    stopped_ready: HashMap<StepId, u32>,
    loss: u64,
}

/// A worker for one task and the runs that have to release capacity on it.
struct WorkerOption {
    slot: usize,
    victims: Vec<usize>,
    loss: u64,
}

/// A placement, the runs to stop for it, and the cost of stopping them: lost work in thousandths of
/// a core times milliseconds, weighted by priority.
pub(super) type ReleasePlan = (Placement, Vec<RunId>, u64);

/// Returns the placement that costs the least, and the runs that have to be stopped for it.
pub(super) fn place_by_release(
    group: &TaskGroup<'_>,
    capacity: &ClusterCapacity<'_>,
    precedence: &Precedence,
    view: &ClusterView,
    (scope, mode): (PlacementScope, ReleaseMode),
) -> Option<ReleasePlan> {
    let candidates = candidates(group, capacity, precedence, view, mode);
    let all: Vec<usize> = (0..capacity.slots.len()).collect();
    let search = || PlacementSearch::new(group, capacity, &candidates);
    match scope {
        PlacementScope::Local => {}
        PlacementScope::AnyRack => return search().place_on(&all, is_eligible),
        PlacementScope::AnyWorker => return search().place_on(&all, |_| true),
    }
    if group.spec.single_rack && group.tasks.len() > 1 {
        let racks = &capacity.racks;
        let found = racks.values().filter_map(|members| search().place_on(members, is_eligible));
        if let Some(best) = found.min_by_key(|(_, _, loss)| *loss) {
            return Some(best);
        }
        if racks.keys().any(|rack| fits_empty(group, capacity, rack)) {
            return None;
        }
    }
    match group.spec.rack.as_deref() {
        Some(rack) if fits_empty(group, capacity, rack) => {
            search().place_on(capacity.rack(rack), is_eligible)
        }
        _ => search().place_on(&all, is_eligible),
    }
}

impl<'a, 'b> PlacementSearch<'a, 'b> {
    fn new(
        group: &'a TaskGroup<'a>,
        capacity: &'a ClusterCapacity<'b>,
        candidates: &'a [Vec<Candidate>],
    ) -> Self {
        let steps = |s: &WorkerSlot<'_>| s.steps.get(&group.step).copied().unwrap_or(0);
        Self {
            group,
            capacity,
            candidates,
            used: HashSet::default(),
            available: capacity.slots.iter().map(|s| s.free.plus(&s.releasing)).collect(),
            counts: capacity.slots.iter().map(steps).collect(),
            victims: Vec::new(),
            stopped_gangs: HashSet::default(),
            stopped_ready: HashMap::default(),
            loss: 0,
        }
    }

    /// Places all tasks on allowed workers; none if that is not possible.
    fn place_on(
        mut self,
        among: &[usize],
        allowed: impl Fn(&WorkerSlot<'_>) -> bool,
    ) -> Option<ReleasePlan> {
        let mut placement: Vec<WorkerIncarnation> = Vec::with_capacity(self.group.tasks.len());
        for task in &self.group.tasks {
            self.capacity.steps.add_workers(among.len());
            let options = among.iter().filter(|i| allowed(&self.capacity.slots[**i]));
            let options = options.filter_map(|i| self.worker_option(*i));
            let need = self.group.spec.allocation();
            let best = options.min_by_key(|o| {
                let slot = &self.capacity.slots[o.slot];
                let failed_before = task.failed_on.contains(&slot.incarnation().worker);
                (failed_before, slot.health, o.loss, tightness(&self.available[o.slot], &need))
            })?;
            placement.push(self.capacity.slots[best.slot].incarnation().clone());
            self.accept(best);
        }
        Some((placement, self.victims, self.loss))
    }

    /// Returns what placing one more task on a worker takes; none if that is not possible.
    fn worker_option(&self, slot: usize) -> Option<WorkerOption> {
        let spec = self.group.spec;
        let full = spec.worker_max > 0 && self.counts[slot] >= spec.worker_max;
        if full || !self.capacity.can_run(self.group, &self.capacity.slots[slot]) {
            return None;
        }
        self.capacity.steps.add_runs(self.candidates[slot].len());
        let need = spec.allocation();
        let mut available = self.available[slot];
        let mut option = WorkerOption { slot, victims: Vec::new(), loss: 0 };
        let unused = |i: &usize| !self.used.contains(&self.candidates[slot][*i].run);
        let mut order: Vec<usize> = (0..self.candidates[slot].len()).filter(unused).collect();
        order.sort_by_key(|i| self.marginal_cost(&self.candidates[slot][*i]));
        for i in order {
            if available.fits(&need) {
                break;
            }
            let candidate = &self.candidates[slot][i];
            if self.is_over_budget(slot, &option, candidate) {
                continue;
            }
            available = available.plus(&candidate.allocation);
            option.loss += self.marginal_cost(candidate);
            option.victims.push(i);
        }
        available.fits(&need).then_some(option)
    }

    /// Whether stopping a run in addition to those of an option exceeds the disruption budget of
    /// its step.
    fn is_over_budget(&self, slot: usize, option: &WorkerOption, candidate: &Candidate) -> bool {
        let Some(budget_left) = candidate.budget_left else { return false };
        let step = candidate.run.task.step;
        let beside = option.victims.iter().map(|i| &self.candidates[slot][*i]);
        let beside = beside.filter(|c| c.budget_left.is_some() && c.run.task.step == step).count();
        self.stopped_ready.get(&step).copied().unwrap_or(0) + beside as u32 >= budget_left
    }

    /// Returns the additional cost of stopping a run: zero if its gang is stopped anyway.
    fn marginal_cost(&self, candidate: &Candidate) -> u64 {
        if candidate.gang.is_some_and(|g| self.stopped_gangs.contains(&g)) {
            0
        } else {
            candidate.loss
        }
    }

    fn accept(&mut self, option: WorkerOption) {
        let WorkerOption { slot, victims, loss } = option;
        self.loss += loss;
        for i in victims {
            let candidate = &self.candidates[slot][i];
            self.used.insert(candidate.run);
            self.available[slot] = self.available[slot].plus(&candidate.allocation);
            self.stopped_gangs.extend(candidate.gang);
            if candidate.budget_left.is_some() {
                *self.stopped_ready.entry(candidate.run.task.step).or_default() += 1;
            }
            if !candidate.nearly_done {
                self.victims.push(candidate.run);
            }
        }
        self.available[slot] = self.available[slot].minus(&self.group.spec.allocation());
        self.counts[slot] += 1;
    }
}

/// Returns the runs that can release capacity, by worker.
fn candidates(
    group: &TaskGroup<'_>,
    capacity: &ClusterCapacity<'_>,
    precedence: &Precedence,
    view: &ClusterView,
    mode: ReleaseMode,
) -> Vec<Vec<Candidate>> {
    let mut estimate = TimeLeft::new(capacity, view);
    capacity.steps.add_workers(capacity.slots.len());
    let on_slot = |slot: &WorkerSlot<'_>| match mode {
        ReleaseMode::Preempt => {
            preemption_candidates(group, slot, capacity, precedence, view, &mut estimate)
        }
        ReleaseMode::Wait => finishing_candidates(slot, capacity, &mut estimate),
    };
    capacity.slots.iter().map(on_slot).collect()
}

/// Returns the runs on a worker that may be stopped, and those that end so soon that they need not
/// be.
fn preemption_candidates(
    group: &TaskGroup<'_>,
    slot: &WorkerSlot<'_>,
    capacity: &ClusterCapacity<'_>,
    precedence: &Precedence,
    view: &ClusterView,
    estimate: &mut TimeLeft<'_, '_>,
) -> Vec<Candidate> {
    capacity.steps.add_runs(slot.worker.runs.len());
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
        if !precedence.may_stop(group, job) {
            return None;
        }
        let run_loss =
            lost_millis(capacity, *run, view, spec.checkpoints).saturating_mul(allocation.weight());
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
    estimate: &mut TimeLeft<'_, '_>,
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

/// Returns the milliseconds of work that are lost if a run is stopped.
fn lost_millis(
    capacity: &ClusterCapacity<'_>,
    run: RunId,
    view: &ClusterView,
    checkpoints: bool,
) -> u64 {
    if checkpoints {
        return RESTART_COST_MILLIS;
    }
    let since = capacity.ledger.active_run(run).map(|r| r.assigned_at);
    since.map_or(0, |s| view.now.since(s).as_millis() as u64) + RESTART_COST_MILLIS
}
