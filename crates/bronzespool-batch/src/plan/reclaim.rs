//! Selection of the runs that release capacity for a waiting task group.
//!
//! Covers a burst of first-priority jobs while other jobs use the guaranteed accelerators. Each
//! task is placed where releasing capacity costs the least work: a run that has saved a checkpoint
//! costs little, and a member of a gang costs the whole gang.

use {
    crate::{
        id::{RunId, StepId},
        plan::{
            TaskGroup,
            candidate::{Candidate, KindReleases, ReleaseOption},
            capacity::{ClusterCapacity, WorkerSlot, is_eligible},
            place::{Placement, PlacementScope, fits_empty, tightness},
            places::Places,
            speed::SpeedNeed,
        },
        spec::Resources,
    },
    bronzespool_core::{HashMap, HashSet},
    std::rc::Rc,
};

/// A placement, the runs to stop for it, and the cost of stopping them: lost work in thousandths of
/// a core times milliseconds, weighted by priority.
pub(super) type ReleasePlan = (Placement, Vec<RunId>, u64);

/// What a search for a placement by release reads.
pub(super) struct ReleaseSearch<'a, 'b> {
    pub(super) group: &'a TaskGroup<'a>,
    pub(super) need: SpeedNeed,
    pub(super) capacity: &'a ClusterCapacity<'b>,
    /// Runs that can release capacity, by worker.
    pub(super) candidates: &'a [Vec<Candidate>],
    /// What can be released for tasks of the group's kind.
    pub(super) releases: &'a KindReleases,
    pub(super) places: &'a Places,
    /// Cost beyond which a placement is of no use.
    pub(super) loss_max: u64,
}

impl ReleaseSearch<'_, '_> {
    /// Returns the placement that costs the least, and the runs that have to be stopped for it.
    pub(super) fn place(&self, scope: PlacementScope) -> Option<ReleasePlan> {
        let Self { group, capacity, places, .. } = self;
        match scope {
            PlacementScope::Local => {}
            PlacementScope::AnyRack | PlacementScope::ClosedWorker => return self.place_anywhere(),
            PlacementScope::AnyWorker => {
                return self.place_on(0..capacity.slots.len(), |_| true, self.loss_max);
            }
        }
        if group.spec.single_rack && group.tasks.len() > 1 {
            if let Some(best) = self.place_in_cheapest_rack(self.loss_max) {
                return Some(best);
            }
            let mut racks = 0..capacity.racks.len();
            let waits = racks.any(|rack| fits_empty(group, capacity, places, rack));
            // A rack that costs too much rules out all that is not in one rack.
            if waits || self.place_in_cheapest_rack(u64::MAX).is_some() {
                return None;
            }
        }
        match group.spec.rack.as_deref().and_then(|rack| capacity.rack(rack)) {
            Some(rack) if fits_empty(group, capacity, places, rack) => {
                self.place_in_rack(rack, self.loss_max)
            }
            _ => self.place_anywhere(),
        }
    }

    /// Returns the placement in the first of the racks that cost the least.
    fn place_in_cheapest_rack(&self, loss_max: u64) -> Option<ReleasePlan> {
        let (mut best, mut loss_max): (Option<ReleasePlan>, _) = (None, Some(loss_max));
        for rack in 0..self.capacity.racks.len() {
            let Some(max) = loss_max else { break };
            if let Some(found) = self.place_in_rack(rack, max) {
                loss_max = found.2.checked_sub(1);
                best = Some(found);
            }
        }
        best
    }

    fn place_in_rack(&self, rack: usize, loss_max: u64) -> Option<ReleasePlan> {
        if self.releases.counts.in_rack(rack) < self.group.tasks.len() as u64 {
            return None;
        }
        self.place_on(self.capacity.racks[rack].iter().copied(), is_eligible, loss_max)
    }

    fn place_anywhere(&self) -> Option<ReleasePlan> {
        if self.releases.counts.sum() < self.group.tasks.len() as u64 {
            return None;
        }
        self.place_on(0..self.capacity.slots.len(), is_eligible, self.loss_max)
    }

