//! Placement of a gang on cells from which other work must be evicted.

use {
    super::place::{GangRequest, Placement, Scope, best_block, scopes},
    crate::{
        cell::{self, block_starts},
        job::{JobNumber, JobState},
        state::{SchedulerState, occupancy::Occupancy},
    },
    bronzespool_core::HashMap,
    std::collections::BTreeSet,
};

/// Placement of a gang with the jobs to evict.
#[derive(Clone, Debug)]
pub struct EvictionPlan {
    /// Cells of the gang.
    pub placement: Placement,
    /// Jobs to evict.
    pub victims: BTreeSet<JobNumber>,
    /// Sum or maximum of the costs of the victims.
    pub cost: u64,
}

/// Way in which the costs of the victims are combined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CostTotal {
    /// The sum of all costs.
    Sum,
    /// The highest cost.
    Max,
}

/// Finds the cheapest eviction that makes room for a gang. `cost` returns the cost of evicting a
/// job, or `None` if it must not be evicted.
pub fn plan_eviction<F>(
    state: &SchedulerState,
    occupancy: &Occupancy,
    request: &GangRequest,
    total: CostTotal,
    cost: F,
) -> Option<EvictionPlan>
where
    F: Fn(&JobState) -> Option<u64>,
{
    let order = request.order?;
    let mut prices: HashMap<JobNumber, Option<u64>> = HashMap::default();
    let mut best: Option<EvictionPlan> = None;
    for scope in scopes(occupancy, request.level()) {
        let mut search = EvictionSearch::new(occupancy, scope, request, order);
        let mut priced = Vec::new();
        for id in search.jobs() {
            let price =
                *prices.entry(id).or_insert_with(|| state.job_by_number(id).and_then(&cost));
            if let Some(price) = price {
                priced.push((price, id));
            }
        }
        priced.sort_unstable();
        let found = search.select_victims(state, &priced, total);
        if let Some(found) = found
            && best.as_ref().is_none_or(|b| found.cost < b.cost)
        {
            best = Some(found);
        }
    }
    best
}

/// Free accelerators of a scope as jobs are evicted from it.
struct EvictionSearch<'a> {
    occupancy: &'a Occupancy,
    scope: Scope<'a>,
    request: &'a GangRequest,
    order: u8,
    free_masks: HashMap<u32, u64>,
    block_count: u32,
}

impl<'a> EvictionSearch<'a> {
    fn new(
        occupancy: &'a Occupancy,
        scope: Scope<'a>,
        request: &'a GangRequest,
        order: u8,
    ) -> Self {
        let mut search = Self {
            occupancy,
            scope,
            request,
            order,
            free_masks: HashMap::default(),
            block_count: 0,
        };
        for &slot in scope.slots {
            let worker = occupancy.slot(slot);
            if worker.schedulable
                && worker.fits_share(&request.need(), request.accels())
                && worker.all != 0
            {
                let bits = worker.free() & scope.mask;
                search.block_count += block_starts(bits, order).count_ones();
                search.free_masks.insert(slot, bits);
            }
        }
        search
    }

    /// Jobs with members on usable workers of the scope.
    fn jobs(&self) -> BTreeSet<JobNumber> {
        let usable = self.scope.slots.iter().filter(|s| self.free_masks.contains_key(s));
        usable.flat_map(|&s| self.occupancy.slot(s).tasks.iter().map(|(id, _)| *id)).collect()
    }

    fn fits_gang(&self) -> bool {
        self.block_count >= self.request.members
    }

    /// Marks the accelerators of a job in the scope as free, or as allocated again.
    fn set_free(&mut self, job: &JobState, free: bool) {
        let Some(attempt) = job.attempt() else {
            return;
        };
        for (cell, _) in attempt.cells.iter().zip(&attempt.members).filter(|(_, m)| m.holds()) {
            let Some(slot) = self.occupancy.slot_of(&cell.instance) else {
                continue;
            };
            let reserved = self.occupancy.slot(slot).reserved;
            let Some(bits) = self.free_masks.get_mut(&slot) else {
                continue;
            };
            let mask = cell.mask() & self.scope.mask & !reserved;
            self.block_count -= block_starts(*bits, self.order).count_ones();
            *bits = if free { *bits | mask } else { *bits & !mask };
            self.block_count += block_starts(*bits, self.order).count_ones();
        }
    }

    /// Evicts jobs, cheapest first, until the gang fits, then drops every victim without which it
    /// still fits.
    fn select_victims(
        &mut self,
        state: &SchedulerState,
        priced: &[(u64, JobNumber)],
        total: CostTotal,
    ) -> Option<EvictionPlan> {
        let mut candidates = Vec::new();
        for &(price, id) in priced {
            if self.fits_gang() {
                break;
            }
            self.set_free(state.job_by_number(id)?, true);
            candidates.push((price, id));
        }
        if !self.fits_gang() {
            return None;
        }
        let mut victims = BTreeSet::new();
        let mut cost: u64 = 0;
        for &(price, id) in candidates.iter().rev() {
            let job = state.job_by_number(id)?;
            self.set_free(job, false);
            if self.fits_gang() {
                continue;
            }
            self.set_free(job, true);
            victims.insert(id);
            cost = match total {
                CostTotal::Sum => cost.saturating_add(price),
                CostTotal::Max => cost.max(price),
            };
        }
        Some(EvictionPlan { placement: self.place_gang()?, victims, cost })
    }

    /// Places the gang on the free accelerators, starting with the workers that have the fewest.
    fn place_gang(&self) -> Option<Placement> {
        let mut slots: Vec<_> = self.free_masks.iter().map(|(&slot, &bits)| (slot, bits)).collect();
        slots.sort_unstable_by_key(|(slot, bits)| (bits.count_ones(), *slot));
        let mut placement = Placement { cells: Vec::new(), cost: 0 };
        for (slot, mut bits) in slots {
            while placement.cells.len() < self.request.members as usize
                && let Some((outer, first)) = best_block(bits, self.order)
            {
                bits &= !cell::mask(first, 1 << self.order);
                placement.cost += (1_u64 << outer) - (1_u64 << self.order);
                placement.cells.push((slot, first));
            }
        }
        (placement.cells.len() == self.request.members as usize).then_some(placement)
    }
}
