//! Selection of the workers that a task group runs on.
//!
//! Covers steps whose data is in one rack, gangs that run slowly across racks, and large tasks
//! beside small ones. Placement is best-fit: the fullest worker with enough free capacity is
//! chosen, so that whole workers stay free for tasks that need all of their accelerators.

use crate::{
    id::WorkerIncarnation,
    plan::{
        TaskGroup,
        capacity::{ClusterCapacity, WorkerSlot, is_eligible},
        places::{PlaceIndex, Places},
        speed::{SpeedNeed, SpeedRank},
    },
    spec::Resources,
};

/// The workers of a group's tasks, in the order of the tasks.
pub(super) type Placement = Vec<WorkerIncarnation>;

/// Which workers a placement may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PlacementScope {
    /// Only the rack of the data, or a single rack for a gang that wants one, if such a placement
    /// is possible at all.
    Local,
    /// Also other racks, where the tasks run more slowly.
    AnyRack,
    /// Also quarantined workers.
    AnyWorker,
    /// Other racks, and workers that a task has to itself.
    ClosedWorker,
}

/// Places a task group into capacity that is free now.
pub(super) fn place(
    group: &TaskGroup<'_>,
    need: SpeedNeed,
    capacity: &ClusterCapacity<'_>,
    index: &mut PlaceIndex,
    scope: PlacementScope,
) -> Option<Placement> {
    let places = index.of_group(group, capacity);
    let search = Search { group, need, capacity, places, scope };
    match scope {
        PlacementScope::Local => search.place_local(),
        PlacementScope::AnyRack => search.place_anywhere(),
        PlacementScope::AnyWorker => search.place_on(0..capacity.slots.len(), |_| true),
        PlacementScope::ClosedWorker => search.place_on(0..capacity.slots.len(), is_eligible),
    }
}

/// Whether a task group would fit into a rack on which nothing runs.
pub(super) fn fits_empty(
    group: &TaskGroup<'_>,
    capacity: &ClusterCapacity<'_>,
    places: &Places,
    rack: usize,
) -> bool {
    let count = group.tasks.len() as u64;
    if places.empty.in_rack(rack) < count {
        return false;
    }
    if !group.needs_permit && group.spec.worker_max == 0 {
        return true;
    }
    let need = group.spec.allocation();
    let on_worker = |i: &usize| {
        let slot = &capacity.slots[*i];
        let places = slot.whole().count(&need);
        places.min(u64::from(slot.remaining_tasks(group)))
    };
    let members = capacity.racks[rack].iter();
    let usable = members
        .filter(|i| places.matching[**i] && capacity.is_permitted(group, &capacity.slots[**i]));
    usable.map(on_worker).fold(0, u64::saturating_add) >= count
}

/// A search for a placement of one task group.
struct Search<'a, 'b> {
    group: &'a TaskGroup<'a>,
    need: SpeedNeed,
    capacity: &'a ClusterCapacity<'b>,
    places: &'a Places,
    scope: PlacementScope,
}

impl Search<'_, '_> {
    fn place_local(&self) -> Option<Placement> {
        let Self { group, capacity, places, .. } = self;
        if group.spec.single_rack && group.tasks.len() > 1 {
            if let Some(found) = self.place_in_one_rack() {
                return Some(found);
            }
            let mut racks = 0..capacity.racks.len();
            if racks.any(|r| fits_empty(group, capacity, places, r)) {
                return None;
            }
        }
        if let Some(rack) = group.spec.rack.as_deref().and_then(|r| capacity.rack(r)) {
            if let Some(found) = self.place_in_rack(rack) {
                return Some(found);
            }
            if fits_empty(group, capacity, places, rack) {
                return None;
            }
        }
        self.place_anywhere()
    }

    /// Places the group in one rack: the one whose worst-ranked worker ranks best by speed. Of equal
    /// racks the fullest is chosen, so that emptier racks stay free for larger gangs.
    fn place_in_one_rack(&self) -> Option<Placement> {
        let mut racks: Vec<usize> = (0..self.capacity.racks.len()).collect();
        racks.retain(|r| self.places.free.in_rack(*r) >= self.group.tasks.len() as u64);
        racks.sort_by_key(|r| self.capacity.rack_free[*r]);
        let mut found = racks.into_iter().filter_map(|r| self.place_in_rack(r));
        if !self.capacity.has_uneven_speeds {
            return found.next();
        }
        found.min_by_key(|placement| self.worst_rank(placement))
    }

    /// Returns the rank of the worker that delays a gang the most.
    fn worst_rank(&self, placement: &Placement) -> Option<SpeedRank> {
        let slots = placement.iter().filter_map(|worker| self.capacity.slot_of(worker));
        slots.map(|slot| self.need.rank(slot.speed)).max()
    }

    fn place_in_rack(&self, rack: usize) -> Option<Placement> {
        if self.places.free.in_rack(rack) < self.group.tasks.len() as u64 {
            return None;
        }
        self.place_on(self.capacity.racks[rack].iter().copied(), is_eligible)
    }

    fn place_anywhere(&self) -> Option<Placement> {
        if self.places.free.sum() < self.group.tasks.len() as u64 {
            return None;
        }
        self.place_on(0..self.capacity.slots.len(), is_eligible)
    }

    fn place_on(
        &self,
        among: impl Iterator<Item = usize>,
        allowed: impl Fn(&WorkerSlot<'_>) -> bool,
    ) -> Option<Placement> {
        let Self { group, capacity, places, .. } = self;
        let need = group.spec.allocation();
        let usable = among.filter(|i| {
            capacity.steps.add_workers(1);
            places.matching[*i]
                && allowed(&capacity.slots[*i])
                && capacity.is_permitted(group, &capacity.slots[*i])
        });
        let option = |slot: usize| {
            let worker = &capacity.slots[slot];
            let free = match self.scope {
                PlacementScope::ClosedWorker => worker.free.plus(&worker.closed),
                _ => worker.free,
            };
            WorkerOption { slot, free, tasks_left: worker.remaining_tasks(group) }
        };
        let mut options: Vec<WorkerOption> = usable.map(option).collect();
        let mut placement = Vec::with_capacity(group.tasks.len());
        for task in &group.tasks {
            capacity.steps.add_workers(options.len());
            let fits = |o: &&mut WorkerOption| o.tasks_left > 0 && o.free.fits(&need);
            let key = |o: &&mut WorkerOption| {
                let slot = &capacity.slots[o.slot];
                let failed_before = task.failed_on.contains(&slot.incarnation().worker);
                let rack_free = capacity.rack_free[slot.rack];
                let speed = self.need.rank(slot.speed);
                (failed_before, slot.health, speed, tightness(&o.free, &need), rack_free)
            };
            let best = options.iter_mut().filter(fits).min_by_key(key)?;
            best.free = best.free.minus(&need);
            best.tasks_left -= 1;
            placement.push(capacity.slots[best.slot].incarnation().clone());
        }
        Some(placement)
    }
}

/// A worker that a placement may use.
struct WorkerOption {
    slot: usize,
    free: Resources,
    /// Number of tasks of the step that it may be assigned.
    tasks_left: u32,
}

/// Returns the accelerators and the processor left on a worker after a task is placed on it; used
/// as a sort key, in this order.
pub(super) const fn tightness(free: &Resources, need: &Resources) -> (u64, u64) {
    let left = free.minus(need);
    (left.gpu, left.cpu)
}
