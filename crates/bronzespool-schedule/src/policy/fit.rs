//! Whether guaranteed cells that are not in use can all be packed at once.
//!
//! Blocks are powers of two and aligned, so that taking the largest first, each out of the
//! smallest place that holds it, is exact. The same holds for whole workers, since the blocks of a
//! smaller worker fit into those of a larger one. Racks and larger domains may differ in ways that
//! cannot be ordered: there the fewest accelerators go first, and a bounded search tries other
//! choices before it says no.

use {
    crate::{
        cell::census,
        state::{
            SchedulerState,
            occupancy::{Domain, Occupancy, WorkerSlot},
        },
    },
    bronzespool_core::Level,
    std::collections::{BTreeMap, BTreeSet},
};

/// Most choices of domains that the search tries.
const SEARCH_MAX: usize = 2_000;

/// Levels of whole domains, largest first.
const LEVELS: [Level; 3] = [Level::Region, Level::Center, Level::Rack];

/// Guaranteed cells of all teams that are not in use, by level.
pub type Demand = BTreeMap<Level, u32>;

/// Cells demanded by all teams together.
pub fn demand(state: &SchedulerState) -> Demand {
    let mut all = Demand::new();
    for team in state.teams().values() {
        for &level in team.shapes.keys() {
            *all.entry(level).or_default() += team.unbound(level);
        }
    }
    all
}

/// Unbound cells by size: enough to pack blocks and workers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CellSupply {
    blocks: [u32; 7],
    workers: BTreeMap<u32, u32>,
}

impl CellSupply {
    /// Supply of the whole grid.
    pub fn of(occupancy: &Occupancy) -> Self {
        let mut supply = Self::default();
        occupancy.slots.iter().for_each(|slot| supply.add(slot));
        supply
    }

    /// Adds the unbound cells of a slot.
    pub fn add(&mut self, slot: &WorkerSlot) {
        let counts = census(slot.unbound());
        self.blocks.iter_mut().zip(counts).for_each(|(all, count)| *all += count);
        if slot.is_whole() {
            *self.workers.entry(slot.accels()).or_default() += 1;
        }
    }

    /// Takes the unbound cells of a slot away.
    pub fn remove(&mut self, slot: &WorkerSlot) {
        let counts = census(slot.unbound());
        self.blocks.iter_mut().zip(counts).for_each(|(all, count)| *all -= count);
        if slot.is_whole()
            && let Some(count) = self.workers.get_mut(&slot.accels())
        {
            *count -= 1;
        }
    }

    /// Cells of workers and blocks that do not fit.
    fn shortfall(&self, demand: &Demand) -> Demand {
        let mut missing = Demand::new();
        let mut free = self.blocks;
        let wanted = demand.get(&Level::Worker).copied().unwrap_or(0);
        let mut left = wanted;
        for (&accels, &count) in &self.workers {
            let taken = count.min(left);
            left -= taken;
            let counts = census(crate::cell::mask(0, accels));
            free.iter_mut().zip(counts).for_each(|(all, one)| *all -= one * taken);
        }
        if left > 0 {
            missing.insert(Level::Worker, left);
        }
        take_blocks(free, demand, &mut missing);
        missing
    }
}

/// Takes blocks from the largest to the smallest, splitting larger ones at need.
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

/// Whether any cell larger than a worker is demanded.
pub fn has_domains(demand: &Demand) -> bool {
    demand.iter().any(|(level, &count)| *level > Level::Worker && count > 0)
}

/// Cells of `demand` that do not fit into the unbound part of the grid, by level.
pub fn shortfall(occupancy: &Occupancy, demand: &Demand) -> Demand {
    let mut search = Search { occupancy, demand, tried: 0, best: None };
    search.levels(&LEVELS, &mut BTreeSet::new(), Demand::new());
    search.best.map(|(_, missing)| missing).unwrap_or_default()
}

/// Weight of missing cells in accelerators; larger levels weigh so much that one is never traded
/// away for smaller ones.
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

/// Search over which whole domains to take.
struct Search<'a> {
    occupancy: &'a Occupancy,
    demand: &'a Demand,
    tried: usize,
    best: Option<(u64, Demand)>,
}

