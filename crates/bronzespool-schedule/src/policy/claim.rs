//! Placement of a gang on its team's guarantee.
//!
//! When a team starts to use a guaranteed cell, the cell is bound to a place and all of it is kept
//! for the team. Other work in the cell is borrowed and can be stopped. A claim therefore fails
//! only if the team itself uses up the guarantee, or if in every place the other guarantees could
//! no longer be packed.

use {
    super::{
        fit::PackingChecker,
        place::{GangRequest, Scope, best_block, scopes},
    },
    crate::{
        cell::{self, CellBinding, block_starts},
        state::{SchedulerState, occupancy::Occupancy, team::TeamState},
    },
    bronzespool_core::{Level, Team},
    std::collections::BTreeMap,
};

/// Placement of a gang on its team's guarantee.
#[derive(Clone, Debug)]
pub struct GuaranteeClaim {
    /// Slot index and first accelerator of each member.
    pub cells: Vec<(u32, u32)>,
    /// Guaranteed cells of the team that become bound.
    pub bindings: Vec<CellBinding>,
    /// Number of accelerators to reclaim from other work; costly ones count several times.
    pub reclaimed: u64,
    /// Number of accelerators in larger free blocks that the placement splits.
    pub split: u64,
}

/// Extra cost of reclaiming a costly accelerator, as a number of accelerators that are not costly.
const COSTLY_WEIGHT: u32 = 4;

/// Cost of a place for a guaranteed cell, compared in this order: members that find no place in it,
/// accelerators to reclaim, size of the cell to split, size of the free block to split, free
/// accelerators of the worker.
type OfferCost = (u32, u32, u32, u32, u32);

/// Search for the cheapest claim. It changes the occupancy and rolls all changes back.
struct ClaimSearch<'a> {
    occupancy: &'a mut Occupancy,
    request: &'a GangRequest,
    /// Order of each member's block.
    order: u8,
    guarantee: &'a TeamState,
    /// Slot indexes and masks that each bound cell of the team covers.
    bound_cells: Vec<Vec<(u32, u64)>>,
    /// Number of the team's cells that are not bound, by level.
    unbound: BTreeMap<Level, u32>,
    checker: &'a mut PackingChecker,
    /// Slots that are not used.
    avoided: &'a [u32],
    /// Mask for each slot of the accelerators that cost more to reclaim.
    costly: &'a [u64],
    /// Whether to bind cells that hold more of the remaining members first, instead of the
    /// smallest.
    largest_first: bool,
    /// Changed slots with their previous masks of bound and of guaranteed accelerators.
    undo_log: Vec<(u32, u64, u64)>,
}

/// Finds the cheapest placement of a gang on the guarantee of `team`, if any.
///
/// The slots in `avoided` are not used. The accelerators in `costly`, which holds a mask for each
/// slot, cost more to reclaim.
pub fn claim_cells(
    state: &SchedulerState,
    occupancy: &mut Occupancy,
    team: &Team,
    request: &GangRequest,
    avoided: &[u32],
    costly: &[u64],
) -> Option<GuaranteeClaim> {
    let guarantee = state.teams().get(team)?;
    let order = request.order?;
    if !has_free_block(occupancy, guarantee, order) {
        return None;
    }
    let scopes: Vec<(Vec<u32>, u64)> = scopes(occupancy, request.level())
        .into_iter()
        .map(|s| (s.slots.to_vec(), s.mask))
        .collect();
    let mut checker = PackingChecker::new(state, occupancy);
    let bound_cells = guarantee.bindings.iter().map(|binding| occupancy.covers(binding)).collect();
    let unbound = guarantee.shapes.keys().map(|&l| (l, guarantee.unbound(l))).collect();
    let mut search = ClaimSearch {
        occupancy,
        request,
        order,
        guarantee,
        bound_cells,
        unbound,
        checker: &mut checker,
        avoided,
        costly,
        largest_first: false,
        undo_log: Vec::new(),
    };
    let best = search.best_claim(&scopes);
    if best.is_some() || request.members == 1 {
        return best;
    }
    search.largest_first = true;
    search.best_claim(&scopes)
}

