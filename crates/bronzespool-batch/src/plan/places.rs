//! Numbers of tasks that fit into the capacity of each worker and rack.
//!
//! A search over all workers is needed only for a group that fits; whether it does follows from
//! these numbers. They are kept by kind of task and updated for the workers that a plan has changed.

use {
    crate::{
        plan::{
            TaskGroup,
            capacity::{ClusterCapacity, WorkerSlot, is_eligible},
        },
        spec::Resources,
    },
    bronzespool_core::HashMap,
    std::sync::Arc,
};

/// What a task requires of a worker, permits and limits per worker aside.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct TaskKind {
    service: Arc<str>,
    label: Option<Arc<str>>,
    need: Resources,
}

/// Tasks of one kind that fit into free capacity, and into workers on which nothing runs.
#[derive(Debug, Default)]
pub(super) struct Places {
    /// Whether each worker meets the requirements.
    pub(super) matching: Vec<bool>,
    /// Tasks that fit into the free capacity of each eligible worker.
    free: Vec<u64>,
    /// Sums of these by rack.
    free_by_rack: Vec<u64>,
    /// Tasks that fit into each rack if nothing runs on it.
    empty_by_rack: Vec<u64>,
    /// Number of changes of capacity that are considered.
    changes: usize,
}

/// The places for all kinds of tasks that a plan has met.
#[derive(Debug, Default)]
pub(super) struct PlaceIndex {
    by_kind: HashMap<TaskKind, Places>,
}

impl PlaceIndex {
    /// Returns the places for a group's tasks in the present capacity.
    pub(super) fn of_group(
        &mut self,
        group: &TaskGroup<'_>,
        capacity: &ClusterCapacity<'_>,
    ) -> &Places {
        let kind = TaskKind {
            service: Arc::clone(group.service),
            label: group.spec.label.clone(),
            need: group.spec.allocation(),
        };
        let places = self.by_kind.entry(kind);
        let places = places.or_insert_with(|| Places::new(group, capacity));
        places.update(group, capacity);
        places
    }
}

impl Places {
    fn new(group: &TaskGroup<'_>, capacity: &ClusterCapacity<'_>) -> Self {
        let need = group.spec.allocation();
        let slots = &capacity.slots;
        capacity.steps.add_workers(slots.len());
        let mut places = Self {
            matching: slots
                .iter()
                .map(|s| s.meets_requirements(group.service, group.spec))
                .collect(),
            free: vec![0; slots.len()],
            free_by_rack: vec![0; capacity.racks.len()],
            empty_by_rack: vec![0; capacity.racks.len()],
            changes: capacity.changed.len(),
        };
        for (i, slot) in slots.iter().enumerate().filter(|(i, _)| places.matching[*i]) {
            let empty = &mut places.empty_by_rack[slot.rack];
            *empty = empty.saturating_add(slot.worker.spec.capacity.count(&need));
            places.free[i] = free_places(slot, &need);
        }
        for (rack, members) in capacity.racks.iter().enumerate() {
            places.free_by_rack[rack] = places.sum(members);
        }
        places
    }

    fn sum(&self, members: &[usize]) -> u64 {
        members.iter().fold(0, |sum, i| self.free[*i].saturating_add(sum))
    }

    /// Considers the changes of capacity since the last call.
    fn update(&mut self, group: &TaskGroup<'_>, capacity: &ClusterCapacity<'_>) {
        let need = group.spec.allocation();
        let changed = &capacity.changed[self.changes..];
        self.changes = capacity.changed.len();
        for &i in changed.iter().filter(|i| self.matching[**i]) {
            capacity.steps.add_workers(1);
            self.free[i] = free_places(&capacity.slots[i], &need);
        }
        for &i in changed.iter().filter(|i| self.matching[**i]) {
            let rack = capacity.slots[i].rack;
            self.free_by_rack[rack] = self.sum(&capacity.racks[rack]);
        }
    }

    /// Returns how many tasks fit into free capacity at most.
    pub(super) fn free(&self) -> u64 {
        self.free_by_rack.iter().fold(0, |sum, f| f.saturating_add(sum))
    }

    /// Returns how many tasks fit into the free capacity of a rack at most.
    pub(super) fn free_in(&self, rack: usize) -> u64 {
        self.free_by_rack[rack]
    }

    /// Returns how many tasks fit into a rack on which nothing runs at most.
    pub(super) fn empty_in(&self, rack: usize) -> u64 {
        self.empty_by_rack[rack]
    }
}

/// Returns how many tasks fit into the free capacity of a worker.
fn free_places(slot: &WorkerSlot<'_>, need: &Resources) -> u64 {
    if is_eligible(slot) { slot.free.count(need) } else { 0 }
}
