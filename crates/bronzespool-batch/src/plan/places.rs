//! Numbers of tasks that fit into the capacity of each worker and rack.
//!
//! A search over all workers is needed only for a group that fits; whether it does follows from
//! these numbers. They are kept by kind of task and updated for the workers that a plan has changed.

use {
    crate::{
        plan::{
            TaskGroup,
            capacity::{ClusterCapacity, is_eligible},
        },
        spec::Resources,
    },
    bronzespool_core::HashMap,
    std::sync::Arc,
};

/// What a task requires of a worker, permits and limits per worker aside.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct TaskKind {
    service: Arc<str>,
    label: Option<Arc<str>>,
    need: Resources,
}

impl TaskKind {
    pub(super) fn of(group: &TaskGroup<'_>) -> Self {
        Self {
            service: Arc::clone(group.service),
            label: group.spec.label.clone(),
            need: group.spec.allocation(),
        }
    }
}

/// Numbers of tasks of one kind by worker and rack.
#[derive(Debug, Default)]
pub(super) struct TaskCounts {
    by_slot: Vec<u64>,
    by_rack: Vec<u64>,
    /// Number of changes of capacity that are considered.
    changes: usize,
}

impl TaskCounts {
    /// Counts the tasks on each worker by `count`.
    pub(super) fn new(capacity: &ClusterCapacity<'_>, count: impl Fn(usize) -> u64) -> Self {
        capacity.steps.add_workers(capacity.slots.len());
        let mut counts = Self {
            by_slot: (0..capacity.slots.len()).map(count).collect(),
            by_rack: Vec::new(),
            changes: capacity.changed.len(),
        };
        counts.by_rack = capacity.racks.iter().map(|members| counts.sum_of(members)).collect();
        counts
    }

    fn sum_of(&self, members: &[usize]) -> u64 {
        members.iter().fold(0, |sum, i| self.by_slot[*i].saturating_add(sum))
    }

    /// Counts the tasks anew on the workers that have changed since the last call.
    pub(super) fn update(&mut self, capacity: &ClusterCapacity<'_>, count: impl Fn(usize) -> u64) {
        let changed = &capacity.changed[self.changes..];
        self.changes = capacity.changed.len();
        for &slot in changed {
            capacity.steps.add_workers(1);
            let now = count(slot);
            if std::mem::replace(&mut self.by_slot[slot], now) != now {
                let rack = capacity.slots[slot].rack;
                self.by_rack[rack] = self.sum_of(&capacity.racks[rack]);
            }
        }
    }

    /// Returns the sum over all workers.
    pub(super) fn sum(&self) -> u64 {
        self.by_rack.iter().fold(0, |sum, count| count.saturating_add(sum))
    }

    /// Returns the sum over the workers of a rack.
    pub(super) fn in_rack(&self, rack: usize) -> u64 {
        self.by_rack[rack]
    }
}

/// Workers and capacity for tasks of one kind.
#[derive(Debug, Default)]
pub(super) struct Places {
    /// Whether each worker meets the requirements.
    pub(super) matching: Vec<bool>,
    /// Tasks that fit into the free capacity of eligible workers at most.
    pub(super) free: TaskCounts,
    /// Tasks that fit into workers on which nothing runs at most.
    pub(super) empty: TaskCounts,
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
        let places = self.by_kind.entry(TaskKind::of(group));
        let places = places.or_insert_with(|| Places::new(group, capacity));
        let Places { matching, free, .. } = places;
        free.update(capacity, free_tasks(group, capacity, matching));
        places
    }
}

impl Places {
    fn new(group: &TaskGroup<'_>, capacity: &ClusterCapacity<'_>) -> Self {
        let need = group.spec.allocation();
        let slots = &capacity.slots;
        let matches = |i: usize| slots[i].meets_requirements(group.service, group.spec);
        let matching: Vec<bool> = (0..slots.len()).map(matches).collect();
        let empty = |i: usize| if matching[i] { slots[i].whole().count(&need) } else { 0 };
        let empty = TaskCounts::new(capacity, empty);
        let free = TaskCounts::new(capacity, free_tasks(group, capacity, &matching));
        Self { matching, free, empty }
    }
}

fn free_tasks(
    group: &TaskGroup<'_>,
    capacity: &ClusterCapacity<'_>,
    matching: &[bool],
) -> impl Fn(usize) -> u64 {
    let need = group.spec.allocation();
    move |i| {
        let slot = &capacity.slots[i];
        if matching[i] && is_eligible(slot) { slot.free.count(&need) } else { 0 }
    }
}
