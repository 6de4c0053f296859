//! Placements that task groups keep while capacity is released for them.
//!
//! Covers several gangs that preempt at once. Stopped runs take a while to end, and each plan in the
//! meantime searches anew: without a held placement, another group of the same precedence would
//! take the released capacity, and each group would stop further runs in one rack after another.

use {
    crate::{
        id::StepId,
        plan::{
            TaskGroup,
            capacity::{ClusterCapacity, is_eligible},
            group::LikeGroups,
            place::Placement,
        },
    },
    bronzespool_core::{HashMap, HashSet, Time},
    std::time::Duration,
};

/// Time for which a placement is held although runs on its workers have yet to end by themselves.
/// It follows from the time left below which a run is not stopped.
const UNRELEASED_MAX: Duration = Duration::from_millis(900);

/// Identifies a task group between two plans: its step and its first task.
type GroupKey = (StepId, u32);

/// A placement and when it was chosen.
#[derive(Clone, Debug)]
struct Hold {
    placement: Placement,
    since: Time,
}

/// What has become of a held placement.
pub(super) enum HoldState {
    /// Its workers have enough free capacity.
    Free(Placement),
    /// Runs on its workers have yet to end.
    Pending(Placement),
    /// There is none, or its workers or their capacity are gone.
    Gone,
}

/// The held placements of all waiting task groups.
#[derive(Clone, Debug, Default)]
pub(super) struct HeldPlacements {
    holds: HashMap<GroupKey, Hold>,
}

impl HeldPlacements {
    /// Holds a placement for a group.
    pub(super) fn hold(&mut self, group: &TaskGroup<'_>, placement: Placement, now: Time) {
        self.holds.insert(key(group), Hold { placement, since: now });
    }

    /// Forgets the placement of a group.
    pub(super) fn release(&mut self, group: &TaskGroup<'_>) {
        self.holds.remove(&key(group));
    }

    /// Whether a placement is held for a group.
    pub(super) fn contains(&self, group: &TaskGroup<'_>) -> bool {
        self.holds.contains_key(&key(group))
    }

    /// Takes groups apart of which one holds a placement, since it comes before the others.
    pub(super) fn set_apart<'a>(&self, groups: Vec<LikeGroups<'a>>) -> Vec<LikeGroups<'a>> {
        let steps: HashSet<StepId> = self.holds.keys().map(|(step, _)| *step).collect();
        if steps.is_empty() {
            return groups;
        }
        let mut apart = Vec::with_capacity(groups.len());
        for like in groups {
            if like.count > 1 && steps.contains(&like.first.step) {
                apart.extend(like.groups().map(LikeGroups::one));
            } else {
                apart.push(like);
            }
        }
        apart
    }

    /// Forgets the placements of all groups that no longer wait. The groups of steps that hold one
    /// are set apart.
    pub(super) fn retain_waiting<'a>(&mut self, waiting: impl Iterator<Item = &'a LikeGroups<'a>>) {
        if self.holds.is_empty() {
            return;
        }
        let keys: HashSet<GroupKey> = waiting.map(|like| key(&like.first)).collect();
        self.holds.retain(|k, _| keys.contains(k));
    }

    /// Returns the state of a group's placement, and forgets one that is gone.
    pub(super) fn state(
        &mut self,
        group: &TaskGroup<'_>,
        capacity: &ClusterCapacity<'_>,
        now: Time,
    ) -> HoldState {
        let Some(hold) = self.holds.get(&key(group)) else { return HoldState::Gone };
        let (free, released) = fits(group, capacity, &hold.placement);
        if free {
            return HoldState::Free(hold.placement.clone());
        }
        let usable = is_usable(group, capacity, &hold.placement);
        if usable && (released || now.since(hold.since) < UNRELEASED_MAX) {
            return HoldState::Pending(hold.placement.clone());
        }
        self.release(group);
        HoldState::Gone
    }
}

fn key(group: &TaskGroup<'_>) -> GroupKey {
    (group.step, group.tasks.first().map_or(0, |t| t.index))
}

/// Whether a placement has as many workers as the group has tasks, and all of them may run it.
fn is_usable(group: &TaskGroup<'_>, capacity: &ClusterCapacity<'_>, placement: &Placement) -> bool {
    let usable = |incarnation| {
        let slot = capacity.slot_of(incarnation);
        slot.is_some_and(|s| is_eligible(s) && capacity.can_run(group, s))
    };
    placement.len() == group.tasks.len() && placement.iter().all(usable)
}

/// Whether a group fits into the free capacity of a placement, and whether it fits once all runs
/// that are being stopped have ended.
fn fits(
    group: &TaskGroup<'_>,
    capacity: &ClusterCapacity<'_>,
    placement: &Placement,
) -> (bool, bool) {
    if !is_usable(group, capacity, placement) {
        return (false, false);
    }
    let mut counts = HashMap::default();
    for incarnation in placement {
        *counts.entry(incarnation).or_insert(0_u64) += 1;
    }
    let need = group.spec.allocation();
    let (mut free, mut released) = (true, true);
    for (incarnation, count) in counts {
        let Some(slot) = capacity.slot_of(incarnation) else { return (false, false) };
        let beside = u64::from(slot.steps.get(&group.step).copied().unwrap_or(0));
        if group.spec.worker_max > 0 && beside + count > u64::from(group.spec.worker_max) {
            return (false, false);
        }
        let need = need.times(count);
        free &= slot.free.fits(&need);
        released &= slot.free.plus(&slot.releasing).fits(&need);
    }
    (free, released)
}
