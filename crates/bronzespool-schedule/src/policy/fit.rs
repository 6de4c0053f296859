//! Checks whether all guaranteed cells that are not bound can be packed at the same time.
//!
//! Blocks are aligned and their sizes are powers of two, so a greedy packing is exact: largest
//! block first, each out of the smallest free block that holds it. The same holds for whole
//! workers, since the blocks of a smaller worker fit into those of a larger one. Racks and larger
//! domains may differ in ways that cannot be ordered. For these, a bounded search starts with the
//! domains that have the fewest accelerators and tries other choices before it reports a shortfall.

use {
    crate::{
        cell::maximal_blocks,
        state::{
            SchedulerState,
            occupancy::{Domain, Occupancy, WorkerSlot},
        },
    },
    bronzespool_core::Level,
    std::collections::{BTreeMap, BTreeSet},
};

/// Largest number of complete choices of domains that the search evaluates.
const EVALUATIONS_MAX: usize = 2_000;

/// Levels above the worker, largest first.
const DOMAIN_LEVELS: [Level; 3] = [Level::Region, Level::Center, Level::Rack];

/// Number of demanded cells of each level.
pub type Demand = BTreeMap<Level, u32>;

/// Guaranteed cells of all teams that are not bound.
pub fn demand(state: &SchedulerState) -> Demand {
    let mut all = Demand::new();
    for team in state.teams().values() {
        for &level in team.shapes.keys() {
            *all.entry(level).or_default() += team.unbound(level);
        }
    }
    all
}

/// Unbound capacity by size, from which blocks and workers are packed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellSupply {
    /// Number of maximal unbound blocks of each order.
    blocks: [u32; 7],
    /// Number of workers without bound cells, by their number of accelerators.
    workers: BTreeMap<u32, u32>,
}

impl CellSupply {
    /// Unbound capacity of all workers.
    pub fn of(occupancy: &Occupancy) -> Self {
        let mut supply = Self::default();
        occupancy.slots.iter().for_each(|slot| supply.add(slot));
        supply
    }

    /// Adds the unbound capacity of a worker.
    pub fn add(&mut self, slot: &WorkerSlot) {
        let counts = maximal_blocks(slot.unbound());
        self.blocks.iter_mut().zip(counts).for_each(|(all, count)| *all += count);
        if slot.is_whole() {
            *self.workers.entry(slot.accels()).or_default() += 1;
        }
    }

    /// Removes the unbound capacity of a worker.
    pub fn remove(&mut self, slot: &WorkerSlot) {
        let counts = maximal_blocks(slot.unbound());
        self.blocks.iter_mut().zip(counts).for_each(|(all, count)| *all -= count);
        if slot.is_whole()
            && let Some(count) = self.workers.get_mut(&slot.accels())
        {
            *count -= 1;
        }
    }

    /// Demanded workers and blocks that do not fit.
    fn shortfall(&self, demand: &Demand) -> Demand {
        let mut missing = Demand::new();
        let mut free = self.blocks;
        let wanted = demand.get(&Level::Worker).copied().unwrap_or(0);
        let mut left = wanted;
        for (&accels, &count) in &self.workers {
            let taken = count.min(left);
            left -= taken;
            let counts = maximal_blocks(crate::cell::mask(0, accels));
            free.iter_mut().zip(counts).for_each(|(all, one)| *all -= one * taken);
        }
        if left > 0 {
            missing.insert(Level::Worker, left);
        }
        take_blocks(free, demand, &mut missing);
        missing
    }
}

/// Takes the demanded blocks, largest first, and splits larger free blocks as needed. Adds those
/// that do not fit to `missing`.
fn take_blocks(mut free: [u32; 7], demand: &Demand, missing: &mut Demand) {
    for order in (0..7_u8).rev() {
        let at = usize::from(order);
        let count = demand.get(&Level::Block(order)).copied().unwrap_or(0);
        let short = count.saturating_sub(free[at]);
        free[at] = free[at].saturating_sub(count);
        if short > 0 {
            missing.insert(Level::Block(order), short);
        }
        if at > 0 {
            free[at - 1] += 2 * free[at];
        }
    }
}

/// Whether any domain larger than a worker is demanded.
pub fn has_domains(demand: &Demand) -> bool {
    demand.iter().any(|(level, &count)| *level > Level::Worker && count > 0)
}

/// Cells of `demand` that do not fit into the unbound capacity.
pub fn shortfall(occupancy: &Occupancy, demand: &Demand) -> Demand {
    let mut search = PackingSearch { occupancy, demand, evaluated: 0, best: None };
    search.search_levels(&DOMAIN_LEVELS, &mut BTreeSet::new(), Demand::new());
    search.best.map(|(_, missing)| missing).unwrap_or_default()
}

/// Weight of missing cells, in accelerators. Larger levels weigh so much that a missing cell is
/// never offset by smaller ones.
pub fn weight(missing: &Demand) -> u64 {
    let one = |level: &Level| match level {
        Level::Block(order) => 1_u64 << order,
        Level::Worker => 64,
        Level::Rack => 1 << 12,
        Level::Center => 1 << 18,
        Level::Region => 1 << 24,
    };
    missing.iter().map(|(level, &count)| one(level) * u64::from(count)).sum()
}

/// Search for the whole domains whose choice leaves the smallest shortfall.
struct PackingSearch<'a> {
    occupancy: &'a Occupancy,
    demand: &'a Demand,
    evaluated: usize,
    best: Option<(u64, Demand)>,
}

