//! Capacity of the workers during a planning pass.

use {
    crate::{
        id::{RunId, StepId, WorkerIncarnation},
        ledger::{Ledger, Worker},
        plan::{
            ClusterView, Permits, TaskGroup,
            apart::{self, Sharing},
            health::{Health, worker_health},
            place::Placement,
            speed::SpeedClass,
            steps::StepCounter,
        },
        spec::{Resources, Step},
    },
    bronzespool_core::{HashMap, HashSet, Time},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Capacity of one worker that may be assigned tasks.
#[derive(Clone, Debug)]
pub(super) struct WorkerSlot<'a> {
    pub(super) worker: &'a Worker,
    /// Position of the worker's rack among the racks.
    pub(super) rack: usize,
    /// The worker's health by its recent failures.
    pub(super) health: Health,
    /// Class of the worker's learned speed.
    pub(super) speed: SpeedClass,
    /// Resources that are neither allocated to a run nor reserved.
    pub(super) free: Resources,
    /// Such resources that are withheld because a task has the worker to itself; they are not part of
    /// the free ones.
    pub(super) closed: Resources,
    /// Resources that are held back from all but the first task because the worker is cold.
    held_back: Resources,
    /// Resources of runs that are being stopped, as far as they are not reserved.
    pub(super) releasing: Resources,
    /// Resources by which the other runs exceed a capacity that has shrunk. What they release counts
    /// against it first.
    pub(super) excess: Resources,
    /// Number of tasks on the worker, by step.
    pub(super) steps: HashMap<StepId, u32>,
}

impl WorkerSlot<'_> {
    pub(super) fn incarnation(&self) -> &WorkerIncarnation {
        &self.worker.spec.incarnation
    }

    /// Counts a run as being stopped.
    fn add_releasing(&mut self, allocation: &Resources) {
        self.releasing = self.releasing.plus(&allocation.minus(&self.excess));
        self.excess = self.excess.minus(allocation);
    }

    /// Whether nothing runs on the worker, and nothing is reserved on it.
    pub(super) fn is_idle(&self) -> bool {
        self.worker.runs.is_empty() && self.free == *self.whole()
    }

    /// Whether a task has the worker to itself, and something is left there.
    fn is_closed(&self) -> bool {
        self.closed != Resources::default()
    }

    /// Returns the worker's resources if nothing runs on it.
    pub(super) const fn whole(&self) -> &Resources {
        &self.worker.spec.capacity
    }

    /// Whether the worker belongs to the service and has the label that the step requires.
    pub(super) fn meets_requirements(&self, service: &Arc<str>, step: &Step) -> bool {
        let label = step.label.as_ref();
        let spec = &self.worker.spec;
        spec.service == *service && label.is_none_or(|l| spec.labels.contains(l))
    }

    /// Returns how many more tasks of a group's step the worker may be assigned by the limit of the
    /// step.
    pub(super) fn remaining_tasks(&self, group: &TaskGroup<'_>) -> u32 {
        let limit = group.spec.worker_max;
        if limit == 0 {
            return u32::MAX;
        }
        limit.saturating_sub(self.steps.get(&group.step).copied().unwrap_or(0))
    }
}

/// Whether a worker may be assigned tasks that could run elsewhere.
pub(super) fn is_eligible(slot: &WorkerSlot<'_>) -> bool {
    slot.health != Health::Quarantined
}

/// A reservation of capacity for a task group that waits for it on certain workers.
pub(super) struct Reservation<'a> {
    pub(super) group: &'a TaskGroup<'a>,
    pub(super) placement: &'a Placement,
    pub(super) victims: &'a [RunId],
}

/// Capacity of all workers that may be assigned tasks.
#[derive(Clone, Debug)]
pub(super) struct ClusterCapacity<'a> {
    pub(super) ledger: &'a Ledger,
    pub(super) slots: Vec<WorkerSlot<'a>>,
    /// Positions among the slots by the worker's name.
    positions: HashMap<&'a str, usize>,
    /// Positions of the workers of each rack among the slots, by the rack's name.
    pub(super) racks: Vec<Vec<usize>>,
    rack_names: BTreeMap<&'a str, usize>,
    /// Accelerators of each rack that are neither allocated nor reserved.
    pub(super) rack_free: Vec<u64>,
    /// Positions of the workers whose free capacity has changed during the plan, in the order of the
    /// changes.
    pub(super) changed: Vec<usize>,
    /// Runs that are being stopped, or that this plan or an earlier one stops.
    pub(super) stopping: HashSet<RunId>,
    permits: &'a Permits,
    now: Time,
    /// Services with at most half of their capacity in use.
    idle: HashSet<Arc<str>>,
    /// Whether a worker is known to be slower or faster than a typical one.
    pub(super) has_uneven_speeds: bool,
    /// Whether a task has a worker to itself.
    pub(super) has_closed: bool,
    /// What the plan has examined so far.
    pub(super) steps: StepCounter,
}

