//! Selection of the runs that release capacity for a waiting task group.
//!
//! Covers a burst of first-priority jobs while other jobs use the guaranteed accelerators. Each
//! task is placed where releasing capacity costs the least work: a run that has saved a checkpoint
//! costs little, and a member of a gang costs the whole gang.

use {
    crate::{
        id::{RunId, StepId, WorkerIncarnation},
        plan::{
            TaskGroup,
            candidate::Candidate,
            capacity::{ClusterCapacity, WorkerSlot, is_eligible},
            place::{Placement, PlacementScope, fits_empty, tightness},
            places::Places,
        },
        spec::Resources,
    },
    bronzespool_core::{HashMap, HashSet},
};

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
    candidates: &[Vec<Candidate>],
    places: &Places,
    scope: PlacementScope,
) -> Option<ReleasePlan> {
    let all: Vec<usize> = (0..capacity.slots.len()).collect();
    let search = || PlacementSearch::new(group, capacity, candidates);
    match scope {
        PlacementScope::Local => {}
        PlacementScope::AnyRack => return search().place_on(&all, is_eligible),
        PlacementScope::AnyWorker => return search().place_on(&all, |_| true),
    }
    if group.spec.single_rack && group.tasks.len() > 1 {
        let racks = &capacity.racks;
        let found = racks.iter().filter_map(|members| search().place_on(members, is_eligible));
        if let Some(best) = found.min_by_key(|(_, _, loss)| *loss) {
            return Some(best);
        }
        if (0..racks.len()).any(|rack| fits_empty(group, capacity, places, rack)) {
            return None;
        }
    }
    match group.spec.rack.as_deref().and_then(|rack| capacity.rack(rack)) {
        Some(rack) if fits_empty(group, capacity, places, rack) => {
            search().place_on(&capacity.racks[rack], is_eligible)
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
