//! Which workers a unit runs on.
//!
//! Load it answers: steps with their data in one rack, gangs that are slow across racks, and
//! large tasks beside small ones. The fullest worker that fits is taken, so that whole workers
//! stay free for tasks that need all their accelerators.

use {
    crate::{
        id::WorkerIncarnation,
        plan::{
            TaskGroup,
            room::{Room, Slot, is_trusted},
        },
        spec::Resources,
    },
    std::collections::BTreeSet,
};

/// The worker of each task of a unit, in their order.
pub(super) type Placement = Vec<WorkerIncarnation>;

/// Which placements are allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reach {
    /// In the rack of the data, or all of a gang in one rack, where that can be had at all.
    Near,
    /// Also where it makes the unit slow.
    Far,
    /// Also on workers that fail what they run.
    Any,
}

/// Places a unit into room that is free now.
pub(super) fn place(unit: &TaskGroup<'_>, room: &Room<'_>, reach: Reach) -> Option<Placement> {
    let free: Vec<Resources> = room.slots.iter().map(|s| s.free).collect();
    match reach {
        Reach::Near => place_near(unit, room, &free),
        Reach::Far => fill(unit, room, &free, is_trusted),
        Reach::Any => fill(unit, room, &free, |_| true),
    }
}

fn place_near(unit: &TaskGroup<'_>, room: &Room<'_>, free: &[Resources]) -> Option<Placement> {
    if unit.shape.single_rack && unit.tasks.len() > 1 {
        let racks: BTreeSet<&str> = room.slots.iter().map(Slot::rack).collect();
        let within = |rack: &&str| fill(unit, room, free, |s| s.rack() == *rack && is_trusted(s));
        if let Some(found) = racks.iter().find_map(within) {
            return Some(found);
        }
        if racks.iter().any(|r| fits_empty(unit, room, r)) {
            return None;
        }
    }
    if let Some(rack) = unit.shape.rack.as_deref() {
        if let Some(found) = fill(unit, room, free, |s| s.rack() == rack && is_trusted(s)) {
            return Some(found);
        }
        if fits_empty(unit, room, rack) {
            return None;
        }
    }
    fill(unit, room, free, is_trusted)
}

/// Whether the unit would fit a rack on which nothing runs.
pub(super) fn fits_empty(unit: &TaskGroup<'_>, room: &Room<'_>, rack: &str) -> bool {
    let empty: Vec<Resources> = room.slots.iter().map(|s| s.worker.spec.capacity).collect();
    fill(unit, room, &empty, |s| s.rack() == rack).is_some()
}

fn fill(
    unit: &TaskGroup<'_>,
    room: &Room<'_>,
    free: &[Resources],
    allowed: impl Fn(&Slot<'_>) -> bool,
) -> Option<Placement> {
    let need = unit.shape.allocation();
    let mut free = free.to_vec();
    let mut counts: Vec<u32> =
        room.slots.iter().map(|s| s.steps.get(&unit.step).copied().unwrap_or(0)).collect();
    let spread = if unit.shape.worker_max == 0 { u32::MAX } else { unit.shape.worker_max };
    let mut placement = Vec::with_capacity(unit.tasks.len());
    for task in &unit.tasks {
        let fits = |(i, slot): &(usize, &Slot<'_>)| {
            allowed(slot) && room.admits(unit, slot) && counts[*i] < spread && free[*i].fits(&need)
        };
        let slots = room.slots.iter().enumerate();
        let key = |(i, slot): &(usize, &Slot<'_>)| {
            let again = task.failed.contains(&slot.incarnation().worker);
            (again, slot.trust, tightness(&free[*i], &need))
        };
        let best = slots.filter(fits).min_by_key(key);
        let (i, slot) = best?;
        free[i] = free[i].minus(&need);
        counts[i] += 1;
        placement.push(slot.incarnation().clone());
    }
    Some(placement)
}

/// What is left on a worker after a task is placed: accelerators first, then the rest.
pub(super) const fn tightness(free: &Resources, need: &Resources) -> (u64, u64) {
    let left = free.minus(need);
    (left.gpu, left.cpu)
}
