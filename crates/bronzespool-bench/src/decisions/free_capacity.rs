//! Free accelerators, cores and memory of all workers, with first-fit and best-fit placement.

use {
    crate::decisions::{Cluster, KindPlan, WorkerPlan},
    bronzespool_core::{HashMap, Level},
    std::cmp::Reverse,
};

/// Place of one member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Index of the worker.
    pub worker: usize,
    /// Bit mask of the accelerators that the member holds.
    pub mask: u64,
}

/// Placement rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// Takes the first domain, worker and block with enough room.
    First,
    /// Takes the domain, workers and blocks that leave the least free space.
    Best,
}

/// Free capacity of one worker; `free` is the bit mask of its free accelerators.
#[derive(Clone, Copy, Debug)]
struct WorkerCapacity {
    plan: WorkerPlan,
    free: u64,
    cores: u32,
    memory: u64,
    up: bool,
}

/// Free capacity of all workers.
#[derive(Clone, Debug)]
pub struct FreeCapacity {
    workers: Vec<WorkerCapacity>,
}

/// Bit mask of the first `accels` accelerators.
const fn accel_mask(accels: u32) -> u64 {
    if accels >= 64 { u64::MAX } else { (1 << accels) - 1 }
}

/// Bit masks of the aligned blocks of `size` accelerators that are free in `free`.
fn free_blocks(free: u64, size: u32) -> impl Iterator<Item = u64> {
    let block = accel_mask(size);
    (0..64 / size).map(move |i| block << (i * size)).filter(move |b| free & b == *b)
}

/// Size of the largest aligned free block that contains `block`. Best fit prefers a small one, so
/// that larger free blocks stay whole.
fn enclosing_free_block(free: u64, block: u64, size: u32) -> u32 {
    let start = block.trailing_zeros();
    let mut size = size;
    while size < 64 {
        let wide = size * 2;
        let mask = accel_mask(wide) << (start / wide * wide);
        if free & mask != mask {
            break;
        }
        size = wide;
    }
    size
}

impl WorkerCapacity {
    fn members_fitting(&self, kind: &KindPlan) -> u32 {
        if !self.up {
            return 0;
        }
        let cores = self.cores / kind.cores.max(1);
        let memory = u32::try_from(self.memory / kind.memory.max(1)).unwrap_or(u32::MAX);
        let accels = match kind.accels {
            0 => u32::MAX,
            size => free_blocks(self.free, size).count() as u32,
        };
        cores.min(memory).min(accels)
    }

    /// Takes the capacity of one member and returns its accelerators; the caller has checked that
    /// the member fits.
    fn take(&mut self, kind: &KindPlan, fit: Fit) -> u64 {
        let size = kind.accels;
        let mask = match (size, fit) {
            (0, _) => 0,
            (_, Fit::First) => free_blocks(self.free, size).next().unwrap_or(0),
            (_, Fit::Best) => free_blocks(self.free, size)
                .min_by_key(|&b| enclosing_free_block(self.free, b, size))
                .unwrap_or(0),
        };
        self.free &= !mask;
        self.cores -= kind.cores;
        self.memory -= kind.memory;
        mask
    }
}

impl FreeCapacity {
    /// All workers of `cluster`, up and empty.
    pub fn new(cluster: &Cluster) -> Self {
        let worker = |plan: &WorkerPlan| WorkerCapacity {
            plan: *plan,
            free: accel_mask(plan.accels),
            cores: plan.cores,
            memory: plan.memory,
            up: true,
        };
        Self { workers: cluster.workers.iter().map(worker).collect() }
    }

    /// Leaves exactly `free` accelerators free, packed data centre by data centre onto the largest
    /// racks and workers first; all others are taken.
    pub fn packed(cluster: &Cluster, free: u32) -> Self {
        let mut capacity = Self::new(cluster);
        let mut racks: HashMap<usize, u32> = HashMap::default();
        for worker in &cluster.workers {
            *racks.entry(worker.rack).or_default() += worker.accels;
        }
        let key = |w: &WorkerCapacity| {
            let rack = w.plan.rack;
            (w.plan.center, Reverse(racks[&rack]), rack, Reverse(w.plan.accels))
        };
        let mut order: Vec<usize> = (0..capacity.workers.len()).collect();
        order.sort_by_key(|&w| key(&capacity.workers[w]));
        let mut left = free;
        for worker in order {
            let worker = &mut capacity.workers[worker];
            let part = worker.plan.accels.min(left);
            worker.free = accel_mask(part);
            left -= part;
        }
        capacity
    }

    /// Marks a worker as up or down. Slots on a worker that went down are released by the caller,
    /// before it comes back.
    pub fn set_up(&mut self, worker: usize, up: bool) {
        self.workers[worker].up = up;
    }