impl Search<'_> {
    fn is_over(&self) -> bool {
        self.tried >= SEARCH_MAX || self.best.as_ref().is_some_and(|(cost, _)| *cost == 0)
    }

    fn levels(&mut self, levels: &[Level], taken: &mut BTreeSet<u32>, missing: Demand) {
        let Some((&level, rest)) = levels.split_first() else {
            self.leaf(taken, missing);
            return;
        };
        let wanted = self.demand.get(&level).copied().unwrap_or(0);
        if wanted == 0 {
            self.levels(rest, taken, missing);
            return;
        }
        let groups = self.groups(level, taken);
        let usable = groups.iter().map(Vec::len).sum::<usize>();
        let count = usable.min(wanted as usize);
        let mut missing = missing;
        if count < wanted as usize {
            missing.insert(level, wanted - u32::try_from(count).unwrap_or(wanted));
        }
        self.choose(&groups, count, rest, taken, &missing);
    }

    /// Usable domains in groups that are alike, those with the fewest accelerators first.
    fn groups(&self, level: Level, taken: &BTreeSet<u32>) -> Vec<Vec<u32>> {
        let domains = match level {
            Level::Region => &self.occupancy.regions,
            Level::Center => &self.occupancy.centers,
            _ => &self.occupancy.racks,
        };
        let mut groups: BTreeMap<(u32, Vec<Vec<u32>>), Vec<u32>> = BTreeMap::new();
        for domain in domains {
            if self.usable(domain, taken) {
                let key = self.profile(level, domain);
                groups.entry(key).or_default().push(domain.slots[0]);
            }
        }
        groups.into_values().collect()
    }

    fn usable(&self, domain: &Domain, taken: &BTreeSet<u32>) -> bool {
        let whole = |&s: &u32| {
            let slot = self.occupancy.slot(s);
            slot.all == 0 || (slot.is_whole() && !taken.contains(&s))
        };
        domain.slots.iter().all(whole)
            && domain.slots.iter().any(|&s| self.occupancy.slot(s).all != 0)
    }

    /// Accelerators of a domain, and the sizes of its workers by rack.
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

    /// Takes `count` domains out of the groups in every way, smallest first.
    fn choose(
        &mut self,
        groups: &[Vec<u32>],
        count: usize,
        rest: &[Level],
        taken: &mut BTreeSet<u32>,
        missing: &Demand,
    ) {
        if self.is_over() {
            return;
        }
        let level = LEVELS[2 - rest.len()];
        let Some((group, others)) = groups.split_first() else {
            if count == 0 {
                self.levels(rest, taken, missing.clone());
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
            self.choose(others, count - here, rest, taken, missing);
            slots.iter().for_each(|s| _ = taken.remove(s));
        }
    }

    fn leaf(&mut self, taken: &BTreeSet<u32>, mut missing: Demand) {
        self.tried += 1;
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

/// Shortfall that follows binds as they are tried.
#[derive(Clone, Debug)]
pub struct PackingChecker {
    supply: CellSupply,
    /// Guaranteed cells not in use.
    pub demand: Demand,
    base: u64,
}

impl PackingChecker {
    /// Checker that holds the grid to its present shortfall, which is none in health.
    pub fn new(state: &SchedulerState, occupancy: &Occupancy) -> Self {
        let demand = demand(state);
        let base = weight(&shortfall(occupancy, &demand));
        Self { supply: CellSupply::of(occupancy), demand, base }
    }

    /// Takes a slot out before its bound cells change.
    pub fn before(&mut self, slot: &WorkerSlot) {
        self.supply.remove(slot);
    }

    /// Enters a slot after its bound cells changed.
    pub fn after(&mut self, slot: &WorkerSlot) {
        self.supply.add(slot);
    }

    /// Whether the guarantees pack as well as before.
    pub fn holds(&self, occupancy: &Occupancy) -> bool {
        let missing = if has_domains(&self.demand) {
            shortfall(occupancy, &self.demand)
        } else {
            self.supply.shortfall(&self.demand)
        };
        weight(&missing) <= self.base
    }
}
