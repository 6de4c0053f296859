//! Cells for a gang out of cells that other work would have to leave.

use {
    super::place::{GangRequest, Placement, Scope, best_block, scopes},
    crate::{
        cell::{self, blocks},
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
    pub choice: Placement,
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
pub fn evict<F>(
    state: &SchedulerState,
    occupancy: &Occupancy,
    ask: &GangRequest,
    total: CostTotal,
    cost: F,
) -> Option<EvictionPlan>
where
    F: Fn(&JobState) -> Option<u64>,
{
    let order = ask.order?;
    let mut prices: HashMap<JobNumber, Option<u64>> = HashMap::default();
    let mut best: Option<EvictionPlan> = None;
    for scope in scopes(occupancy, ask.level()) {
        let mut clearing = Clearing::new(occupancy, scope, ask, order);
        let mut priced = Vec::new();
        for id in clearing.jobs() {
            let price = *prices.entry(id).or_insert_with(|| state.job_at(id).and_then(&cost));
            if let Some(price) = price {
                priced.push((price, id));
            }
        }
        priced.sort_unstable();
        let found = clearing.clear(state, &priced, total);
        if let Some(found) = found
            && best.as_ref().is_none_or(|b| found.cost < b.cost)
        {
            best = Some(found);
        }
    }
    best
}

/// Free accelerators of a scope as victims leave it.
struct Clearing<'a> {
    occupancy: &'a Occupancy,
    scope: Scope<'a>,
    ask: &'a GangRequest,
    order: u8,
    bits: HashMap<u32, u64>,
    count: u32,
}

impl<'a> Clearing<'a> {
    fn new(occupancy: &'a Occupancy, scope: Scope<'a>, ask: &'a GangRequest, order: u8) -> Self {
        let mut clearing =
            Self { occupancy, scope, ask, order, bits: HashMap::default(), count: 0 };
        for &slot in scope.slots {
            let worker = occupancy.slot(slot);
            if worker.schedulable && worker.slice_fits(&ask.need(), ask.accels()) && worker.all != 0
            {
                let bits = worker.free() & scope.mask;
                clearing.count += blocks(bits, order).count_ones();
                clearing.bits.insert(slot, bits);
            }
        }
        clearing
    }

    /// Jobs with accelerators in the scope.
    fn jobs(&self) -> BTreeSet<JobNumber> {
        let usable = self.scope.slots.iter().filter(|s| self.bits.contains_key(s));
        usable.flat_map(|&s| self.occupancy.slot(s).tasks.iter().map(|(id, _)| *id)).collect()
    }

    fn is_enough(&self) -> bool {
        self.count >= self.ask.members
    }

    /// Lets a job's accelerators in the scope go, or takes them back.
    fn set(&mut self, job: &JobState, free: bool) {
        let Some(attempt) = job.attempt() else {
            return;
        };
        for (held, _) in attempt.cells.iter().zip(&attempt.members).filter(|(_, m)| m.holds()) {
            let Some(slot) = self.occupancy.slot_of(&held.instance) else {
                continue;
            };
            let chosen = self.occupancy.slot(slot).reserved;
            let Some(bits) = self.bits.get_mut(&slot) else {
                continue;
            };
            let mask = held.mask() & self.scope.mask & !chosen;
            self.count -= blocks(*bits, self.order).count_ones();
            *bits = if free { *bits | mask } else { *bits & !mask };
            self.count += blocks(*bits, self.order).count_ones();
        }
    }

    /// Removes victims, cheapest first, until the gang fits; then keeps those not needed.
    fn clear(
        &mut self,
        state: &SchedulerState,
        priced: &[(u64, JobNumber)],
        total: CostTotal,
    ) -> Option<EvictionPlan> {
        let mut removed = Vec::new();
        for &(price, id) in priced {
            if self.is_enough() {
                break;
            }
            self.set(state.job_at(id)?, true);
            removed.push((price, id));
        }
        if !self.is_enough() {
            return None;
        }
        let mut victims = BTreeSet::new();
        let mut cost: u64 = 0;
        for &(price, id) in removed.iter().rev() {
            let job = state.job_at(id)?;
            self.set(job, false);
            if self.is_enough() {
                continue;
            }
            self.set(job, true);
            victims.insert(id);
            cost = match total {
                CostTotal::Sum => cost.saturating_add(price),
                CostTotal::Max => cost.max(price),
            };
        }
        Some(EvictionPlan { choice: self.cells()?, victims, cost })
    }

    /// Cells for the gang in what is free now.
    fn cells(&self) -> Option<Placement> {
        let mut slots: Vec<_> = self.bits.iter().map(|(&slot, &bits)| (slot, bits)).collect();
        slots.sort_unstable_by_key(|(slot, bits)| (bits.count_ones(), *slot));
        let mut choice = Placement { cells: Vec::new(), cost: 0 };
        for (slot, mut bits) in slots {
            while choice.cells.len() < self.ask.members as usize
                && let Some((outer, first)) = best_block(bits, self.order)
            {
                bits &= !cell::mask(first, 1 << self.order);
                choice.cost += (1_u64 << outer) - (1_u64 << self.order);
                choice.cells.push((slot, first));
            }
        }
        (choice.cells.len() == self.ask.members as usize).then_some(choice)
    }
}
