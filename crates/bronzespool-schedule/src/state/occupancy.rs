//! Occupancy of all workers as bit masks, one bit an accelerator.

use {
    super::Worker,
    crate::{
        cell::{self, Cell, CellBinding},
        job::{Attempt, JobNumber, JobState},
    },
    bronzespool_core::{Capacity, Center, HashMap, Instance, Level, Need, Place, Rack, Region},
};

/// What a team holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamUsage {
    /// Accelerators held.
    pub accels: u64,
    /// Accelerators of these that are borrowed.
    pub borrowed_accels: u64,
    /// Thousandths of cores held on borrowed cells.
    pub borrowed_cores: u64,
    /// Memory in MiB held on borrowed cells.
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

    pub(super) fn sub(&mut self, cell: &Cell, need: &Need, borrowed: bool) {
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
    /// One bit for each accelerator.
    pub all: u64,
    /// Accelerators held by attempts.
    pub used: u64,
    /// Accelerators held or chosen by work on its own guarantee.
    pub guaranteed: u64,
    /// Accelerators chosen by reservations.
    pub reserved: u64,
    /// Accelerators in guaranteed cells that are in use.
    pub bound: u64,
    /// Whether new work may go here.
    pub schedulable: bool,
    /// Whether it is in quarantine and may have one job that may be repeated.
    pub probing: bool,
    /// Thousandths of cores in all.
    pub cores: u64,
    /// Memory in MiB in all.
    pub memory: u64,
    /// Thousandths of cores held by attempts.
    pub cores_used: u64,
    /// Memory in MiB held by attempts.
    pub memory_used: u64,
    /// Thousandths of cores chosen by reservations.
    pub cores_reserved: u64,
    /// Memory in MiB chosen by reservations.
    pub memory_reserved: u64,
    /// Number of its rack.
    pub rack: u32,
    /// Number of its data centre.
    pub center: u32,
    /// Number of its region.
    pub region: u32,
    /// Members here: job and member number.
    pub tasks: Vec<(JobNumber, u32)>,
}

impl WorkerSlot {
    /// Number of accelerators.
    pub const fn accels(&self) -> u32 {
        self.all.count_ones()
    }

    /// Accelerators that new work may take without stopping any.
    pub const fn free(&self) -> u64 {
        if self.schedulable { self.all & !self.used & !self.reserved } else { 0 }
    }

    /// Accelerators outside every guaranteed cell in use.
    pub const fn unbound(&self) -> u64 {
        if self.schedulable { self.all & !self.bound } else { 0 }
    }

    /// Whether the worker may have a probe now.
    pub const fn accepts_probe(&self) -> bool {
        self.probing && self.tasks.is_empty() && self.cores_reserved == 0 && self.reserved == 0
    }

    /// Whether the worker is reachable and wholly outside guaranteed cells in use.
    pub const fn is_whole(&self) -> bool {
        self.schedulable && self.all != 0 && self.bound == 0
    }

    /// Whether `need` is within the share of cores and memory that goes with `accels`.
    pub fn slice_fits(&self, need: &Need, accels: u32) -> bool {
        let all = u64::from(self.accels().max(1));
        let part = u64::from(accels);
        u64::from(need.cores) * all <= self.cores * part && need.memory * all <= self.memory * part
    }

    /// Whether cores and memory for `need` are free now.
    pub fn room(&self, need: &Need) -> bool {
        self.cores_used + self.cores_reserved + u64::from(need.cores) <= self.cores
            && self.memory_used + self.memory_reserved + need.memory <= self.memory
    }
}

/// Workers of one rack, data centre or region.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Domain {
    /// Numbers of the workers' slots.
    pub slots: Vec<u32>,
    /// Number of the domain one level up: the centre of a rack, the region of a centre.
    pub parent: u32,
}

/// Occupancy of all workers.
#[derive(Clone, Debug, Default)]
pub struct Occupancy {
    /// Workers in the order of first announcement; one that is gone stays as a closed slot.
    pub slots: Vec<WorkerSlot>,
    /// Racks.
    pub racks: Vec<Domain>,
    /// Data centres.
    pub centers: Vec<Domain>,
    /// Regions.
    pub regions: Vec<Domain>,
    names: HashMap<Instance, u32>,
    rack_names: HashMap<(Region, Center, Rack), u32>,
    center_names: HashMap<(Region, Center), u32>,
    region_names: HashMap<Region, u32>,
}

fn domain<K: std::hash::Hash + Eq>(
    names: &mut HashMap<K, u32>,
    domains: &mut Vec<Domain>,
    key: K,
    parent: u32,
) -> u32 {
    *names.entry(key).or_insert_with(|| {
        domains.push(Domain { slots: Vec::new(), parent });
        number(domains.len() - 1)
    })
}

/// Index as a slot or member number.
pub(crate) fn number(index: usize) -> u32 {
    u32::try_from(index).unwrap_or(u32::MAX)
}