impl PackingSearch<'_> {
    fn is_done(&self) -> bool {
        self.evaluated >= EVALUATIONS_MAX || self.best.as_ref().is_some_and(|(cost, _)| *cost == 0)
    }

    fn search_levels(&mut self, levels: &[Level], taken: &mut BTreeSet<u32>, missing: Demand) {
        let Some((&level, rest)) = levels.split_first() else {
            self.evaluate(taken, missing);
            return;
        };
        let wanted = self.demand.get(&level).copied().unwrap_or(0);
        if wanted == 0 {
            self.search_levels(rest, taken, missing);
            return;
        }
        let groups = self.equivalent_domains(level, taken);
        let usable = groups.iter().map(Vec::len).sum::<usize>();
        let count = usable.min(wanted as usize);
        let mut missing = missing;
        if count < wanted as usize {
            missing.insert(level, wanted - u32::try_from(count).unwrap_or(wanted));
        }
        self.choose_domains(&groups, count, rest, taken, &missing);
    }

    /// Usable domains, by their first slots, in groups of equal size and structure; the groups with
    /// the fewest accelerators come first.
    fn equivalent_domains(&self, level: Level, taken: &BTreeSet<u32>) -> Vec<Vec<u32>> {
        let domains = match level {
            Level::Region => &self.occupancy.regions,
            Level::Center => &self.occupancy.centers,
            _ => &self.occupancy.racks,
        };
        let mut groups: BTreeMap<(u32, Vec<Vec<u32>>), Vec<u32>> = BTreeMap::new();
        for domain in domains {
            if self.is_usable(domain, taken) {
                let key = self.profile(level, domain);
                groups.entry(key).or_default().push(domain.slots[0]);
            }
        }
        groups.into_values().collect()
    }

    fn is_usable(&self, domain: &Domain, taken: &BTreeSet<u32>) -> bool {
        let whole = |&s: &u32| {
            let slot = self.occupancy.slot(s);
            slot.all == 0 || (slot.is_whole() && !taken.contains(&s))
        };
        domain.slots.iter().all(whole)
            && domain.slots.iter().any(|&s| self.occupancy.slot(s).all != 0)
    }

    /// Number of accelerators of a domain, and the sizes of its workers by rack.
    fn profile(&self, level: Level, domain: &Domain) -> (u32, Vec<Vec<u32>>) {
        let total = domain.slots.iter().map(|&s| self.occupancy.slot(s).accels()).sum();
        let mut racks: BTreeMap<(u32, u32), Vec<u32>> = BTreeMap::new();
        for &s in &domain.slots {
            let slot = self.occupancy.slot(s);
            let center = if level == Level::Region { slot.center } else { 0 };
            racks.entry((center, slot.rack)).or_default().push(slot.accels());
        }
        let mut sizes: Vec<Vec<u32>> = racks.into_values().collect();
        sizes.iter_mut().for_each(|workers| workers.sort_unstable());
        sizes.sort_unstable();
        (total, sizes)
    }

    /// Tries every way of taking `count` domains out of the groups, smallest domains first.
    fn choose_domains(
        &mut self,
        groups: &[Vec<u32>],
        count: usize,
        rest: &[Level],
        taken: &mut BTreeSet<u32>,
        missing: &Demand,
    ) {
        if self.is_done() {
            return;
        }
        let level = DOMAIN_LEVELS[2 - rest.len()];
        let Some((group, others)) = groups.split_first() else {
            if count == 0 {
                self.search_levels(rest, taken, missing.clone());
            }
            return;
        };
        let left: usize = others.iter().map(Vec::len).sum();
        let most = count.min(group.len());
        let least = count.saturating_sub(left);
        for here in (least..=most).rev() {
            let slots: Vec<u32> = group[..here]
                .iter()
                .flat_map(|&first| self.occupancy.domain_of(level, first).iter().copied())
                .collect();
            taken.extend(slots.iter().copied());
            self.choose_domains(others, count - here, rest, taken, missing);
            slots.iter().for_each(|s| _ = taken.remove(s));
        }
    }

    fn evaluate(&mut self, taken: &BTreeSet<u32>, mut missing: Demand) {
        self.evaluated += 1;
        let mut supply = CellSupply::default();
        for (slot, number) in self.occupancy.slots.iter().zip(0_u32..) {
            if !taken.contains(&number) {
                supply.add(slot);
            }
        }
        missing.extend(supply.shortfall(self.demand));
        let cost = weight(&missing);
        if self.best.as_ref().is_none_or(|(least, _)| cost < *least) {
            self.best = Some((cost, missing));
        }
    }
}

/// Packing check that is updated as bindings are tried.
#[derive(Clone, Debug)]
pub struct PackingChecker {
    supply: CellSupply,
    /// Guaranteed cells that are not bound.
    pub demand: Demand,
    baseline: u64,
}

impl PackingChecker {
    /// Checker with the present shortfall as the baseline, which is zero in a healthy cluster.
    pub fn new(state: &SchedulerState, occupancy: &Occupancy) -> Self {
        let demand = demand(state);
        let baseline = weight(&shortfall(occupancy, &demand));
        Self { supply: CellSupply::of(occupancy), demand, baseline }
    }

    /// Removes a worker before its bound accelerators change.
    pub fn remove_slot(&mut self, slot: &WorkerSlot) {
        self.supply.remove(slot);
    }

    /// Adds a worker back after its bound accelerators have changed.
    pub fn add_slot(&mut self, slot: &WorkerSlot) {
        self.supply.add(slot);
    }

    /// Whether the shortfall is no larger than the baseline.
    pub fn still_packs(&self, occupancy: &Occupancy) -> bool {
        let missing = if has_domains(&self.demand) {
            shortfall(occupancy, &self.demand)
        } else {
            self.supply.shortfall(&self.demand)
        };
        weight(&missing) <= self.baseline
    }
}
