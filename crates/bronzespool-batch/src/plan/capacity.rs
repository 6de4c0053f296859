//! Capacity of the workers during a planning pass.

use {
    crate::{
        id::{RunId, StepId, WorkerIncarnation},
        ledger::{Ledger, Worker},
        plan::{
            ClusterView, Permits, TaskGroup,
            health::{Health, worker_health},
            place::Placement,
            steps::StepCounter,
        },
        spec::{Resources, Step},
    },
    bronzespool_core::{HashMap, HashSet, Time},
    std::{collections::BTreeMap, sync::Arc},
};

/// Capacity of one worker that may be assigned tasks.
#[derive(Clone, Debug)]
pub(super) struct WorkerSlot<'a> {
    pub(super) worker: &'a Worker,
    /// The worker's health by its recent failures.
    pub(super) health: Health,
    /// Resources that are neither allocated to a run nor reserved.
    pub(super) free: Resources,
    /// Resources of runs that are being stopped, as far as they are not reserved.
    pub(super) releasing: Resources,
    /// Number of tasks on the worker, by step.
    pub(super) steps: HashMap<StepId, u32>,
}

impl WorkerSlot<'_> {
    pub(super) fn incarnation(&self) -> &WorkerIncarnation {
        &self.worker.spec.incarnation
    }

    /// Whether the worker belongs to the service and has the label that the step requires.
    fn meets_requirements(&self, service: &Arc<str>, step: &Step) -> bool {
        let label = step.label.as_ref();
        let spec = &self.worker.spec;
        spec.service == *service && label.is_none_or(|l| spec.labels.contains(l))
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
    /// Positions of the workers of each rack among the slots.
    pub(super) racks: BTreeMap<&'a str, Vec<usize>>,
    /// Runs that are being stopped, or that this plan stops.
    pub(super) stopping: HashSet<RunId>,
    permits: &'a Permits,
    now: Time,
    /// Services with at most half of their capacity in use.
    idle: HashSet<Arc<str>>,
    /// What the plan has examined so far.
    pub(super) steps: StepCounter,
}

impl<'a> ClusterCapacity<'a> {
    pub(super) fn new(ledger: &'a Ledger, view: &'a ClusterView) -> Self {
        let schedulable = |w: &&Worker| {
            let incarnation = &w.spec.incarnation;
            let worker = &incarnation.worker;
            !w.spec.leaving && view.schedulable.contains(worker) && !view.draining.contains(worker)
        };
        let mut capacity = Self {
            ledger,
            slots: Vec::new(),
            racks: BTreeMap::new(),
            stopping: HashSet::default(),
            permits: &view.permits,
            now: view.now,
            idle: HashSet::default(),
            steps: StepCounter::default(),
        };
        for worker in ledger.workers().filter(schedulable) {
            let slot = capacity.slot(worker, view);
            capacity.racks.entry(worker.spec.rack()).or_default().push(capacity.slots.len());
            capacity.slots.push(slot);
        }
        capacity.relax_quarantine();
        capacity.idle = capacity.idle_services();
        capacity
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
        let mut slot = WorkerSlot {
            worker,
            health: worker_health(worker, view.now),
            free: worker.free(),
            releasing: Resources::default(),
            steps: HashMap::default(),
        };
        self.steps.add_runs(worker.runs.len());
        for (run, allocation) in &worker.runs {
            *slot.steps.entry(run.task.step).or_default() += 1;
            if self.ledger.is_unwanted(*run) {
                slot.releasing = slot.releasing.plus(allocation);
                self.stopping.insert(*run);
            }
        }
        slot
    }

    /// Returns the capacity of a worker incarnation, if it may be assigned tasks.
    pub(super) fn slot_of(&self, incarnation: &WorkerIncarnation) -> Option<&WorkerSlot<'a>> {
        self.steps.add_workers(self.slots.len());
        self.slots.iter().find(|s| s.incarnation() == incarnation)
    }

    /// Whether a worker meets the requirements of a task group and has a permit for it where one is
    /// required.
    pub(super) fn can_run(&self, group: &TaskGroup<'_>, slot: &WorkerSlot<'_>) -> bool {
        let permit = || self.permits.get(group.step, slot.incarnation(), self.now);
        slot.meets_requirements(group.service, group.spec)
            && (!group.needs_permit || permit().is_some())
    }

    /// Returns the positions of a rack's workers among the slots.
    pub(super) fn rack(&self, rack: &str) -> &[usize] {
        self.racks.get(rack).map_or(&[], Vec::as_slice)
    }

    /// Returns the accelerators of each rack that are neither allocated nor reserved, by the
    /// position of its workers.
    pub(super) fn free_by_rack(&self) -> Vec<u64> {
        let mut free = vec![0; self.slots.len()];
        for members in self.racks.values() {
            let sum = members.iter().map(|i| self.slots[*i].free.gpu).sum();
            members.iter().for_each(|i| free[*i] = sum);
        }
        free
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
            self.steps.add_workers(self.slots.len());
            if let Some(slot) = self.slots.iter_mut().find(|s| s.incarnation() == incarnation) {
                slot.free = slot.free.minus(&allocation);
                if slot.health == Health::Probation {
                    slot.free = Resources::default();
                }
                *slot.steps.entry(group.step).or_default() += 1;
            }
        }
    }

    /// Reserves capacity for a task group that starts once other runs have ended.
    pub(super) fn reserve(&mut self, reservation: &Reservation<'_>) {
        for victim in reservation.victims {
            self.steps.add_workers(self.slots.len());
            self.stopping.insert(*victim);
            for slot in &mut self.slots {
                if let Some(allocation) = slot.worker.runs.get(victim) {
                    slot.releasing = slot.releasing.plus(allocation);
                }
            }
        }
        let allocation = reservation.group.spec.allocation();
        for incarnation in reservation.placement {
            self.steps.add_workers(self.slots.len());
            if let Some(slot) = self.slots.iter_mut().find(|s| s.incarnation() == incarnation) {
                let rest = allocation.minus(&slot.free);
                slot.free = slot.free.minus(&allocation);
                slot.releasing = slot.releasing.minus(&rest);
                *slot.steps.entry(reservation.group.step).or_default() += 1;
            }
        }
    }
}
