//! Occupancy of all workers as bit masks, one bit an accelerator.

use {
    super::Worker,
    crate::{
        cell::{self, Bind, Cell},
        job::{Attempt, Id, JobState},
    },
    bronzespool_core::{Capacity, Center, HashMap, Instance, Level, Need, Place, Rack, Region},
};

/// What a team holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    /// Accelerators held.
    pub accels: u64,
    /// Accelerators of these that are borrowed.
    pub lent: u64,
    /// Thousandths of cores held on borrowed cells.
    pub cores: u64,
    /// Memory in MiB held on borrowed cells.
    pub memory: u64,
}

impl Ledger {
    pub(super) fn add(&mut self, cell: &Cell, need: &Need, borrowed: bool) {
        self.accels += u64::from(cell.accels);
        if borrowed {
            self.lent += u64::from(cell.accels);
            self.cores += u64::from(need.cores);
            self.memory += need.memory;
        }
    }

    pub(super) fn sub(&mut self, cell: &Cell, need: &Need, borrowed: bool) {
        self.accels -= u64::from(cell.accels);
        if borrowed {
            self.lent -= u64::from(cell.accels);
            self.cores -= u64::from(need.cores);
            self.memory -= need.memory;
        }
    }
}

/// Occupancy of one worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot {
    /// The worker.
    pub instance: Instance,
    /// One bit for each accelerator.
    pub all: u64,
    /// Accelerators held by attempts.
    pub used: u64,
    /// Accelerators held or chosen by work on its own guarantee.
    pub own: u64,
    /// Accelerators chosen by reservations.
    pub held: u64,
    /// Accelerators in guaranteed cells that are in use.
    pub bound: u64,
    /// Whether new work may go here.
    pub open: bool,
    /// Whether it is in quarantine and may have one job that may be repeated.
    pub probe: bool,
    /// Thousandths of cores in all.
    pub cores: u64,
    /// Memory in MiB in all.
    pub memory: u64,
    /// Thousandths of cores held by attempts.
    pub cores_used: u64,
    /// Memory in MiB held by attempts.
    pub memory_used: u64,
    /// Thousandths of cores chosen by reservations.
    pub cores_held: u64,
    /// Memory in MiB chosen by reservations.
    pub memory_held: u64,
    /// Number of its rack.
    pub rack: u32,
    /// Number of its data centre.
    pub center: u32,
    /// Number of its region.
    pub region: u32,
    /// Members here: job and member number.
    pub tasks: Vec<(Id, u32)>,
}

impl Slot {
    /// Number of accelerators.
    pub const fn accels(&self) -> u32 {
        self.all.count_ones()
    }

    /// Accelerators that new work may take without stopping any.
    pub const fn free(&self) -> u64 {
        if self.open { self.all & !self.used & !self.held } else { 0 }
    }

    /// Accelerators outside every guaranteed cell in use.
    pub const fn unbound(&self) -> u64 {
        if self.open { self.all & !self.bound } else { 0 }
    }

    /// Whether the worker may have a probe now.
    pub const fn probes(&self) -> bool {
        self.probe && self.tasks.is_empty() && self.cores_held == 0 && self.held == 0
    }

    /// Whether the worker is reachable and wholly outside guaranteed cells in use.
    pub const fn whole(&self) -> bool {
        self.open && self.all != 0 && self.bound == 0
    }

    /// Whether `need` is within the share of cores and memory that goes with `accels`.
    pub fn slice_fits(&self, need: &Need, accels: u32) -> bool {
        let all = u64::from(self.accels().max(1));
        let part = u64::from(accels);
        u64::from(need.cores) * all <= self.cores * part && need.memory * all <= self.memory * part
    }