/// Whether any guaranteed cell of the team, bound or not, has a block left: a cheap check before
/// the search.
fn has_free_block(occupancy: &Occupancy, guarantee: &TeamState, order: u8) -> bool {
    let unbound = |level: &Level| *level >= Level::Block(order) && guarantee.unbound(*level) > 0;
    let left = |&(slot, mask): &(u32, u64)| {
        block_starts(mask & !occupancy.slot(slot).guaranteed, order) != 0
    };
    guarantee.shapes.keys().any(unbound)
        || guarantee.bindings.iter().any(|binding| occupancy.covers(binding).iter().any(left))
}

impl ClaimSearch<'_> {
    /// Finds the cheapest claim in any of the scopes.
    fn best_claim(&mut self, scopes: &[(Vec<u32>, u64)]) -> Option<GuaranteeClaim> {
        let mut best: Option<GuaranteeClaim> = None;
        for (slots, mask) in scopes {
            let Some(found) = self.try_scope(Scope { slots, mask: *mask }) else {
                continue;
            };
            let ideal = found.reclaimed == 0 && found.split == 0;
            let cost = |claim: &GuaranteeClaim| (claim.reclaimed, claim.split);
            if best.as_ref().is_none_or(|best| cost(&found) < cost(best)) {
                best = Some(found);
            }
            if ideal {
                break;
            }
        }
        best
    }

    /// Tries to place all members within a scope, then rolls the changes back.
    fn try_scope(&mut self, scope: Scope<'_>) -> Option<GuaranteeClaim> {
        let bound_cells = self.bound_cells.clone();
        let unbound = self.unbound.clone();
        let demand = self.checker.demand.clone();
        let mut claim =
            GuaranteeClaim { cells: Vec::new(), bindings: Vec::new(), reclaimed: 0, split: 0 };
        let complete = (0..self.request.members).all(|_| self.place_member(scope, &mut claim));
        self.roll_back(0);
        self.bound_cells = bound_cells;
        self.unbound = unbound;
        self.checker.demand = demand;
        complete.then_some(claim)
    }

    fn place_member(&mut self, scope: Scope<'_>, claim: &mut GuaranteeClaim) -> bool {
        self.place_in_bound_cell(scope, claim)
            || (self.bind_another_cell(scope, claim) && self.place_in_bound_cell(scope, claim))
    }

    fn mark(&mut self, slot: u32, bound: u64, guaranteed: u64) {
        let worker = self.occupancy.slot_mut(slot);
        self.undo_log.push((slot, worker.bound, worker.guaranteed));
        self.checker.remove_slot(worker);
        worker.bound |= bound;
        worker.guaranteed |= guaranteed;
        self.checker.add_slot(worker);
    }

    /// Rolls changes back until `depth` changes are left.
    fn roll_back(&mut self, depth: usize) {
        while self.undo_log.len() > depth
            && let Some((slot, bound, guaranteed)) = self.undo_log.pop()
        {
            let worker = self.occupancy.slot_mut(slot);
            self.checker.remove_slot(worker);
            worker.bound = bound;
            worker.guaranteed = guaranteed;
            self.checker.add_slot(worker);
        }
    }

    /// Places a member in a guaranteed cell that is already bound.
    fn place_in_bound_cell(&mut self, scope: Scope<'_>, claim: &mut GuaranteeClaim) -> bool {
        let mut best: Option<((u32, u8), u32, u32)> = None;
        for &(slot, cover) in self.bound_cells.iter().flatten() {
            if !scope.slots.contains(&slot) || self.avoided.contains(&slot) {
                continue;
            }
            let worker = self.occupancy.slot(slot);
            if !worker.schedulable
                || !worker.fits_share(&self.request.need(), self.request.accels())
            {
                continue;
            }
            let bits = cover & scope.mask & worker.all & !worker.guaranteed;
            let Some((reclaimed, outer, first)) =
                cheapest_block(bits, worker.used | worker.reserved, self.costly(slot), self.order)
            else {
                continue;
            };
            if best.is_none_or(|(cost, _, _)| (reclaimed, outer) < cost) {
                best = Some(((reclaimed, outer), slot, first));
            }
        }
        let Some(((reclaimed, outer), slot, first)) = best else {
            return false;
        };
        self.mark(slot, 0, cell::mask(first, 1 << self.order));
        claim.cells.push((slot, first));
        claim.reclaimed += u64::from(reclaimed);
        claim.split += (1_u64 << outer) - (1_u64 << self.order);
        true
    }

    /// Binds one more guaranteed cell, starting with the smallest level that holds a member, or
    /// with the largest level if `largest_first` is set.
    fn bind_another_cell(&mut self, scope: Scope<'_>, claim: &mut GuaranteeClaim) -> bool {
        let mut levels: Vec<Level> = self.guarantee.shapes.keys().copied().collect();
        if self.largest_first {
            levels.reverse();
        }
        levels.into_iter().any(|level| {
            let left = self.unbound.get(&level).copied().unwrap_or(0);
            level >= Level::Block(self.order) && left > 0 && self.bind_cell(level, scope, claim)
        })
    }

    fn bind_cell(&mut self, level: Level, scope: Scope<'_>, claim: &mut GuaranteeClaim) -> bool {
        let mut offers = match level {
            Level::Block(order) => self.block_offers(order, scope),
            _ => {
                let placed = u32::try_from(claim.cells.len()).unwrap_or(u32::MAX);
                self.domain_offers(level, scope, self.request.members - placed)
            }
        };
        offers.sort_unstable();
        *self.checker.demand.get_mut(&level).expect("a level of a guarantee is demanded") -= 1;
        for (_, slot, first) in offers {
            let binding =
                CellBinding { level, instance: self.occupancy.slot(slot).instance.clone(), first };
            let depth = self.undo_log.len();
            let covers = self.occupancy.covers(&binding);
            covers.iter().for_each(|&(s, mask)| self.mark(s, mask, 0));
            if self.checker.still_packs(self.occupancy) {
                *self.unbound.get_mut(&level).expect("checked by the caller") -= 1;
                self.bound_cells.push(covers);
                claim.bindings.push(binding);
                return true;
            }
            self.roll_back(depth);
        }
        *self.checker.demand.get_mut(&level).expect("a level of a guarantee is demanded") += 1;
        false
    }

    fn costly(&self, slot: u32) -> u64 {
        self.costly.get(slot as usize).copied().unwrap_or(0)
    }

    /// Whether a member may be placed on the worker.
    fn fits_worker(&self, slot: u32) -> bool {
        let fits =
            self.occupancy.slot(slot).fits_share(&self.request.need(), self.request.accels());
        fits && !self.avoided.contains(&slot)
    }

    /// Candidate places for a block: cost, slot index, first accelerator.
    fn block_offers(&self, order: u8, scope: Scope<'_>) -> Vec<(OfferCost, u32, u32)> {
        let mut offers = Vec::new();
        for &slot in scope.slots {
            let worker = self.occupancy.slot(slot);
            if !self.fits_worker(slot) {
                continue;
            }
            let mut starts = block_starts(worker.unbound(), order);
            while starts != 0 {
                let first = starts.trailing_zeros();
                starts &= starts - 1;
                let block = cell::mask(first, 1 << order);
                let inner = block & scope.mask;
                let busy = worker.used | worker.reserved;
                if let Some((reclaimed, _, start)) =
                    cheapest_block(inner, busy, self.costly(slot), self.order)
                {
                    let outer = outer_order(worker.unbound(), first, order);
                    let split = outer_order(worker.all & !busy, start, self.order);
                    let free = (worker.all & !busy).count_ones();
                    let cost = (0, reclaimed, u32::from(outer), u32::from(split), free);
                    offers.push((cost, slot, first));
                }
            }
        }
        offers
    }

    /// Number of the `left` members that find no place in a domain.
    fn unplaced_members(&self, domain: &[u32], scope: Scope<'_>, left: u32) -> u32 {
        let inside = domain.iter().filter(|&&s| scope.slots.contains(&s) && self.fits_worker(s));
        let places = inside.map(|&s| {
            block_starts(self.occupancy.slot(s).all & scope.mask, self.order).count_ones()
        });
        left.saturating_sub(places.sum())
    }

    /// Candidate places for a worker or a larger domain: cost, slot index, zero.
    fn domain_offers(
        &self,
        level: Level,
        scope: Scope<'_>,
        left: u32,
    ) -> Vec<(OfferCost, u32, u32)> {
        let mut offers = Vec::new();
        let mut seen: Vec<u32> = Vec::new();
        for &slot in scope.slots {
            let worker = self.occupancy.slot(slot);
            let domain = self.occupancy.domain_of(level, slot);
            let whole = domain
                .iter()
                .all(|&s| self.occupancy.slot(s).is_whole() || self.occupancy.slot(s).all == 0);
            if seen.contains(&domain[0]) || !whole || worker.all == 0 {
                continue;
            }
            seen.push(domain[0]);
            let costs = domain.iter().filter(|s| scope.slots.contains(s)).filter_map(|&s| {
                let worker = self.occupancy.slot(s);
                if !self.fits_worker(s) {
                    return None;
                }
                let free = (worker.all & !(worker.used | worker.reserved)).count_ones();
                let place = cheapest_block(
                    worker.all & scope.mask,
                    worker.used | worker.reserved,
                    self.costly(s),
                    self.order,
                );
                place.map(|(reclaimed, outer, _)| (reclaimed, u32::from(outer), free))
            });
            let Some((reclaimed, split, free)) = costs.min() else {
                continue;
            };
            let accels: u32 = domain.iter().map(|&s| self.occupancy.slot(s).accels()).sum();
            let unplaced =
                if self.largest_first { self.unplaced_members(domain, scope, left) } else { 0 };
            offers.push(((unplaced, reclaimed, accels, split, free), slot, 0));
        }
        offers
    }
}