impl Occupancy {
    /// Number of the slot of `instance`.
    pub fn slot_of(&self, instance: &Instance) -> Option<u32> {
        self.names.get(instance).copied()
    }

    /// Slot number `slot`.
    pub fn slot(&self, slot: u32) -> &WorkerSlot {
        &self.slots[slot as usize]
    }

    pub(crate) fn slot_mut(&mut self, slot: u32) -> &mut WorkerSlot {
        &mut self.slots[slot as usize]
    }

    /// Slots of the cell of `level` around `slot`.
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

    /// Slots and masks that a guaranteed cell covers.
    pub fn covers(&self, binding: &CellBinding) -> Vec<(u32, u64)> {
        let Some(slot) = self.slot_of(&binding.instance) else {
            return Vec::new();
        };
        if let Level::Block(order) = binding.level {
            return vec![(slot, cell::mask(binding.first, 1 << order))];
        }
        self.domain_of(binding.level, slot).iter().map(|&s| (s, self.slot(s).all)).collect()
    }

    /// Idle workers of a topology, with slots in its order.
    pub fn of(topology: &[(Place, Capacity)]) -> Self {
        let mut occupancy = Self::default();
        for (place, capacity) in topology {
            occupancy.enter(place, *capacity, true);
        }
        occupancy
    }

    pub(super) fn insert(&mut self, worker: &Worker) {
        self.enter(&worker.place, worker.capacity, worker.is_schedulable());
        self.update(worker);
    }

    fn enter(&mut self, place: &Place, capacity: Capacity, open: bool) {
        let region = domain(&mut self.region_names, &mut self.regions, place.region.clone(), 0);
        let key = (place.region.clone(), place.center.clone());
        let center = domain(&mut self.center_names, &mut self.centers, key, region);
        let key = (place.region.clone(), place.center.clone(), place.rack.clone());
        let rack = domain(&mut self.rack_names, &mut self.racks, key, center);
        let slot = number(self.slots.len());
        self.racks[rack as usize].slots.push(slot);
        self.centers[center as usize].slots.push(slot);
        self.regions[region as usize].slots.push(slot);
        self.names.insert(place.instance.clone(), slot);
        self.slots.push(WorkerSlot {
            instance: place.instance.clone(),
            all: cell::mask(0, capacity.accels),
            used: 0,
            guaranteed: 0,
            reserved: 0,
            bound: 0,
            schedulable: open,
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
        let slot = self.slot_mut(worker.slot);
        slot.all = cell::mask(0, worker.capacity.accels);
        slot.cores = u64::from(worker.capacity.cores) * 1_000;
        slot.memory = worker.capacity.memory;
        slot.schedulable = worker.is_schedulable();
        slot.probing = worker.accepts_probe();
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
        let held = &attempt.cells[member];
        let Some(slot) = self.slot_of(&held.instance) else {
            return;
        };
        let need = attempt.need(&job.spec.need, member);
        let worker = self.slot_mut(slot);
        worker.used |= held.mask();
        if !attempt.borrowed {
            worker.guaranteed |= held.mask();
        }
        worker.cores_used += u64::from(need.cores);
        worker.memory_used += need.memory;
        worker.tasks.push((job.id, number(member)));
    }

    pub(super) fn vacate(&mut self, job: &JobState, attempt: &Attempt, member: usize) {
        let held = &attempt.cells[member];
        let Some(slot) = self.slot_of(&held.instance) else {
            return;
        };
        let need = attempt.need(&job.spec.need, member);
        let worker = self.slot_mut(slot);
        worker.used &= !held.mask();
        if !attempt.borrowed {
            worker.guaranteed &= !held.mask();
        }
        worker.cores_used -= u64::from(need.cores);
        worker.memory_used -= need.memory;
        let key = (job.id, number(member));
        worker.tasks.retain(|t| *t != key);
    }

    pub(crate) fn hold(&mut self, cells: &[Cell], need: &Need, borrowed: bool) {
        for held in cells {
            if let Some(slot) = self.slot_of(&held.instance) {
                let worker = self.slot_mut(slot);
                worker.reserved |= held.mask();
                if !borrowed {
                    worker.guaranteed |= held.mask();
                }
                worker.cores_reserved += u64::from(need.cores);
                worker.memory_reserved += need.memory;
            }
        }
    }

    pub(crate) fn unhold(&mut self, cells: &[Cell], need: &Need, borrowed: bool) {
        for held in cells {
            if let Some(slot) = self.slot_of(&held.instance) {
                let worker = self.slot_mut(slot);
                worker.reserved &= !held.mask();
                if !borrowed {
                    worker.guaranteed &= !held.mask();
                }
                worker.cores_reserved -= u64::from(need.cores);
                worker.memory_reserved -= need.memory;
            }
        }
    }
}
