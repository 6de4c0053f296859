//! Free accelerators, cores and memory of all workers, and two ways of placing a gang on them.

use {
    crate::decisions::{Cluster, KindPlan, WorkerPlan},
    bronzespool_core::{HashMap, Level},
    std::cmp::Reverse,
};

/// Where one member runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Index of the worker.
    pub worker: usize,
    /// Bits of the accelerators held.
    pub mask: u64,
}

/// How a place is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
    /// The first domain, worker and block that hold the gang.
    First,
    /// The domain and the workers with the least left over.
    Best,
}

#[derive(Clone, Copy, Debug)]
struct Node {
    plan: WorkerPlan,
    free: u64,
    cores: u32,
    memory: u64,
    up: bool,
}

/// Free capacity by worker.
#[derive(Clone, Debug)]
pub struct Space {
    nodes: Vec<Node>,
}

const fn full(accels: u32) -> u64 {
    if accels >= 64 { u64::MAX } else { (1 << accels) - 1 }
}

/// Aligned blocks of `size` accelerators that are free in `free`.
fn blocks(free: u64, size: u32) -> impl Iterator<Item = u64> {
    let block = full(size);
    (0..64 / size).map(move |i| block << (i * size)).filter(move |b| free & b == *b)
}

/// Size of the largest aligned free block around `block`: small means little is broken up.
fn around(free: u64, block: u64, size: u32) -> u32 {
    let start = block.trailing_zeros();
    let mut size = size;
    while size < 64 {
        let wide = size * 2;
        let mask = full(wide) << (start / wide * wide);
        if free & mask != mask {
            break;
        }
        size = wide;
    }
    size
}

impl Node {
    fn room(&self, kind: &KindPlan) -> u32 {
        if !self.up {
            return 0;
        }
        let cores = self.cores / kind.cores.max(1);
        let memory = u32::try_from(self.memory / kind.memory.max(1)).unwrap_or(u32::MAX);
        let accels = match kind.accels {
            0 => u32::MAX,
            size => blocks(self.free, size).count() as u32,
        };
        cores.min(memory).min(accels)
    }

    /// Takes one member's block; the caller has checked that there is room.
    fn take(&mut self, kind: &KindPlan, fit: Fit) -> u64 {
        let size = kind.accels;
        let mask = match (size, fit) {
            (0, _) => 0,
            (_, Fit::First) => blocks(self.free, size).next().unwrap_or(0),
            (_, Fit::Best) => {
                blocks(self.free, size).min_by_key(|&b| around(self.free, b, size)).unwrap_or(0)
            }
        };
        self.free &= !mask;
        self.cores -= kind.cores;
        self.memory -= kind.memory;
        mask
    }
}

impl Space {
    /// All of `cluster`, free and up.
    pub fn new(cluster: &Cluster) -> Self {
        let node = |plan: &WorkerPlan| Node {
            plan: *plan,
            free: full(plan.accels),
            cores: plan.cores,
            memory: plan.memory,
            up: true,
        };
        Self { nodes: cluster.workers.iter().map(node).collect() }
    }

    /// `free` accelerators side by side, in the racks and workers with the most; the others taken.
    pub fn packed(cluster: &Cluster, free: u32) -> Self {
        let mut space = Self::new(cluster);
        let mut racks: HashMap<usize, u32> = HashMap::default();
        for worker in &cluster.workers {
            *racks.entry(worker.rack).or_default() += worker.accels;
        }
        let key = |n: &Node| {
            let rack = n.plan.rack;
            (n.plan.center, Reverse(racks[&rack]), rack, Reverse(n.plan.accels))
        };
        let mut order: Vec<usize> = (0..space.nodes.len()).collect();
        order.sort_by_key(|&w| key(&space.nodes[w]));
        let mut left = free;
        for worker in order {
            let node = &mut space.nodes[worker];
            let part = node.plan.accels.min(left);
            node.free = full(part);
            left -= part;
        }
        space
    }

    /// Marks a worker as lost or as back; what it held must have been given back before.
    pub fn set_up(&mut self, worker: usize, up: bool) {
        self.nodes[worker].up = up;
    }

    /// Whether a worker is up.
    pub fn is_up(&self, worker: usize) -> bool {
        self.nodes[worker].up
    }

    /// Number of workers.
    pub fn workers(&self) -> usize {
        self.nodes.len()
    }