    /// Whether a worker is up.
    pub fn is_up(&self, worker: usize) -> bool {
        self.workers[worker].up
    }

    /// Number of workers.
    pub fn workers(&self) -> usize {
        self.workers.len()
    }

    /// Free accelerators of the workers that are up.
    pub fn free(&self) -> u32 {
        self.workers.iter().filter(|w| w.up).map(|w| w.free.count_ones()).sum()
    }

    /// Free accelerators of one worker; zero if it is down.
    pub fn free_on(&self, worker: usize) -> u32 {
        let worker = &self.workers[worker];
        if worker.up { worker.free.count_ones() } else { 0 }
    }

    /// Number of members of `kind` that fit on a worker now.
    pub fn members_fitting(&self, worker: usize, kind: &KindPlan) -> u32 {
        self.workers[worker].members_fitting(kind)
    }

    /// Index of the domain of `level` that contains a worker.
    pub fn domain(&self, worker: usize, level: Level) -> usize {
        let plan = &self.workers[worker].plan;
        match level {
            Level::Block(_) | Level::Worker => worker,
            Level::Rack => plan.rack,
            Level::Center => plan.center,
            Level::Region => plan.region,
        }
    }

    /// Takes all slots, or none if one of them is not free. Returns whether they were taken.
    pub fn take(&mut self, slots: &[Slot], kind: &KindPlan) -> bool {
        for (i, slot) in slots.iter().enumerate() {
            let worker = &mut self.workers[slot.worker];
            let fits = worker.up
                && worker.free & slot.mask == slot.mask
                && worker.cores >= kind.cores
                && worker.memory >= kind.memory;
            if !fits {
                self.release(&slots[..i], kind);
                return false;
            }
            worker.free &= !slot.mask;
            worker.cores -= kind.cores;
            worker.memory -= kind.memory;
        }
        true
    }

    /// Releases the slots.
    pub fn release(&mut self, slots: &[Slot], kind: &KindPlan) {
        for slot in slots {
            let worker = &mut self.workers[slot.worker];
            worker.free |= slot.mask;
            worker.cores += kind.cores;
            worker.memory += kind.memory;
        }
    }

    /// Whether the slots make up a whole gang of `kind`: the right number of aligned blocks of the
    /// right size, all within one domain of the requested level.
    pub fn is_gang(&self, slots: &[Slot], kind: &KindPlan) -> bool {
        let domain = slots.first().map(|s| self.domain(s.worker, kind.adjacent));
        let aligned = |mask: u64| {
            kind.accels == 0 && mask == 0
                || kind.accels > 0 && free_blocks(u64::MAX, kind.accels).any(|b| b == mask)
        };
        slots.len() == kind.gang as usize
            && slots.iter().all(|s| aligned(s.mask))
            && slots.iter().all(|s| Some(self.domain(s.worker, kind.adjacent)) == domain)
    }

    /// Finds slots for the whole gang outside the workers in `avoid`, and takes them.
    pub fn place(&mut self, kind: &KindPlan, fit: Fit, avoid: &[usize]) -> Option<Vec<Slot>> {
        let domain = self.choose_domain(kind, fit, avoid)?;
        let inside = |&w: &usize| self.domain(w, kind.adjacent) == domain && !avoid.contains(&w);
        let mut workers: Vec<usize> = (0..self.workers.len()).filter(inside).collect();
        if fit == Fit::Best {
            workers.sort_by_key(|&w| (self.workers[w].free.count_ones(), w));
        }
        let mut slots = Vec::with_capacity(kind.gang as usize);
        for worker in workers {
            while slots.len() < kind.gang as usize && self.workers[worker].members_fitting(kind) > 0
            {
                let mask = self.workers[worker].take(kind, fit);
                slots.push(Slot { worker, mask });
            }
        }
        Some(slots)
    }

    /// Index of the domain to place the gang in, if any has room for all members.
    fn choose_domain(&self, kind: &KindPlan, fit: Fit, avoid: &[usize]) -> Option<usize> {
        let mut fitting: Vec<(u32, u32)> = Vec::new();
        for worker in 0..self.workers.len() {
            if avoid.contains(&worker) {
                continue;
            }
            let domain = self.domain(worker, kind.adjacent);
            if fitting.len() <= domain {
                fitting.resize(domain + 1, (0, 0));
            }
            fitting[domain].0 =
                fitting[domain].0.saturating_add(self.workers[worker].members_fitting(kind));
            fitting[domain].1 += self.free_on(worker);
        }
        let mut fits = (0..fitting.len()).filter(|&d| fitting[d].0 >= kind.gang);
        match fit {
            Fit::First => fits.next(),
            Fit::Best => fits.min_by_key(|&d| (fitting[d].1, d)),
        }
    }
}
