//! Cells for a gang out of its team's own guarantee.
//!
//! A guaranteed cell that a team starts to use is bound to a place; the rest of it stays the
//! team's. Other work in it is borrowed and can be stopped, so a claim fails only if the guarantee
//! is used up by the team itself, or if no place keeps all other guarantees packable.

use {
    super::{
        fit::Checker,
        place::{Ask, Scope, best_block, scopes},
    },
    crate::{
        book::{Book, grid::Grid, team::TeamState},
        cell::{self, Bind, blocks},
    },
    bronzespool_core::{Level, Team},
    std::collections::BTreeMap,
};

/// Cells on the team's own guarantee.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Slot and first accelerator of each member.
    pub cells: Vec<(u32, u32)>,
    /// Guaranteed cells that the team starts to use.
    pub binds: Vec<Bind>,
    /// Accelerators that other work must give back.
    pub taken: u64,
    /// Accelerators of larger blocks that are broken up.
    pub split: u64,
}

/// Cost of a place for a guaranteed cell: members left over, accelerators taken, size of the cell
/// broken up, size of the free block broken up, free accelerators of the worker.
type Rank = (u32, u32, u32, u32, u32);

/// One attempt to place a gang, with what it changed.
struct Trial<'a> {
    grid: &'a mut Grid,
    ask: &'a Ask,
    order: u8,
    state: &'a TeamState,
    cells: Vec<Vec<(u32, u64)>>,
    unbound: BTreeMap<Level, u32>,
    checker: &'a mut Checker,
    avoid: &'a [u32],
    /// Whether cells that hold more of the members left go first, in place of the smallest.
    roomy: bool,
    undo: Vec<(u32, u64, u64)>,
}

