//! Occupancy of all workers, as masks with one bit for each accelerator.

use {
    super::Worker,
    crate::{
        cell::{self, Cell, CellBinding},
        job::{Attempt, JobNumber, JobState},
    },
    bronzespool_core::{Capacity, Center, HashMap, Instance, Level, Need, Place, Rack, Region},
    std::collections::BTreeSet,
};

/// Resources allocated to a team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamUsage {
    /// Allocated accelerators.
    pub accels: u64,
    /// Number of these accelerators that are borrowed.
    pub borrowed_accels: u64,
    /// Cores allocated with borrowed cells, in thousandths.
    pub borrowed_cores: u64,
    /// Memory allocated with borrowed cells, in MiB.
    pub borrowed_memory: u64,
}

impl TeamUsage {
    pub(super) fn add(&mut self, cell: &Cell, need: &Need, borrowed: bool) {
        self.accels += u64::from(cell.accels);
        if borrowed {
            self.borrowed_accels += u64::from(cell.accels);
            self.borrowed_cores += u64::from(need.cores);
            self.borrowed_memory += need.memory;
        }
    }

    pub(super) fn subtract(&mut self, cell: &Cell, need: &Need, borrowed: bool) {
        self.accels -= u64::from(cell.accels);
        if borrowed {
            self.borrowed_accels -= u64::from(cell.accels);
            self.borrowed_cores -= u64::from(need.cores);
            self.borrowed_memory -= need.memory;
        }
    }
}

/// Occupancy of one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerSlot {
    /// The worker.
    pub instance: Instance,
    /// Mask of all accelerators of the worker.
    pub all: u64,
    /// Accelerators allocated to attempts.
    pub used: u64,
    /// Accelerators allocated to or reserved for work on its team's guarantee.
    pub guaranteed: u64,
    /// Accelerators reserved for jobs.
    pub reserved: u64,
    /// Accelerators in bound guaranteed cells.
    pub bound: u64,
    /// Whether new work may be placed on the worker.
    pub schedulable: bool,
    /// Whether the worker is in quarantine and may get one preemptible job as a probe.
    pub probing: bool,
    /// Cores of the worker, in thousandths.
    pub cores: u64,
    /// Memory of the worker, in MiB.
    pub memory: u64,
    /// Cores allocated to attempts, in thousandths.
    pub cores_used: u64,
    /// Memory allocated to attempts, in MiB.
    pub memory_used: u64,
    /// Cores reserved for jobs, in thousandths.
    pub cores_reserved: u64,
    /// Memory reserved for jobs, in MiB.
    pub memory_reserved: u64,
    /// Index of its rack.
    pub rack: u32,
    /// Index of its data centre.
    pub center: u32,
    /// Index of its region.
    pub region: u32,
    /// Members on the worker, in the order of their allocation: job number and member index.
    pub tasks: Vec<(JobNumber, u32)>,
}

impl WorkerSlot {
    /// Number of accelerators.
    pub const fn accels(&self) -> u32 {
        self.all.count_ones()
    }

    /// Accelerators that are neither allocated nor reserved, if new work may be placed on the
    /// worker.
    pub const fn free(&self) -> u64 {
        if self.schedulable { self.all & !self.used & !self.reserved } else { 0 }
    }

    /// Accelerators outside all bound guaranteed cells, if new work may be placed on the worker.
    pub const fn unbound(&self) -> u64 {
        if self.schedulable { self.all & !self.bound } else { 0 }
    }

    /// Whether a probe job may be placed on the worker now.
    pub const fn accepts_probe(&self) -> bool {
        self.probing && self.tasks.is_empty() && self.cores_reserved == 0 && self.reserved == 0
    }

    /// Whether the worker has accelerators, may get new work and lies outside all bound guaranteed
    /// cells.
    pub const fn is_whole(&self) -> bool {
        self.schedulable && self.all != 0 && self.bound == 0
    }

    /// Whether `need` is within the share of cores and memory that corresponds to `accels`.
    pub fn fits_share(&self, need: &Need, accels: u32) -> bool {
        let all = u64::from(self.accels().max(1));
        let part = u64::from(accels);
        u64::from(need.cores) * all <= self.cores * part && need.memory * all <= self.memory * part
    }

