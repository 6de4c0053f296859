//! Cells for a gang out of cells that other work would have to leave.

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

/// Cells for a gang and the work that must leave them.
#[derive(Clone, Debug)]
pub struct EvictionPlan {
    /// The cells.
    pub placement: Placement,
    /// Jobs that must leave.
    pub victims: BTreeSet<JobNumber>,
    /// Sum or maximum of the victims' costs.
    pub cost: u64,
}

/// How the costs of the victims add up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CostTotal {
    /// Each victim costs.
    Sum,
    /// The dearest victim counts.
    Max,
}

/// Cheapest cells for a gang; `cost` prices a job that would have to leave, or forbids it.
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

/// Free accelerators of a scope as victims leave it.
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

    /// Jobs with accelerators in the scope.
    fn jobs(&self) -> BTreeSet<JobNumber> {
        let usable = self.scope.slots.iter().filter(|s| self.free_masks.contains_key(s));
        usable.flat_map(|&s| self.occupancy.slot(s).tasks.iter().map(|(id, _)| *id)).collect()
    }

    fn fits_gang(&self) -> bool {
        self.block_count >= self.request.members
    }

    /// Lets a job's accelerators in the scope go, or takes them back.
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

    /// Removes victims, cheapest first, until the gang fits; then keeps those not needed.
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

    /// Cells for the gang in what is free now.
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