/// Finds the block of `order` in `bits` whose `busy` accelerators are cheapest to reclaim. Among
/// blocks without busy accelerators, takes one in the smallest larger block. Returns the cost to
/// reclaim, the order of the larger block and the first accelerator.
fn cheapest_block(bits: u64, busy: u64, costly: u64, order: u8) -> Option<(u32, u8, u32)> {
    if let Some((outer, first)) = best_block(bits & !busy, order) {
        return Some((0, outer, first));
    }
    let mut best: Option<(u32, u8, u32)> = None;
    let mut starts = block_starts(bits, order);
    while starts != 0 {
        let first = starts.trailing_zeros();
        starts &= starts - 1;
        let block = cell::mask(first, 1 << order) & busy;
        let reclaimed = block.count_ones() + COSTLY_WEIGHT * (block & costly).count_ones();
        if best.is_none_or(|(least, _, _)| reclaimed < least) {
            best = Some((reclaimed, outer_order(bits, first, order), first));
        }
    }
    best
}

/// Order of the largest aligned block in `bits` around the block at `first`.
fn outer_order(bits: u64, first: u32, order: u8) -> u8 {
    let is_free = |outer: u8| {
        let start = first >> outer << outer;
        let block = cell::mask(start, 1 << outer);
        bits & block == block
    };
    (order..7).rev().find(|&outer| is_free(outer)).unwrap_or(order)
}