    /// Whether enough cores and memory for `need` are free.
    pub fn room(&self, need: &Need) -> bool {
        self.cores_used + self.cores_reserved + u64::from(need.cores) <= self.cores
            && self.memory_used + self.memory_reserved + need.memory <= self.memory
    }
}

/// Workers of one rack, data centre or region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Domain {
    /// Slot indexes of the workers.
    pub slots: Vec<u32>,
    /// Index of the parent domain: the data centre of a rack, the region of a data centre.
    pub parent: u32,
}

/// Occupancy of all workers.
#[derive(Clone, Debug, Default)]
pub struct Occupancy {
    /// Workers in the order of first registration; a removed worker keeps its slot, which is not
    /// schedulable.
    pub slots: Vec<WorkerSlot>,
    /// Racks.
    pub racks: Vec<Domain>,
    /// Data centres.
    pub centers: Vec<Domain>,
    /// Regions.
    pub regions: Vec<Domain>,
    slots_by_name: HashMap<Instance, u32>,
    rack_names: HashMap<(Region, Center, Rack), u32>,
    center_names: HashMap<(Region, Center), u32>,
    region_names: HashMap<Region, u32>,
    /// Data centres that are drained: nothing new is placed there.
    pub(super) drained: BTreeSet<Center>,
}

fn domain<K: std::hash::Hash + Eq>(
    numbers: &mut HashMap<K, u32>,
    domains: &mut Vec<Domain>,
    key: K,
    parent: u32,
) -> u32 {
    *numbers.entry(key).or_insert_with(|| {
        domains.push(Domain { slots: Vec::new(), parent });
        to_u32(domains.len() - 1)
    })
}

/// Converts a slot or member index.
pub(crate) fn to_u32(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}

impl Occupancy {
    /// Slot index of the worker `instance`.
    pub fn slot_of(&self, instance: &Instance) -> Option<u32> {
        self.slots_by_name.get(instance).copied()
    }

    /// The slot with index `slot`.
    pub fn slot(&self, slot: u32) -> &WorkerSlot {
        &self.slots[slot as usize]
    }

    pub(crate) fn slot_mut(&mut self, slot: u32) -> &mut WorkerSlot {
        &mut self.slots[slot as usize]
    }

    /// Slot indexes of the domain of `level` that contains `slot`; the slot itself for blocks and
    /// workers.
    pub fn domain_of(&self, level: Level, slot: u32) -> &[u32] {
        let worker = self.slot(slot);
        match level {
            Level::Rack => &self.racks[worker.rack as usize].slots,
            Level::Center => &self.centers[worker.center as usize].slots,
            Level::Region => &self.regions[worker.region as usize].slots,
            Level::Block(_) | Level::Worker => {
                let rack = &self.racks[worker.rack as usize].slots;
                let place = rack.iter().position(|&s| s == slot).unwrap_or(0);
                &rack[place..=place]
            }
        }
    }

    /// Slot indexes and masks of the accelerators that a bound cell covers.
    pub fn covers(&self, binding: &CellBinding) -> Vec<(u32, u64)> {
        let Some(slot) = self.slot_of(&binding.instance) else {
            return Vec::new();
        };
        if let Level::Block(order) = binding.level {
            return vec![(slot, cell::mask(binding.first, 1 << order))];
        }
        self.domain_of(binding.level, slot).iter().map(|&s| (s, self.slot(s).all)).collect()
    }

    /// Occupancy of the idle workers of a topology, with slots in the same order.
    pub fn of(topology: &[(Place, Capacity)]) -> Self {
        let mut occupancy = Self::default();
        for (place, capacity) in topology {
            occupancy.add_worker(place, *capacity, true);
        }
        occupancy
    }

    pub(super) fn insert(&mut self, worker: &Worker) {
        self.add_worker(&worker.place, worker.capacity, worker.is_schedulable());
        self.update(worker);
    }

