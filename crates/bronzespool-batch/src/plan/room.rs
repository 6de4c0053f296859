//! Room on the workers while a plan is made.

use {
    crate::{
        id::{RunId, StepId, WorkerIncarnation},
        ledger::{Ledger, Worker},
        plan::{
            ClusterView, Permits, TaskGroup,
            health::{Trust, trust},
            place::Placement,
        },
        spec::{Resources, Step},
    },
    bronzespool_core::{HashMap, HashSet, Time},
    std::sync::Arc,
};

/// One worker that may be given tasks.
#[derive(Clone, Debug)]
pub(super) struct Slot<'a> {
    pub(super) worker: &'a Worker,
    /// How far the worker is trusted.
    pub(super) trust: Trust,
    /// What no run takes and no claim holds.
    pub(super) free: Resources,
    /// What runs take that are being stopped and that no claim holds.
    pub(super) coming: Resources,
    /// Tasks of a step on it.
    pub(super) steps: HashMap<StepId, u32>,
}

impl Slot<'_> {
    pub(super) fn incarnation(&self) -> &WorkerIncarnation {
        &self.worker.spec.incarnation
    }

    pub(super) fn rack(&self) -> &str {
        self.worker.spec.rack()
    }

    /// Whether the worker is of the kind that a step asks for.
    fn suits(&self, service: &Arc<str>, step: &Step) -> bool {
        let label = step.label.as_ref();
        let spec = &self.worker.spec;
        spec.service == *service && label.is_none_or(|l| spec.labels.contains(l))
    }
}

/// Whether a worker may be given tasks that could go elsewhere.
pub(super) fn is_trusted(slot: &Slot<'_>) -> bool {
    slot.trust != Trust::Barred
}

/// A unit that waits for room on certain workers.
pub(super) struct Claim<'a> {
    pub(super) unit: &'a TaskGroup<'a>,
    pub(super) placement: &'a Placement,
    pub(super) victims: &'a [RunId],
}

/// Room on all workers.
#[derive(Clone, Debug)]
pub(super) struct Room<'a> {
    pub(super) ledger: &'a Ledger,
    pub(super) slots: Vec<Slot<'a>>,
    /// Runs that are being stopped, or will be by this plan.
    pub(super) leaving: HashSet<RunId>,
    permits: &'a Permits,
    now: Time,
    /// Services of which less than half of the room is in use.
    idle: HashSet<Arc<str>>,
}

impl<'a> Room<'a> {
    pub(super) fn new(ledger: &'a Ledger, scene: &'a ClusterView) -> Self {
        let usable = |w: &&Worker| {
            let incarnation = &w.spec.incarnation;
            let worker = &incarnation.worker;
            !w.spec.leaving
                && scene.schedulable.contains(worker)
                && !scene.draining.contains(worker)
        };
        let mut room = Self {
            ledger,
            slots: Vec::new(),
            leaving: HashSet::default(),
            permits: &scene.permits,
            now: scene.now,
            idle: HashSet::default(),
        };
        for worker in ledger.workers().filter(usable) {
            let slot = room.slot(worker, scene);
            room.slots.push(slot);
        }
        room.pardon();
        room.idle = room.idle_services();
        room
    }

    /// Trusts barred workers again where they are so many that the fault is hardly theirs.
    fn pardon(&mut self) {
        let barred = self.slots.iter().filter(|s| s.trust == Trust::Barred).count();
        if barred * 2 > self.slots.len() {
            for slot in self.slots.iter_mut().filter(|s| s.trust == Trust::Barred) {
                slot.trust = Trust::Doubted;
            }
        }
    }

    fn slot(&mut self, worker: &'a Worker, scene: &ClusterView) -> Slot<'a> {
        let mut slot = Slot {
            worker,
            trust: trust(worker, scene.now),
            free: worker.free(),
            coming: Resources::default(),
            steps: HashMap::default(),
        };
        for (run, taken) in &worker.runs {
            *slot.steps.entry(run.task.step).or_default() += 1;
            if self.ledger.is_unwanted(*run) {
                slot.coming = slot.coming.plus(taken);
                self.leaving.insert(*run);
            }
        }
        slot
    }

    /// Whether a worker is of the kind that a unit asks for, and may run it.
    pub(super) fn admits(&self, unit: &TaskGroup<'_>, slot: &Slot<'_>) -> bool {
        let permit = || self.permits.get(unit.step, slot.incarnation(), self.now);
        slot.suits(unit.service, unit.shape) && (!unit.advised || permit().is_some())
    }

    /// Whether less than half of a service's room was in use when the plan began.
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

    /// Takes room for a unit that starts now.
    pub(super) fn take(&mut self, unit: &TaskGroup<'_>, placement: &Placement) {
        let taken = unit.shape.allocation();
        for incarnation in placement {
            if let Some(slot) = self.slots.iter_mut().find(|s| s.incarnation() == incarnation) {
                slot.free = slot.free.minus(&taken);
                if slot.trust == Trust::Probed {
                    slot.free = Resources::default();
                }
                *slot.steps.entry(unit.step).or_default() += 1;
            }
        }
    }

    /// Holds room for a unit that starts once others have ended.
    pub(super) fn claim(&mut self, claim: &Claim<'_>) {
        for victim in claim.victims {
            self.leaving.insert(*victim);
            for slot in &mut self.slots {
                if let Some(taken) = slot.worker.runs.get(victim) {
                    slot.coming = slot.coming.plus(taken);
                }
            }
        }
        let taken = claim.unit.shape.allocation();
        for incarnation in claim.placement {
            if let Some(slot) = self.slots.iter_mut().find(|s| s.incarnation() == incarnation) {
                let rest = taken.minus(&slot.free);
                slot.free = slot.free.minus(&taken);
                slot.coming = slot.coming.minus(&rest);
                *slot.steps.entry(claim.unit.step).or_default() += 1;
            }
        }
    }
}