impl<'a> ClusterCapacity<'a> {
    pub(super) fn new(ledger: &'a Ledger, view: &'a ClusterView) -> Self {
        let schedulable = |w: &&Worker| {
            let incarnation = &w.spec.incarnation;
            let worker = &incarnation.worker;
            let is_draining = view.draining.contains(worker) || ledger.is_worker_drained(w);
            !w.spec.leaving && view.schedulable.contains(worker) && !is_draining
        };
        let mut capacity = Self {
            ledger,
            slots: Vec::new(),
            positions: HashMap::default(),
            racks: Vec::new(),
            rack_names: BTreeMap::new(),
            rack_free: Vec::new(),
            changed: Vec::new(),
            stopping: HashSet::default(),
            permits: &view.permits,
            now: view.now,
            idle: HashSet::default(),
            has_uneven_speeds: false,
            has_closed: false,
            steps: StepCounter::default(),
        };
        for worker in ledger.workers().filter(schedulable) {
            let slot = capacity.slot(worker, view);
            capacity.positions.insert(&worker.spec.incarnation.worker, capacity.slots.len());
            capacity.slots.push(slot);
        }
        capacity.form_racks();
        capacity.relax_quarantine();
        capacity.idle = capacity.idle_services();
        capacity.has_uneven_speeds = capacity.slots.iter().any(|s| !s.speed.is_typical());
        capacity
    }

    /// Groups the workers by rack.
    fn form_racks(&mut self) {
        let mut racks: BTreeMap<&'a str, Vec<usize>> = BTreeMap::new();
        for (i, slot) in self.slots.iter().enumerate() {
            racks.entry(slot.worker.spec.rack()).or_default().push(i);
        }
        self.rack_names = racks.keys().enumerate().map(|(rack, name)| (*name, rack)).collect();
        self.racks = racks.into_values().collect();
        for (rack, members) in self.racks.iter().enumerate() {
            members.iter().for_each(|i| self.slots[*i].rack = rack);
            self.rack_free.push(members.iter().map(|i| self.slots[*i].free.gpu).sum());
        }
    }

    /// Downgrades quarantined workers to suspect ones if they are more than half of all workers:
    /// then the fault is probably not theirs.
    fn relax_quarantine(&mut self) {
        let quarantined = self.slots.iter().filter(|s| s.health == Health::Quarantined).count();
        if quarantined * 2 > self.slots.len() {
            for slot in self.slots.iter_mut().filter(|s| s.health == Health::Quarantined) {
                slot.health = Health::Suspect;
            }
        }
    }

    fn slot(&mut self, worker: &'a Worker, view: &ClusterView) -> WorkerSlot<'a> {
        let cold = view.cold.held_back(self.ledger, worker, view.now);
        let (now, later) = match worker.runs.is_empty() {
            true => (Resources::default(), cold),
            false => (cold, Resources::default()),
        };
        let sharing = apart::sharing(self.ledger, worker, view);
        let health = worker_health(worker, view.now);
        let mut slot = WorkerSlot {
            worker,
            rack: 0,
            health: if sharing == Sharing::Open { health } else { health.max(Health::Suspect) },
            speed: SpeedClass::of_worker(&view.estimates, &worker.spec.agent),
            free: worker.free().minus(&now),
            closed: Resources::default(),
            held_back: later,
            releasing: Resources::default(),
            excess: worker.excess(),
            steps: HashMap::default(),
        };
        if sharing == Sharing::Closed {
            slot.closed = std::mem::take(&mut slot.free);
            self.has_closed = true;
        }
        self.steps.add_runs(worker.runs.len());
        for (run, allocation) in &worker.runs {
            *slot.steps.entry(run.task.step).or_default() += 1;
            if self.ledger.is_unwanted(*run) || view.stopping.contains(run) {
                slot.add_releasing(allocation);
                self.stopping.insert(*run);
            }
        }
        slot
    }

    /// Returns the capacity of a worker incarnation, if it may be assigned tasks.
    pub(super) fn slot_of(&self, incarnation: &WorkerIncarnation) -> Option<&WorkerSlot<'a>> {
        self.position(incarnation).map(|i| &self.slots[i])
    }

