//! Cells for a gang out of its team's own guarantee.
//!
//! A guaranteed cell that a team starts to use is bound to a place; the rest of it stays the
//! team's. Other work in it is borrowed and can be stopped, so a claim fails only if the guarantee
//! is used up by the team itself, or if no place keeps all other guarantees packable.

use {
    super::{
        fit::PackingChecker,
        place::{GangRequest, Scope, best_block, scopes},
    },
    crate::{
        cell::{self, CellBinding, blocks},
        state::{SchedulerState, occupancy::Occupancy, team::TeamState},
    },
    bronzespool_core::{Level, Team},
    std::collections::BTreeMap,
};

/// Cells on the team's own guarantee.
#[derive(Clone, Debug)]
pub struct GuaranteeClaim {
    /// Slot and first accelerator of each member.
    pub cells: Vec<(u32, u32)>,
    /// Guaranteed cells that the team starts to use.
    pub bindings: Vec<CellBinding>,
    /// Accelerators that other work must give back.
    pub taken: u64,
    /// Accelerators of larger blocks that are broken up.
    pub split: u64,
}

/// Extra cost of an accelerator whose work would be lost.
const DEAR: u32 = 4;

/// Cost of a place for a guaranteed cell: members left over, accelerators taken, size of the cell
/// broken up, size of the free block broken up, free accelerators of the worker.
type Rank = (u32, u32, u32, u32, u32);

/// One attempt to place a gang, with what it changed.
struct Trial<'a> {
    occupancy: &'a mut Occupancy,
    ask: &'a GangRequest,
    order: u8,
    guarantee: &'a TeamState,
    cells: Vec<Vec<(u32, u64)>>,
    unbound: BTreeMap<Level, u32>,
    checker: &'a mut PackingChecker,
    avoid: &'a [u32],
    dear: &'a [u64],
    /// Whether cells that hold more of the members left go first, in place of the smallest.
    roomy: bool,
    undo: Vec<(u32, u64, u64)>,
}

/// Cheapest place for a gang on the guarantee of `team`, if any.
///
/// Slots in `avoid` are not used. Accelerators in `dear`, by slot, count for more where they must be
/// given back.
pub fn claim(
    state: &SchedulerState,
    occupancy: &mut Occupancy,
    team: &Team,
    ask: &GangRequest,
    avoid: &[u32],
    dear: &[u64],
) -> Option<GuaranteeClaim> {
    let guarantee = state.teams().get(team)?;
    let order = ask.order?;
    if !has_room(occupancy, guarantee, order) {
        return None;
    }
    let bounds: Vec<(Vec<u32>, u64)> =
        scopes(occupancy, ask.level()).into_iter().map(|s| (s.slots.to_vec(), s.mask)).collect();
    let mut checker = PackingChecker::new(state, occupancy);
    let cells = guarantee.bindings.iter().map(|binding| occupancy.covers(binding)).collect();
    let unbound = guarantee.shapes.keys().map(|&l| (l, guarantee.unbound(l))).collect();
    let mut trial = Trial {
        occupancy,
        ask,
        order,
        guarantee,
        cells,
        unbound,
        checker: &mut checker,
        avoid,
        dear,
        roomy: false,
        undo: Vec::new(),
    };
    let best = trial.best(&bounds);
    if best.is_some() || ask.members == 1 {
        return best;
    }
    trial.roomy = true;
    trial.best(&bounds)
}

/// Whether any guaranteed cell of the team, in use or not, has a block left: a cheap check before
/// all places are tried.
fn has_room(occupancy: &Occupancy, guarantee: &TeamState, order: u8) -> bool {
    let unbound = |level: &Level| *level >= Level::Block(order) && guarantee.unbound(*level) > 0;
    let left =
        |&(slot, mask): &(u32, u64)| blocks(mask & !occupancy.slot(slot).guaranteed, order) != 0;
    guarantee.shapes.keys().any(unbound)
        || guarantee.bindings.iter().any(|binding| occupancy.covers(binding).iter().any(left))
}

