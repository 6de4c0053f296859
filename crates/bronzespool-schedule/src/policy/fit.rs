//! Whether guaranteed cells that are not in use can all be packed at once.

use {
    crate::{
        book::{Book, grid::Grid},
        cell::census,
    },
    bronzespool_core::Level,
    std::collections::BTreeMap,
};

/// Guaranteed cells of all teams that are not in use, by level.
pub type Demand = BTreeMap<Level, u32>;

/// Cells demanded by all teams together.
pub fn demand(book: &Book) -> Demand {
    let mut all = Demand::new();
    for team in book.teams().values() {
        for &level in team.shapes.keys() {
            *all.entry(level).or_default() += team.unbound(level);
        }
    }
    all
}

/// Cells of `demand` that do not fit into the unbound part of the grid, by level.
///
/// Larger cells go first, each into the place whose loss hurts the smaller ones least.
pub fn shortfall(grid: &Grid, demand: &Demand) -> Demand {
    let mut missing = Demand::new();
    let mut open: Vec<bool> =
        grid.slots.iter().map(super::super::book::grid::Slot::whole).collect();
    for (&level, &count) in demand.iter().rev() {
        let short = match level {
            Level::Region => take(&grid.regions, grid, &mut open, count),
            Level::Center => take(&grid.centers, grid, &mut open, count),
            Level::Rack => take(&grid.racks, grid, &mut open, count),
            Level::Worker => take_workers(grid, &mut open, count),
            Level::Block(_) => 0,
        };
        if short > 0 {
            missing.insert(level, short);
        }
    }
    let taken = |i: usize| grid.slots[i].whole() && !open[i];
    let mut blocks = [0; 7];
    for (i, slot) in grid.slots.iter().enumerate() {
        if !taken(i) {
            let counts = census(slot.unbound());
            blocks.iter_mut().zip(counts).for_each(|(all, count)| *all += count);
        }
    }
    take_blocks(blocks, demand, &mut missing);
    missing
}

/// Takes `count` whole domains, those with the fewest accelerators first.
fn take(domains: &[crate::book::grid::Domain], grid: &Grid, open: &mut [bool], count: u32) -> u32 {
    let accels = |slots: &[u32]| slots.iter().map(|&s| grid.at(s).accels()).sum::<u32>();
    let usable = |slots: &[u32], open: &[bool]| {
        slots.iter().all(|&s| open[s as usize] || grid.at(s).all == 0) && accels(slots) > 0
    };
    let mut found: Vec<_> = domains.iter().filter(|d| usable(&d.slots, open)).collect();
    found.sort_by_key(|d| accels(&d.slots));
    let mut short = count;
    for domain in found.into_iter().take(count as usize) {
        domain.slots.iter().for_each(|&s| open[s as usize] = false);
        short -= 1;
    }
    short
}

fn take_workers(grid: &Grid, open: &mut [bool], count: u32) -> u32 {
    let mut found: Vec<_> = (0..open.len()).filter(|&i| open[i]).collect();
    found.sort_by_key(|&i| grid.slots[i].accels());
    found.iter().take(count as usize).for_each(|&i| open[i] = false);
    count.saturating_sub(u32::try_from(found.len()).unwrap_or(u32::MAX))
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