    /// Places all tasks on allowed workers; none if that is not possible or costs too much.
    fn place_on(
        &self,
        among: impl Iterator<Item = usize>,
        allowed: impl Fn(&WorkerSlot<'_>) -> bool,
        loss_max: u64,
    ) -> Option<ReleasePlan> {
        let Self { group, capacity, places, .. } = self;
        let usable = among.filter(|i| {
            capacity.steps.add_workers(1);
            let slot = &capacity.slots[*i];
            places.matching[*i] && allowed(slot) && capacity.is_permitted(group, slot)
        });
        let mut state = SearchState::new(self, usable);
        let need = group.spec.allocation();
        let mut placement = Vec::with_capacity(group.tasks.len());
        for task in &group.tasks {
            capacity.steps.add_workers(state.workers.len());
            let key = |(_, w): &(usize, &WorkerState)| {
                let slot = &capacity.slots[w.slot];
                let failed_before = task.failed_on.contains(&slot.incarnation().worker);
                let loss = w.option.as_ref().map_or(0, |o| o.loss);
                let speed = self.need.rank(slot.speed);
                (failed_before, slot.health, loss, speed, tightness(&w.available, &need))
            };
            let options = state.workers.iter().enumerate().filter(|(_, w)| w.option.is_some());
            let (best, worker) = options.min_by_key(key)?;
            placement.push(capacity.slots[worker.slot].incarnation().clone());
            state.accept(best);
            if state.loss > loss_max {
                return None;
            }
        }
        Some((placement, state.victims, state.loss))
    }
}

/// State of a search among some workers.
struct SearchState<'a, 'b, 'c> {
    search: &'c ReleaseSearch<'a, 'b>,
    workers: Vec<WorkerState>,
    /// Candidates that the search has used.
    used: HashSet<RunId>,
    victims: Vec<RunId>,
    stopped_gangs: HashSet<StepId>,
    /// Number of ready tasks that are stopped, by step.
    stopped_ready: HashMap<StepId, u32>,
    loss: u64,
}

/// A worker that a search may use.
struct WorkerState {
    slot: usize,
    available: Resources,
    /// Resources that have to be released before any are available.
    excess: Resources,
    /// Number of tasks of the step that it may still be assigned.
    tasks_left: u32,
    /// What placing one more task on it takes; none if that is not possible.
    option: Option<Rc<ReleaseOption>>,
}

impl<'a, 'b, 'c> SearchState<'a, 'b, 'c> {
    fn new(search: &'c ReleaseSearch<'a, 'b>, usable: impl Iterator<Item = usize>) -> Self {
        let worker = |slot: usize| {
            let capacity = &search.capacity.slots[slot];
            WorkerState {
                slot,
                available: capacity.free.plus(&capacity.releasing),
                excess: capacity.excess,
                tasks_left: capacity.remaining_tasks(search.group),
                option: None,
            }
        };
        let mut state = Self {
            search,
            workers: usable.map(worker).collect(),
            used: HashSet::default(),
            victims: Vec::new(),
            stopped_gangs: HashSet::default(),
            stopped_ready: HashMap::default(),
            loss: 0,
        };
        for i in 0..state.workers.len() {
            let worker = &state.workers[i];
            if worker.tasks_left > 0 {
                let find = || state.option(worker);
                state.workers[i].option = search.releases.options.get(worker.slot, find);
            }
        }
        // A worker without an option gets none later: the search only takes capacity and budgets.
        state.workers.retain(|w| w.option.is_some());
        state
    }

    fn update_option(&mut self, worker: usize) {
        self.workers[worker].option = self.option(&self.workers[worker]).map(Rc::new);
    }