    /// Whether a worker meets the requirements of a task group and has a permit for it where one is
    /// required.
    pub(super) fn can_run(&self, group: &TaskGroup<'_>, slot: &WorkerSlot<'_>) -> bool {
        slot.meets_requirements(group.service, group.spec) && self.is_permitted(group, slot)
    }

    /// Whether a worker has a permit for a task group if one is required.
    pub(super) fn is_permitted(&self, group: &TaskGroup<'_>, slot: &WorkerSlot<'_>) -> bool {
        let permit = || self.permits.get(group.step, slot.incarnation(), self.now);
        !group.needs_permit || permit().is_some()
    }

    /// Returns the position of a rack.
    pub(super) fn rack(&self, name: &str) -> Option<usize> {
        self.rack_names.get(name).copied()
    }

    /// Changes the free capacity of a worker.
    fn set_free(&mut self, slot: usize, free: Resources) {
        let former = std::mem::replace(&mut self.slots[slot].free, free);
        let rack_free = &mut self.rack_free[self.slots[slot].rack];
        *rack_free = *rack_free - former.gpu + free.gpu;
        self.changed.push(slot);
    }

    fn position(&self, incarnation: &WorkerIncarnation) -> Option<usize> {
        self.steps.add_workers(1);
        let position = self.positions.get(&*incarnation.worker).copied();
        position.filter(|i| self.slots[*i].incarnation() == incarnation)
    }

    /// Whether at most half of a service's capacity was in use when the plan began.
    pub(super) fn is_idle(&self, service: &Arc<str>) -> bool {
        self.idle.contains(service)
    }

    fn idle_services(&self) -> HashSet<Arc<str>> {
        let mut sums: HashMap<&Arc<str>, (Resources, Resources)> = HashMap::default();
        for slot in &self.slots {
            let (whole, used) = sums.entry(&slot.worker.spec.service).or_default();
            *whole = whole.plus(&slot.worker.spec.capacity);
            *used = used.plus(&slot.worker.used());
        }
        let idle = sums.into_iter().filter(|(_, (whole, used))| whole.fits(&used.times(2)));
        idle.map(|(service, _)| Arc::clone(service)).collect()
    }

    /// Allocates capacity to a task group that starts now.
    pub(super) fn allocate(&mut self, group: &TaskGroup<'_>, placement: &Placement) {
        let allocation = group.spec.allocation();
        for incarnation in placement {
            let Some(i) = self.position(incarnation) else { continue };
            let slot = &mut self.slots[i];
            *slot.steps.entry(group.step).or_default() += 1;
            let probation = slot.health == Health::Probation;
            let held_back = std::mem::take(&mut slot.held_back);
            let is_closed = slot.is_closed() || group.apart;
            let left = slot.free.plus(&slot.closed).minus(&allocation).minus(&held_back);
            let left = if probation { Resources::default() } else { left };
            let (free, closed) =
                if is_closed { (Resources::default(), left) } else { (left, Resources::default()) };
            slot.closed = closed;
            self.has_closed |= is_closed;
            self.set_free(i, free);
        }
    }

    /// Reserves capacity for a task group that starts once other runs have ended.
    pub(super) fn reserve(&mut self, reservation: &Reservation<'_>) {
        self.release(reservation);
        let allocation = reservation.group.spec.allocation();
        for incarnation in reservation.placement {
            let Some(i) = self.position(incarnation) else { continue };
            let slot = &mut self.slots[i];
            *slot.steps.entry(reservation.group.step).or_default() += 1;
            slot.releasing = slot.releasing.minus(&allocation.minus(&slot.free));
            let free = slot.free.minus(&allocation);
            self.set_free(i, free);
        }
    }

    /// Counts the victims, which run on the workers of the placement, as being stopped.
    fn release(&mut self, reservation: &Reservation<'_>) {
        self.stopping.extend(reservation.victims);
        if reservation.victims.is_empty() {
            return;
        }
        let workers = reservation.placement.iter().filter_map(|w| self.position(w));
        for i in workers.collect::<BTreeSet<_>>() {
            let slot = &mut self.slots[i];
            self.steps.add_runs(reservation.victims.len());
            for allocation in reservation.victims.iter().filter_map(|v| slot.worker.runs.get(v)) {
                slot.add_releasing(allocation);
            }
        }
    }
}