impl Trial<'_> {
    /// Cheapest claim in any of the scopes.
    fn best(&mut self, scopes: &[(Vec<u32>, u64)]) -> Option<GuaranteeClaim> {
        let mut best: Option<GuaranteeClaim> = None;
        for (slots, mask) in scopes {
            let Some(found) = self.gang(Scope { slots, mask: *mask }) else {
                continue;
            };
            let ideal = found.taken == 0 && found.split == 0;
            let cost = |claim: &GuaranteeClaim| (claim.taken, claim.split);
            if best.as_ref().is_none_or(|best| cost(&found) < cost(best)) {
                best = Some(found);
            }
            if ideal {
                break;
            }
        }
        best
    }

    /// Places all members within a scope, then takes the changes back.
    fn gang(&mut self, scope: Scope<'_>) -> Option<GuaranteeClaim> {
        let cells = self.cells.clone();
        let unbound = self.unbound.clone();
        let demand = self.checker.demand.clone();
        let mut claim =
            GuaranteeClaim { cells: Vec::new(), bindings: Vec::new(), taken: 0, split: 0 };
        let whole = (0..self.ask.members).all(|_| self.member(scope, &mut claim));
        self.back(0);
        self.cells = cells;
        self.unbound = unbound;
        self.checker.demand = demand;
        whole.then_some(claim)
    }

    fn member(&mut self, scope: Scope<'_>, claim: &mut GuaranteeClaim) -> bool {
        self.inside(scope, claim) || (self.extend(scope, claim) && self.inside(scope, claim))
    }

    fn mark(&mut self, slot: u32, bound: u64, guaranteed: u64) {
        let worker = self.occupancy.slot_mut(slot);
        self.undo.push((slot, worker.bound, worker.guaranteed));
        self.checker.before(worker);
        worker.bound |= bound;
        worker.guaranteed |= guaranteed;
        self.checker.after(worker);
    }

    /// Takes changes back until `depth` are left.
    fn back(&mut self, depth: usize) {
        while self.undo.len() > depth
            && let Some((slot, bound, guaranteed)) = self.undo.pop()
        {
            let worker = self.occupancy.slot_mut(slot);
            self.checker.before(worker);
            worker.bound = bound;
            worker.guaranteed = guaranteed;
            self.checker.after(worker);
        }
    }

    /// Places a member in a guaranteed cell in use.
    fn inside(&mut self, scope: Scope<'_>, claim: &mut GuaranteeClaim) -> bool {
        let mut best: Option<((u32, u8), u32, u32)> = None;
        for &(slot, cover) in self.cells.iter().flatten() {
            if !scope.slots.contains(&slot) || self.avoid.contains(&slot) {
                continue;
            }
            let worker = self.occupancy.slot(slot);
            if !worker.schedulable || !worker.slice_fits(&self.ask.need(), self.ask.accels()) {
                continue;
            }
            let bits = cover & scope.mask & worker.all & !worker.guaranteed;
            let Some((taken, outer, first)) =
                cheapest(bits, worker.used | worker.reserved, self.dear(slot), self.order)
            else {
                continue;
            };
            if best.is_none_or(|(cost, _, _)| (taken, outer) < cost) {
                best = Some(((taken, outer), slot, first));
            }
        }
        let Some(((taken, outer), slot, first)) = best else {
            return false;
        };
        self.mark(slot, 0, cell::mask(first, 1 << self.order));
        claim.cells.push((slot, first));
        claim.taken += u64::from(taken);
        claim.split += (1_u64 << outer) - (1_u64 << self.order);
        true
    }

    /// Binds one more guaranteed cell, the smallest level that holds a member first.
    fn extend(&mut self, scope: Scope<'_>, claim: &mut GuaranteeClaim) -> bool {
        let mut levels: Vec<Level> = self.guarantee.shapes.keys().copied().collect();
        if self.roomy {
            levels.reverse();
        }
        levels.into_iter().any(|level| {
            let left = self.unbound.get(&level).copied().unwrap_or(0);
            level >= Level::Block(self.order) && left > 0 && self.bind(level, scope, claim)
        })
    }

    fn bind(&mut self, level: Level, scope: Scope<'_>, claim: &mut GuaranteeClaim) -> bool {
        let mut offers = match level {
            Level::Block(order) => self.block_offers(order, scope),
            _ => {
                let placed = u32::try_from(claim.cells.len()).unwrap_or(u32::MAX);
                self.domain_offers(level, scope, self.ask.members - placed)
            }
        };
        offers.sort_unstable();
        *self.checker.demand.get_mut(&level).expect("a level of a guarantee is demanded") -= 1;
        for (_, slot, first) in offers {
            let binding =
                CellBinding { level, instance: self.occupancy.slot(slot).instance.clone(), first };
            let depth = self.undo.len();
            let covers = self.occupancy.covers(&binding);
            covers.iter().for_each(|&(s, mask)| self.mark(s, mask, 0));
            if self.checker.holds(self.occupancy) {
                *self.unbound.get_mut(&level).expect("checked by the caller") -= 1;
                self.cells.push(covers);
                claim.bindings.push(binding);
                return true;
            }
            self.back(depth);
        }
        *self.checker.demand.get_mut(&level).expect("a level of a guarantee is demanded") += 1;
        false
    }

    fn dear(&self, slot: u32) -> u64 {
        self.dear.get(slot as usize).copied().unwrap_or(0)
    }

    /// Whether a member may be placed on the slot.
    fn suits(&self, slot: u32) -> bool {
        let fits = self.occupancy.slot(slot).slice_fits(&self.ask.need(), self.ask.accels());
        fits && !self.avoid.contains(&slot)
    }

    /// Places for a block: cost, slot, first accelerator.
    fn block_offers(&self, order: u8, scope: Scope<'_>) -> Vec<(Rank, u32, u32)> {
        let mut found = Vec::new();
        for &slot in scope.slots {
            let worker = self.occupancy.slot(slot);
            if !self.suits(slot) {
                continue;
            }
            let mut starts = blocks(worker.unbound(), order);
            while starts != 0 {
                let first = starts.trailing_zeros();
                starts &= starts - 1;
                let block = cell::mask(first, 1 << order);
                let inner = block & scope.mask;
                let busy = worker.used | worker.reserved;
                if let Some((taken, _, start)) = cheapest(inner, busy, self.dear(slot), self.order)
                {
                    let outer = outer_order(worker.unbound(), first, order);
                    let split = outer_order(worker.all & !busy, start, self.order);
                    let free = (worker.all & !busy).count_ones();
                    let rank = (0, taken, u32::from(outer), u32::from(split), free);
                    found.push((rank, slot, first));
                }
            }
        }
        found
    }

    /// Members out of `left` that find no place in a cell of several workers.
    fn lacks(&self, around: &[u32], scope: Scope<'_>, left: u32) -> u32 {
        let inside = around.iter().filter(|&&s| scope.slots.contains(&s) && self.suits(s));
        let places = inside
            .map(|&s| blocks(self.occupancy.slot(s).all & scope.mask, self.order).count_ones());
        left.saturating_sub(places.sum())
    }

    /// Places for a worker or a larger cell: cost, slot, zero.
    fn domain_offers(&self, level: Level, scope: Scope<'_>, left: u32) -> Vec<(Rank, u32, u32)> {
        let mut found = Vec::new();
        let mut seen: Vec<u32> = Vec::new();
        for &slot in scope.slots {
            let worker = self.occupancy.slot(slot);
            let around = self.occupancy.domain_of(level, slot);
            let whole = around
                .iter()
                .all(|&s| self.occupancy.slot(s).is_whole() || self.occupancy.slot(s).all == 0);
            if seen.contains(&around[0]) || !whole || worker.all == 0 {
                continue;
            }
            seen.push(around[0]);
            let offers = around.iter().filter(|s| scope.slots.contains(s)).filter_map(|&s| {
                let worker = self.occupancy.slot(s);
                if !self.suits(s) {
                    return None;
                }
                let free = (worker.all & !(worker.used | worker.reserved)).count_ones();
                let place = cheapest(
                    worker.all & scope.mask,
                    worker.used | worker.reserved,
                    self.dear(s),
                    self.order,
                );
                place.map(|(taken, outer, _)| (taken, u32::from(outer), free))
            });
            let Some((taken, split, free)) = offers.min() else {
                continue;
            };
            let accels: u32 = around.iter().map(|&s| self.occupancy.slot(s).accels()).sum();
            let short = if self.roomy { self.lacks(around, scope, left) } else { 0 };
            found.push(((short, taken, accels, split, free), slot, 0));
        }
        found
    }
}

/// Block of `order` in `bits` with the cheapest `busy` accelerators, then in the smallest larger
/// block: busy count, order of the larger block, first accelerator.
fn cheapest(bits: u64, busy: u64, dear: u64, order: u8) -> Option<(u32, u8, u32)> {
    if let Some((outer, first)) = best_block(bits & !busy, order) {
        return Some((0, outer, first));
    }
    let mut best: Option<(u32, u8, u32)> = None;
    let mut starts = blocks(bits, order);
    while starts != 0 {
        let first = starts.trailing_zeros();
        starts &= starts - 1;
        let block = cell::mask(first, 1 << order) & busy;
        let taken = block.count_ones() + DEAR * (block & dear).count_ones();
        if best.is_none_or(|(least, _, _)| taken < least) {
            best = Some((taken, outer_order(bits, first, order), first));
        }
    }
    best
}

/// Order of the largest aligned block in `bits` around the block at `first`.
fn outer_order(bits: u64, first: u32, order: u8) -> u8 {
    let around = |outer: u8| {
        let start = first >> outer << outer;
        let block = cell::mask(start, 1 << outer);
        bits & block == block
    };
    (order..7).rev().find(|&outer| around(outer)).unwrap_or(order)
}
