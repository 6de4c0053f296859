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
}

/// Places a task group into capacity that is free now.
pub(super) fn place(
    group: &TaskGroup<'_>,
    capacity: &ClusterCapacity<'_>,
    scope: PlacementScope,
) -> Option<Placement> {
    let free: Vec<Resources> = capacity.slots.iter().map(|s| s.free).collect();
    let search = Search { group, capacity, free, rack_free: capacity.free_by_rack() };
    match scope {
        PlacementScope::Local => search.place_local(),
        PlacementScope::AnyRack => search.place_on(&search.all_slots(), is_eligible),
        PlacementScope::AnyWorker => search.place_on(&search.all_slots(), |_| true),
    }
}

/// Whether a task group would fit into a rack on which nothing runs.
pub(super) fn fits_empty(
    group: &TaskGroup<'_>,
    capacity: &ClusterCapacity<'_>,
    rack: &str,
) -> bool {
    let free = capacity.slots.iter().map(|s| s.worker.spec.capacity).collect();
    let rack_free = vec![0; capacity.slots.len()];
    let search = Search { group, capacity, free, rack_free };
    search.place_on(capacity.rack(rack), |_| true).is_some()
}

/// A search for a placement of one task group.
struct Search<'a, 'b> {
    group: &'a TaskGroup<'a>,
    capacity: &'a ClusterCapacity<'b>,
    /// Capacity that the search may use, by worker.
    free: Vec<Resources>,
    /// Free accelerators of the rack of each worker.
    rack_free: Vec<u64>,
}

impl Search<'_, '_> {
    fn all_slots(&self) -> Vec<usize> {
        (0..self.capacity.slots.len()).collect()
    }

    fn place_local(&self) -> Option<Placement> {
        let Self { group, capacity, .. } = self;
        if group.spec.single_rack && group.tasks.len() > 1 {
            if let Some(found) = self.place_in_fullest_rack() {
                return Some(found);
            }
            if capacity.racks.keys().any(|r| fits_empty(group, capacity, r)) {
                return None;
            }
        }
        if let Some(rack) = group.spec.rack.as_deref() {
            if let Some(found) = self.place_on(capacity.rack(rack), is_eligible) {
                return Some(found);
            }
            if fits_empty(group, capacity, rack) {
                return None;
            }
        }
        self.place_on(&self.all_slots(), is_eligible)
    }

    /// Places the group in the fullest of the racks into which it fits, so that emptier racks stay
    /// free for larger gangs.
    fn place_in_fullest_rack(&self) -> Option<Placement> {
        let mut racks: Vec<&Vec<usize>> = self.capacity.racks.values().collect();
        racks.sort_by_key(|members| members.first().map_or(0, |i| self.rack_free[*i]));
        racks.into_iter().find_map(|members| self.place_on(members, is_eligible))
    }

    fn place_on(
        &self,
        among: &[usize],
        allowed: impl Fn(&WorkerSlot<'_>) -> bool,
    ) -> Option<Placement> {
        let Self { group, capacity, .. } = self;
        let need = group.spec.allocation();
        let worker_max = if group.spec.worker_max == 0 { u32::MAX } else { group.spec.worker_max };
        let mut options: Vec<WorkerOption> = Vec::with_capacity(among.len());
        capacity.steps.add_workers(among.len());
        for &slot in among {
            let worker = &capacity.slots[slot];
            if !allowed(worker) || !capacity.can_run(group, worker) {
                continue;
            }
            let count = worker.steps.get(&group.step).copied().unwrap_or(0);
            options.push(WorkerOption { slot, free: self.free[slot], count });
        }
        let mut placement = Vec::with_capacity(group.tasks.len());
        for task in &group.tasks {
            capacity.steps.add_workers(options.len());
            let fits = |o: &&mut WorkerOption| o.count < worker_max && o.free.fits(&need);
            let key = |o: &&mut WorkerOption| {
                let worker = &capacity.slots[o.slot];
                let failed_before = task.failed_on.contains(&worker.incarnation().worker);
                let rack_free = self.rack_free[o.slot];
                (failed_before, worker.health, tightness(&o.free, &need), rack_free)
            };
            let best = options.iter_mut().filter(fits).min_by_key(key)?;
            best.free = best.free.minus(&need);
            best.count += 1;
            placement.push(capacity.slots[best.slot].incarnation().clone());
        }
        Some(placement)
    }
}

/// A worker that a placement may use.
struct WorkerOption {
    slot: usize,
    free: Resources,
    /// Number of tasks of the step on the worker.
    count: u32,
}

/// Returns the accelerators and the processor left on a worker after a task is placed on it; used
/// as a sort key, in this order.
pub(super) const fn tightness(free: &Resources, need: &Resources) -> (u64, u64) {
    let left = free.minus(need);
    (left.gpu, left.cpu)
}