    /// Returns what placing one more task on a worker takes; none if that is not possible.
    fn option(&self, worker: &WorkerState) -> Option<ReleaseOption> {
        let need = self.search.group.spec.allocation().plus(&worker.excess);
        let mut available = worker.available;
        let mut option = ReleaseOption { victims: Vec::new(), loss: 0 };
        if worker.tasks_left == 0 {
            return None;
        }
        if available.fits(&need) {
            return Some(option);
        }
        let candidates = &self.search.candidates[worker.slot];
        self.search.capacity.steps.add_runs(candidates.len());
        let all = candidates.iter().fold(available, |sum, c| sum.plus(&c.allocation));
        if !all.fits(&need) {
            return None;
        }
        for i in self.by_marginal_cost(candidates) {
            if available.fits(&need) {
                break;
            }
            if self.is_over_budget(worker.slot, &option, &candidates[i]) {
                continue;
            }
            available = available.plus(&candidates[i].allocation);
            let cost = self.marginal_cost(&candidates[i]);
            option.loss = option.loss.saturating_add(cost);
            option.victims.push(i);
        }
        available.fits(&need).then_some(option)
    }

    /// Returns the positions of candidates that are not used, those with the least additional cost
    /// first. At first that is the order that they have.
    fn by_marginal_cost(&self, candidates: &[Candidate]) -> impl Iterator<Item = usize> + use<> {
        let as_is = self.used.is_empty().then_some(0..candidates.len());
        let unused = |i: &usize| !self.used.contains(&candidates[*i].run);
        let mut order = Vec::new();
        if as_is.is_none() {
            order.extend((0..candidates.len()).filter(unused));
            order.sort_by_key(|i| (self.marginal_cost(&candidates[*i]), candidates[*i].run));
        }
        as_is.into_iter().flatten().chain(order)
    }

    /// Whether stopping a run in addition to those of an option exceeds the disruption budget of
    /// its step.
    fn is_over_budget(&self, slot: usize, option: &ReleaseOption, candidate: &Candidate) -> bool {
        let Some(budget_left) = candidate.budget_left else { return false };
        let step = candidate.run.task.step;
        let beside = option.victims.iter().map(|i| &self.search.candidates[slot][*i]);
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

    /// Places one more task on a worker.
    fn accept(&mut self, worker: usize) {
        let Some(option) = self.workers[worker].option.take() else { return };
        self.loss = self.loss.saturating_add(option.loss);
        let candidates = &self.search.candidates[self.workers[worker].slot];
        let stopped: Vec<&Candidate> = option.victims.iter().map(|i| &candidates[*i]).collect();
        for candidate in &stopped {
            self.stop(candidate);
            let available = &mut self.workers[worker].available;
            *available = available.plus(&candidate.allocation);
        }
        let state = &mut self.workers[worker];
        let taken = self.search.group.spec.allocation().plus(&state.excess);
        state.available = state.available.minus(&taken);
        state.excess = Resources::default();
        state.tasks_left -= 1;
        self.update_option(worker);
        self.update_beside(&stopped);
    }

    fn stop(&mut self, candidate: &Candidate) {
        self.used.insert(candidate.run);
        self.stopped_gangs.extend(candidate.gang);
        if candidate.budget_left.is_some() {
            *self.stopped_ready.entry(candidate.run.task.step).or_default() += 1;
        }
        if !candidate.nearly_done {
            self.victims.push(candidate.run);
        }
    }

    /// Updates the workers with further members of stopped gangs, which cost nothing more, and with
    /// tasks of steps whose disruption budget has changed.
    fn update_beside(&mut self, stopped: &[&Candidate]) {
        let shared = |c: &&&Candidate| c.gang.is_some() || c.budget_left.is_some();
        let steps: HashSet<StepId> =
            stopped.iter().filter(shared).map(|c| c.run.task.step).collect();
        if steps.is_empty() {
            return;
        }
        for i in 0..self.workers.len() {
            let candidates = &self.search.candidates[self.workers[i].slot];
            self.search.capacity.steps.add_runs(candidates.len());
            if candidates.iter().any(|c| steps.contains(&c.run.task.step)) {
                self.update_option(i);
            }
        }
    }
}