    /// Whether cores and memory for `need` are free now.
    pub fn room(&self, need: &Need) -> bool {
        self.cores_used + self.cores_held + u64::from(need.cores) <= self.cores
            && self.memory_used + self.memory_held + need.memory <= self.memory
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
pub struct Grid {
    /// Workers in the order of first announcement; one that is gone stays as a closed slot.
    pub slots: Vec<Slot>,
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

impl Grid {
    /// Number of the slot of `instance`.
    pub fn slot(&self, instance: &Instance) -> Option<u32> {
        self.names.get(instance).copied()
    }

    /// Slot number `slot`.
    pub fn at(&self, slot: u32) -> &Slot {
        &self.slots[slot as usize]
    }

    pub(crate) fn at_mut(&mut self, slot: u32) -> &mut Slot {
        &mut self.slots[slot as usize]
    }

    /// Slots of the cell of `level` around `slot`.
    pub fn around(&self, level: Level, slot: u32) -> &[u32] {
        let at = self.at(slot);
        match level {
            Level::Rack => &self.racks[at.rack as usize].slots,
            Level::Center => &self.centers[at.center as usize].slots,
            Level::Region => &self.regions[at.region as usize].slots,
            Level::Block(_) | Level::Worker => {
                let rack = &self.racks[at.rack as usize].slots;
                let place = rack.iter().position(|&s| s == slot).unwrap_or(0);
                &rack[place..=place]
            }
        }
    }

    /// Slots and masks that a guaranteed cell covers.
    pub fn covers(&self, bind: &Bind) -> Vec<(u32, u64)> {
        let Some(slot) = self.slot(&bind.instance) else {
            return Vec::new();
        };
        if let Level::Block(order) = bind.level {
            return vec![(slot, cell::mask(bind.first, 1 << order))];
        }
        self.around(bind.level, slot).iter().map(|&s| (s, self.at(s).all)).collect()
    }

    /// Idle workers of a topology, with slots in its order.
    pub fn of(topology: &[(Place, Capacity)]) -> Self {
        let mut grid = Self::default();
        for (place, capacity) in topology {
            grid.enter(place, *capacity, true);
        }
        grid
    }

    pub(super) fn insert(&mut self, worker: &Worker) {
        self.enter(&worker.place, worker.capacity, worker.open());
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
        self.slots.push(Slot {
            instance: place.instance.clone(),
            all: cell::mask(0, capacity.accels),
            used: 0,
            own: 0,
            held: 0,
            bound: 0,
            open,
            probe: false,
            cores: u64::from(capacity.cores) * 1_000,
            memory: capacity.memory,
            cores_used: 0,
            memory_used: 0,
            cores_held: 0,
            memory_held: 0,
            rack,
            center,
            region,
            tasks: Vec::new(),
        });
    }

    pub(super) fn update(&mut self, worker: &Worker) {
        let slot = self.at_mut(worker.slot);
        slot.all = cell::mask(0, worker.capacity.accels);
        slot.cores = u64::from(worker.capacity.cores) * 1_000;
        slot.memory = worker.capacity.memory;
        slot.open = worker.open();
        slot.probe = worker.probes();
    }

    pub(crate) fn bind(&mut self, bind: &Bind) {
        for (slot, mask) in self.covers(bind) {
            self.at_mut(slot).bound |= mask;
        }
    }

    pub(crate) fn unbind(&mut self, bind: &Bind) {
        for (slot, mask) in self.covers(bind) {
            self.at_mut(slot).bound &= !mask;
        }
    }

    pub(super) fn occupy(&mut self, job: &JobState, attempt: &Attempt, member: usize) {
        let held = &attempt.cells[member];
        let Some(slot) = self.slot(&held.instance) else {
            return;
        };
        let need = attempt.need(&job.spec.need, member);
        let at = self.at_mut(slot);
        at.used |= held.mask();
        if !attempt.borrowed {
            at.own |= held.mask();
        }
        at.cores_used += u64::from(need.cores);
        at.memory_used += need.memory;
        at.tasks.push((job.id, number(member)));
    }

    pub(super) fn vacate(&mut self, job: &JobState, attempt: &Attempt, member: usize) {
        let held = &attempt.cells[member];
        let Some(slot) = self.slot(&held.instance) else {
            return;
        };
        let need = attempt.need(&job.spec.need, member);
        let at = self.at_mut(slot);
        at.used &= !held.mask();
        if !attempt.borrowed {
            at.own &= !held.mask();
        }
        at.cores_used -= u64::from(need.cores);
        at.memory_used -= need.memory;
        let key = (job.id, number(member));
        at.tasks.retain(|t| *t != key);
    }

    pub(crate) fn hold(&mut self, cells: &[Cell], need: &Need, borrowed: bool) {
        for held in cells {
            if let Some(slot) = self.slot(&held.instance) {
                let at = self.at_mut(slot);
                at.held |= held.mask();
                if !borrowed {
                    at.own |= held.mask();
                }
                at.cores_held += u64::from(need.cores);
                at.memory_held += need.memory;
            }
        }
    }

    pub(crate) fn unhold(&mut self, cells: &[Cell], need: &Need, borrowed: bool) {
        for held in cells {
            if let Some(slot) = self.slot(&held.instance) {
                let at = self.at_mut(slot);
                at.held &= !held.mask();
                if !borrowed {
                    at.own &= !held.mask();
                }
                at.cores_held -= u64::from(need.cores);
                at.memory_held -= need.memory;
            }
        }
    }
}