    /// Free accelerators of the workers that are up.
    pub fn free(&self) -> u32 {
        self.nodes.iter().filter(|n| n.up).map(|n| n.free.count_ones()).sum()
    }

    /// Free accelerators of one worker, none if it is down.
    pub fn free_of(&self, worker: usize) -> u32 {
        let node = &self.nodes[worker];
        if node.up { node.free.count_ones() } else { 0 }
    }

    /// Members of `kind` that fit on a worker now.
    pub fn room(&self, worker: usize, kind: &KindPlan) -> u32 {
        self.nodes[worker].room(kind)
    }

    /// Number of the domain of `level` that a worker lies in.
    pub fn domain(&self, worker: usize, level: Level) -> usize {
        let plan = &self.nodes[worker].plan;
        match level {
            Level::Block(_) | Level::Worker => worker,
            Level::Rack => plan.rack,
            Level::Center => plan.center,
            Level::Region => plan.region,
        }
    }

    /// Takes the slots if all are free, and tells whether it did.
    pub fn take(&mut self, slots: &[Slot], kind: &KindPlan) -> bool {
        for (i, slot) in slots.iter().enumerate() {
            let node = &mut self.nodes[slot.worker];
            let fits = node.up
                && node.free & slot.mask == slot.mask
                && node.cores >= kind.cores
                && node.memory >= kind.memory;
            if !fits {
                self.give(&slots[..i], kind);
                return false;
            }
            node.free &= !slot.mask;
            node.cores -= kind.cores;
            node.memory -= kind.memory;
        }
        true
    }

    /// Gives the slots back.
    pub fn give(&mut self, slots: &[Slot], kind: &KindPlan) {
        for slot in slots {
            let node = &mut self.nodes[slot.worker];
            node.free |= slot.mask;
            node.cores += kind.cores;
            node.memory += kind.memory;
        }
    }

    /// Whether the slots are a whole gang of `kind`: the right number of aligned blocks of the
    /// right size, all within one domain of the level asked for.
    pub fn is_gang(&self, slots: &[Slot], kind: &KindPlan) -> bool {
        let domain = slots.first().map(|s| self.domain(s.worker, kind.adjacent));
        let aligned = |mask: u64| {
            kind.accels == 0 && mask == 0
                || kind.accels > 0 && blocks(u64::MAX, kind.accels).any(|b| b == mask)
        };
        slots.len() == kind.gang as usize
            && slots.iter().all(|s| aligned(s.mask))
            && slots.iter().all(|s| Some(self.domain(s.worker, kind.adjacent)) == domain)
    }

    /// Finds slots for the whole gang and takes them, leaving out the workers in `avoid`.
    pub fn place(&mut self, kind: &KindPlan, fit: Fit, avoid: &[usize]) -> Option<Vec<Slot>> {
        let domain = self.choose(kind, fit, avoid)?;
        let inside = |&w: &usize| self.domain(w, kind.adjacent) == domain && !avoid.contains(&w);
        let mut workers: Vec<usize> = (0..self.nodes.len()).filter(inside).collect();
        if fit == Fit::Best {
            workers.sort_by_key(|&w| (self.nodes[w].free.count_ones(), w));
        }
        let mut slots = Vec::with_capacity(kind.gang as usize);
        for worker in workers {
            while slots.len() < kind.gang as usize && self.nodes[worker].room(kind) > 0 {
                let mask = self.nodes[worker].take(kind, fit);
                slots.push(Slot { worker, mask });
            }
        }
        Some(slots)
    }

    fn choose(&self, kind: &KindPlan, fit: Fit, avoid: &[usize]) -> Option<usize> {
        let mut rooms: Vec<(u32, u32)> = Vec::new();
        for worker in 0..self.nodes.len() {
            if avoid.contains(&worker) {
                continue;
            }
            let domain = self.domain(worker, kind.adjacent);
            if rooms.len() <= domain {
                rooms.resize(domain + 1, (0, 0));
            }
            rooms[domain].0 = rooms[domain].0.saturating_add(self.nodes[worker].room(kind));
            rooms[domain].1 += self.free_of(worker);
        }
        let mut fits = (0..rooms.len()).filter(|&d| rooms[d].0 >= kind.gang);
        match fit {
            Fit::First => fits.next(),
            Fit::Best => fits.min_by_key(|&d| (rooms[d].1, d)),
        }
    }
}