/// Cheapest place for a gang on the guarantee of `team`, if any.
///
/// Slots in `avoid` are not used.
pub fn claim(book: &Book, grid: &mut Grid, team: &Team, ask: &Ask, avoid: &[u32]) -> Option<Claim> {
    let state = book.teams().get(team)?;
    let order = ask.order?;
    let bounds: Vec<(Vec<u32>, u64)> =
        scopes(grid, ask.level()).into_iter().map(|s| (s.slots.to_vec(), s.mask)).collect();
    let mut checker = Checker::new(book, grid);
    let cells = state.binds.iter().map(|bind| grid.covers(bind)).collect();
    let unbound = state.shapes.keys().map(|&l| (l, state.unbound(l))).collect();
    let mut trial = Trial {
        grid,
        ask,
        order,
        state,
        cells,
        unbound,
        checker: &mut checker,
        avoid,
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

impl Trial<'_> {
    /// Cheapest claim in any of the scopes.
    fn best(&mut self, scopes: &[(Vec<u32>, u64)]) -> Option<Claim> {
        let mut best: Option<Claim> = None;
        for (slots, mask) in scopes {
            let Some(found) = self.gang(Scope { slots, mask: *mask }) else {
                continue;
            };
            let ideal = found.taken == 0 && found.split == 0;
            let cost = |claim: &Claim| (claim.taken, claim.split);
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
    fn gang(&mut self, scope: Scope<'_>) -> Option<Claim> {
        let cells = self.cells.clone();
        let unbound = self.unbound.clone();
        let demand = self.checker.demand.clone();
        let mut claim = Claim { cells: Vec::new(), binds: Vec::new(), taken: 0, split: 0 };
        let whole = (0..self.ask.members).all(|_| self.member(scope, &mut claim));
        self.back(0);
        self.cells = cells;
        self.unbound = unbound;
        self.checker.demand = demand;
        whole.then_some(claim)
    }

    fn member(&mut self, scope: Scope<'_>, claim: &mut Claim) -> bool {
        self.inside(scope, claim) || (self.extend(scope, claim) && self.inside(scope, claim))
    }

    fn mark(&mut self, slot: u32, bound: u64, own: u64) {
        let at = self.grid.at_mut(slot);
        self.undo.push((slot, at.bound, at.own));
        self.checker.before(at);
        at.bound |= bound;
        at.own |= own;
        self.checker.after(at);
    }

    /// Takes changes back until `depth` are left.
    fn back(&mut self, depth: usize) {
        while self.undo.len() > depth
            && let Some((slot, bound, own)) = self.undo.pop()
        {
            let at = self.grid.at_mut(slot);
            self.checker.before(at);
            at.bound = bound;
            at.own = own;
            self.checker.after(at);
        }
    }

    /// Places a member in a guaranteed cell in use.
    fn inside(&mut self, scope: Scope<'_>, claim: &mut Claim) -> bool {
        let mut best: Option<((u32, u8), u32, u32)> = None;
        for &(slot, cover) in self.cells.iter().flatten() {
            if !scope.slots.contains(&slot) || self.avoid.contains(&slot) {
                continue;
            }
            let at = self.grid.at(slot);
            if !at.open || !at.slice_fits(&self.ask.need(), self.ask.accels()) {
                continue;
            }
            let bits = cover & scope.mask & at.all & !at.own;
            let Some((taken, outer, first)) = cheapest(bits, at.used | at.held, self.order) else {
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
    fn extend(&mut self, scope: Scope<'_>, claim: &mut Claim) -> bool {
        let mut levels: Vec<Level> = self.state.shapes.keys().copied().collect();
        if self.roomy {
            levels.reverse();
        }
        levels.into_iter().any(|level| {
            let left = self.unbound.get(&level).copied().unwrap_or(0);
            level >= Level::Block(self.order) && left > 0 && self.bind(level, scope, claim)
        })
    }

    fn bind(&mut self, level: Level, scope: Scope<'_>, claim: &mut Claim) -> bool {
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
            let bind = Bind { level, instance: self.grid.at(slot).instance.clone(), first };
            let depth = self.undo.len();
            let covers = self.grid.covers(&bind);
            covers.iter().for_each(|&(s, mask)| self.mark(s, mask, 0));
            if self.checker.holds(self.grid) {
                *self.unbound.get_mut(&level).expect("checked by the caller") -= 1;
                self.cells.push(covers);
                claim.binds.push(bind);
                return true;
            }
            self.back(depth);
        }
        *self.checker.demand.get_mut(&level).expect("a level of a guarantee is demanded") += 1;
        false
    }

    /// Whether a member may be placed on the slot.
    fn suits(&self, slot: u32) -> bool {
        let fits = self.grid.at(slot).slice_fits(&self.ask.need(), self.ask.accels());
        fits && !self.avoid.contains(&slot)
    }

    /// Places for a block: cost, slot, first accelerator.
    fn block_offers(&self, order: u8, scope: Scope<'_>) -> Vec<(Rank, u32, u32)> {
        let mut found = Vec::new();
        for &slot in scope.slots {
            let at = self.grid.at(slot);
            if !self.suits(slot) {
                continue;
            }
            let mut starts = blocks(at.unbound(), order);
            while starts != 0 {
                let first = starts.trailing_zeros();
                starts &= starts - 1;
                let block = cell::mask(first, 1 << order);
                let inner = block & scope.mask;
                let busy = at.used | at.held;
                if let Some((taken, _, start)) = cheapest(inner, busy, self.order) {
                    let outer = outer_order(at.unbound(), first, order);
                    let split = outer_order(at.all & !busy, start, self.order);
                    let free = (at.all & !busy).count_ones();
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
        let places =
            inside.map(|&s| blocks(self.grid.at(s).all & scope.mask, self.order).count_ones());
        left.saturating_sub(places.sum())
    }

    /// Places for a worker or a larger cell: cost, slot, zero.
    fn domain_offers(&self, level: Level, scope: Scope<'_>, left: u32) -> Vec<(Rank, u32, u32)> {
        let mut found = Vec::new();
        let mut seen: Vec<u32> = Vec::new();
        for &slot in scope.slots {
            let at = self.grid.at(slot);
            let around = self.grid.around(level, slot);
            let whole = around.iter().all(|&s| self.grid.at(s).whole() || self.grid.at(s).all == 0);
            if seen.contains(&around[0]) || !whole || at.all == 0 {
                continue;
            }
            seen.push(around[0]);
            let offers = around.iter().filter(|s| scope.slots.contains(s)).filter_map(|&s| {
                let at = self.grid.at(s);
                if !self.suits(s) {
                    return None;
                }
                let free = (at.all & !(at.used | at.held)).count_ones();
                let place = cheapest(at.all & scope.mask, at.used | at.held, self.order);
                place.map(|(taken, outer, _)| (taken, u32::from(outer), free))
            });
            let Some((taken, split, free)) = offers.min() else {
                continue;
            };
            let accels: u32 = around.iter().map(|&s| self.grid.at(s).accels()).sum();
            let short = if self.roomy { self.lacks(around, scope, left) } else { 0 };
            found.push(((short, taken, accels, split, free), slot, 0));
        }
        found
    }
}

/// Block of `order` in `bits` with the fewest `busy` accelerators, then in the smallest larger
/// block: busy count, order of the larger block, first accelerator.
fn cheapest(bits: u64, busy: u64, order: u8) -> Option<(u32, u8, u32)> {
    if let Some((outer, first)) = best_block(bits & !busy, order) {
        return Some((0, outer, first));
    }
    let mut best: Option<(u32, u8, u32)> = None;
    let mut starts = blocks(bits, order);
    while starts != 0 {
        let first = starts.trailing_zeros();
        starts &= starts - 1;
        let taken = (cell::mask(first, 1 << order) & busy).count_ones();
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