    fn add_worker(&mut self, place: &Place, capacity: Capacity, schedulable: bool) {
        let region = domain(&mut self.region_names, &mut self.regions, place.region.clone(), 0);
        let key = (place.region.clone(), place.center.clone());
        let center = domain(&mut self.center_names, &mut self.centers, key, region);
        let key = (place.region.clone(), place.center.clone(), place.rack.clone());
        let rack = domain(&mut self.rack_names, &mut self.racks, key, center);
        let slot = to_u32(self.slots.len());
        self.racks[rack as usize].slots.push(slot);
        self.centers[center as usize].slots.push(slot);
        self.regions[region as usize].slots.push(slot);
        self.slots_by_name.insert(place.instance.clone(), slot);
        self.slots.push(WorkerSlot {
            instance: place.instance.clone(),
            all: cell::mask(0, capacity.accels),
            used: 0,
            guaranteed: 0,
            reserved: 0,
            bound: 0,
            schedulable,
            probing: false,
            cores: u64::from(capacity.cores) * 1_000,
            memory: capacity.memory,
            cores_used: 0,
            memory_used: 0,
            cores_reserved: 0,
            memory_reserved: 0,
            rack,
            center,
            region,
            tasks: Vec::new(),
        });
    }

    pub(super) fn update(&mut self, worker: &Worker) {
        let is_open = !self.drained.contains(&worker.place.center);
        let slot = self.slot_mut(worker.slot);
        slot.all = cell::mask(0, worker.capacity.accels);
        slot.cores = u64::from(worker.capacity.cores) * 1_000;
        slot.memory = worker.capacity.memory;
        slot.schedulable = is_open && worker.is_schedulable();
        slot.probing = is_open && worker.accepts_probe();
    }

    pub(crate) fn bind(&mut self, binding: &CellBinding) {
        for (slot, mask) in self.covers(binding) {
            self.slot_mut(slot).bound |= mask;
        }
    }

    pub(crate) fn unbind(&mut self, binding: &CellBinding) {
        for (slot, mask) in self.covers(binding) {
            self.slot_mut(slot).bound &= !mask;
        }
    }

    pub(super) fn occupy(&mut self, job: &JobState, attempt: &Attempt, member: usize) {
        let cell = &attempt.cells[member];
        let Some(slot) = self.slot_of(&cell.instance) else {
            return;
        };
        let need = attempt.need(&job.spec.need, member);
        let worker = self.slot_mut(slot);
        worker.used |= cell.mask();
        if !attempt.borrowed {
            worker.guaranteed |= cell.mask();
        }
        worker.cores_used += u64::from(need.cores);
        worker.memory_used += need.memory;
        worker.tasks.push((job.id, to_u32(member)));
    }

    pub(super) fn vacate(&mut self, job: &JobState, attempt: &Attempt, member: usize) {
        let cell = &attempt.cells[member];
        let Some(slot) = self.slot_of(&cell.instance) else {
            return;
        };
        let need = attempt.need(&job.spec.need, member);
        let worker = self.slot_mut(slot);
        worker.used &= !cell.mask();
        if !attempt.borrowed {
            worker.guaranteed &= !cell.mask();
        }
        worker.cores_used -= u64::from(need.cores);
        worker.memory_used -= need.memory;
        let key = (job.id, to_u32(member));
        worker.tasks.retain(|t| *t != key);
    }

    pub(crate) fn reserve(&mut self, cells: &[Cell], need: &Need, borrowed: bool) {
        for cell in cells {
            if let Some(slot) = self.slot_of(&cell.instance) {
                let worker = self.slot_mut(slot);
                worker.reserved |= cell.mask();
                if !borrowed {
                    worker.guaranteed |= cell.mask();
                }
                worker.cores_reserved += u64::from(need.cores);
                worker.memory_reserved += need.memory;
            }
        }
    }

    pub(crate) fn unreserve(&mut self, cells: &[Cell], need: &Need, borrowed: bool) {
        for cell in cells {
            if let Some(slot) = self.slot_of(&cell.instance) {
                let worker = self.slot_mut(slot);
                worker.reserved &= !cell.mask();
                if !borrowed {
                    worker.guaranteed &= !cell.mask();
                }
                worker.cores_reserved -= u64::from(need.cores);
                worker.memory_reserved -= need.memory;
            }
        }
    }
}
