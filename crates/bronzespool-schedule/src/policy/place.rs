//! Cells for the members of a gang, out of cells that are free.

use {
    crate::{
        book::{
            Book,
            grid::{Grid, Slot},
        },
        cell::{self, Cell, blocks},
        job::{JobSpec, JobState},
    },
    bronzespool_core::{Level, Need, Team},
};

/// What a gang asks for; jobs that ask for the same are placed alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ask {
    /// Members of the gang.
    pub members: u32,
    /// Order of each member's block, none for cores and memory only.
    pub order: Option<u8>,
    /// Cores and memory of each member.
    pub cores: u32,
    /// Memory in MiB of each member.
    pub memory: u64,
    /// Level within which all members lie.
    pub adjacent: Level,
    /// Whether it may run on workers with accelerators without holding any.
    pub roams: bool,
}

/// Jobs that find cells or none together: by team on its own guarantee, else by what they ask for.
pub type Class = (Option<Team>, Ask);

impl Ask {
    /// What `spec` asks for at the workers that `grid` knows; none if no worker can hold a member.
    pub fn of(grid: &Grid, spec: &JobSpec) -> Option<Self> {
        let order = match spec.need.accels {
            0 => None,
            accels => Some(order_of(grid, &spec.need, accels)?),
        };
        Some(Self {
            members: spec.members,
            order,
            cores: spec.need.cores,
            memory: spec.need.memory,
            adjacent: spec.adjacent,
            roams: spec.preemptible(),
        })
    }

    /// The same with a block of accelerators for work that must not be interrupted.
    pub fn guaranteed(mut self, grid: &Grid, spec: &JobSpec) -> Option<Self> {
        if self.order.is_none() {
            self.order = Some(order_of(grid, &spec.need, 1)?);
        }
        Some(self)
    }

    /// Level within which all members lie: no less than a member's own block.
    pub fn level(&self) -> Level {
        self.order.map_or(self.adjacent, |order| self.adjacent.max(Level::Block(order)))
    }

    /// Accelerators of each member.
    pub fn accels(&self) -> u32 {
        self.order.map_or(0, |order| 1 << order)
    }

    /// Cores and memory of each member.
    pub fn need(&self) -> Need {
        Need { slots: 0, cores: self.cores, memory: self.memory, accels: self.accels() }
    }
}

/// Smallest order whose share of some worker's cores and memory covers `need`.
fn order_of(grid: &Grid, need: &Need, accels: u32) -> Option<u8> {
    let natural = u8::try_from(accels.next_power_of_two().trailing_zeros()).ok()?;
    let fits =
        |slot: &Slot, order: u8| blocks(slot.all, order) != 0 && slot.slice_fits(need, 1 << order);
    (natural..7).find(|&order| grid.slots.iter().any(|slot| fits(slot, order)))
}

/// A set of workers, or of accelerators of one, within which a gang may lie.
#[derive(Clone, Copy, Debug)]
pub struct Scope<'a> {
    /// Numbers of the slots.
    pub slots: &'a [u32],
    /// Accelerators allowed in each.
    pub mask: u64,
}

/// All scopes of `level`, in a fixed order.
pub fn scopes(grid: &Grid, level: Level) -> Vec<Scope<'_>> {
    let domains = match level {
        Level::Rack => &grid.racks,
        Level::Center => &grid.centers,
        Level::Region => &grid.regions,
        Level::Worker | Level::Block(_) => return worker_scopes(grid, level),
    };
    domains.iter().map(|d| Scope { slots: &d.slots, mask: u64::MAX }).collect()
}

fn worker_scopes(grid: &Grid, level: Level) -> Vec<Scope<'_>> {
    let singles = grid.racks.iter().flat_map(|rack| rack.slots.chunks(1));
    let Level::Block(order) = level else {
        return singles.map(|slots| Scope { slots, mask: u64::MAX }).collect();
    };
    let mut found = Vec::new();
    for slots in singles {
        let mut starts = blocks(grid.at(slots[0]).all, order);
        while starts != 0 {
            let first = starts.trailing_zeros();
            starts &= starts - 1;
            found.push(Scope { slots, mask: cell::mask(first, 1 << order) });
        }
    }
    found
}

/// First accelerator of the block of `order` whose loss splits the smallest larger block, with the
/// order of that block.
pub fn best_block(bits: u64, order: u8) -> Option<(u8, u32)> {
    for outer in order..7 {
        let mut maximal = blocks(bits, outer);
        if outer < 6 {
            let mut larger = blocks(bits, outer + 1);
            while larger != 0 {
                let first = larger.trailing_zeros();
                larger &= larger - 1;
                maximal &= !(1 << first);
                maximal &= !(1_u64 << (first + (1 << outer)));
            }
        }
        if maximal != 0 {
            return Some((outer, maximal.trailing_zeros()));
        }
    }
    None
}

/// Cells chosen for a gang and what they cost; less is better.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Slot and first accelerator of each member.
    pub cells: Vec<(u32, u32)>,
    /// Accelerators of larger blocks that are broken up.
    pub cost: u64,
}

impl Choice {
    /// The cells by name.
    pub fn named(&self, grid: &Grid, accels: u32) -> Vec<Cell> {
        let named = |&(slot, first): &(u32, u32)| Cell {
            instance: grid.at(slot).instance.clone(),
            first,
            accels,
        };
        self.cells.iter().map(named).collect()
    }
}

/// Cheapest free cells for a gang outside the accelerators in `kept`, by slot, if any.
pub fn free_cells(grid: &Grid, ask: &Ask, kept: &[u64]) -> Option<Choice> {
    let found = scopes(grid, ask.level()).into_iter().filter_map(|scope| {
        let room = Room { grid, scope, kept };
        room.fill(ask)
    });
    found.min_by_key(|choice| choice.cost)
}

/// Whether some scope would hold all members if its workers were idle, without those that are kept
/// whole.
pub fn fits_idle(grid: &Grid, ask: &Ask, kept: &[u64]) -> bool {
    let is_kept = |slot: u32| kept.get(slot as usize) == Some(&u64::MAX);
    scopes(grid, ask.level()).iter().any(|scope| {
        let slots = scope.slots.iter().filter(|&&s| !is_kept(s));
        let sum: u64 = slots.map(|&s| idle_capacity(grid, s, scope, ask)).sum();
        sum >= u64::from(ask.members)
    })
}

/// Members that a slot holds if it is idle.
pub fn idle_capacity(grid: &Grid, number: u32, scope: &Scope<'_>, ask: &Ask) -> u64 {
    let slot = grid.at(number);
    let by = |all: u64, one: u64| all.checked_div(one).unwrap_or(u64::from(u32::MAX));
    let room = by(slot.cores, u64::from(ask.cores)).min(by(slot.memory, ask.memory));
    match ask.order {
        None if slot.all == 0 || ask.roams => room,
        None => 0,
        Some(_) if !slot.slice_fits(&ask.need(), ask.accels()) => 0,
        Some(order) => u64::from(blocks(slot.all & scope.mask, order).count_ones()).min(room),
    }
}

/// Members that a slot can take now, limited by cores and memory.
fn room_for(slot: &Slot, ask: &Ask) -> u32 {
    let cores = slot.cores.saturating_sub(slot.cores_used + slot.cores_held);
    let memory = slot.memory.saturating_sub(slot.memory_used + slot.memory_held);
    let by_cores = cores.checked_div(u64::from(ask.cores)).unwrap_or(u64::MAX);
    let by_memory = memory.checked_div(ask.memory).unwrap_or(u64::MAX);
    u32::try_from(by_cores.min(by_memory)).unwrap_or(u32::MAX)
}

/// What a slot offers to a gang.
struct Offer {
    slot: u32,
    count: u32,
    rank: (u32, u32),
}

/// A scope without the accelerators kept for others.
struct Room<'a> {
    grid: &'a Grid,
    scope: Scope<'a>,
    kept: &'a [u64],
}

impl Room<'_> {
    fn bits(&self, slot: u32) -> u64 {
        let kept = self.kept.get(slot as usize).copied().unwrap_or(0);
        let at = self.grid.at(slot);
        let free = if at.probes() { at.all } else { at.free() };
        free & self.scope.mask & !kept
    }

    fn fill(&self, ask: &Ask) -> Option<Choice> {
        let slots = self.scope.slots.iter();
        let mut offers: Vec<_> = slots.filter_map(|&s| self.offer(s, ask)).collect();
        let total: u64 = offers.iter().map(|o| u64::from(o.count)).sum();
        if total < u64::from(ask.members) {
            return None;
        }
        offers.sort_unstable_by_key(|o| (o.rank, o.slot));
        let mut choice = Choice { cells: Vec::with_capacity(ask.members as usize), cost: 0 };
        for offer in &offers {
            self.take(offer, ask, &mut choice);
        }
        (choice.cells.len() == ask.members as usize).then_some(choice)
    }

    fn offer(&self, number: u32, ask: &Ask) -> Option<Offer> {
        let slot = self.grid.at(number);
        let probe = slot.probes() && ask.members == 1 && ask.roams;
        if (!slot.open && !probe) || self.kept.get(number as usize) == Some(&u64::MAX) {
            return None;
        }
        let room = room_for(slot, ask);
        let Some(order) = ask.order else {
            let allowed = slot.all == 0 || ask.roams;
            let rank = (slot.accels(), room);
            return (allowed && room > 0).then_some(Offer { slot: number, count: room, rank });
        };
        let bits = self.bits(number);
        let (outer, _) = best_block(bits, order)?;
        if room == 0 || !slot.slice_fits(&ask.need(), ask.accels()) {
            return None;
        }
        let count = blocks(bits, order).count_ones().min(room);
        Some(Offer { slot: number, count, rank: (u32::from(outer), bits.count_ones()) })
    }

    fn take(&self, offer: &Offer, ask: &Ask, choice: &mut Choice) {
        let mut bits = self.bits(offer.slot);
        for _ in 0..offer.count {
            if choice.cells.len() == ask.members as usize {
                return;
            }
            let Some(order) = ask.order else {
                choice.cells.push((offer.slot, 0));
                continue;
            };
            let Some((outer, first)) = best_block(bits, order) else {
                return;
            };
            bits &= !cell::mask(first, 1 << order);
            choice.cost += (1_u64 << outer) - (1_u64 << order);
            choice.cells.push((offer.slot, first));
        }
    }
}

/// Whether the job may be tried now.
pub fn ready(job: &JobState, now: bronzespool_core::Time) -> bool {
    matches!(job.phase, crate::job::Phase::Waiting { after } if after <= now)
}

/// Share of the scarcest resource that a team's borrowed work holds, in millionths.
pub fn dominant_share(book: &Book, team: &Team, total: &Totals) -> u64 {
    let ledger = book.ledger(team);
    let share = |part: u64, all: u64| part.saturating_mul(1_000_000) / all.max(1);
    share(ledger.lent, total.accels)
        .max(share(ledger.cores, total.cores))
        .max(share(ledger.memory, total.memory))
}

/// What all workers have together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Accelerators.
    pub accels: u64,
    /// Thousandths of cores.
    pub cores: u64,
    /// Memory in MiB.
    pub memory: u64,
}

impl Totals {
    /// Sums of the grid.
    pub fn of(grid: &Grid) -> Self {
        grid.slots.iter().fold(Self::default(), |sum, slot| Self {
            accels: sum.accels + u64::from(slot.accels()),
            cores: sum.cores + slot.cores,
            memory: sum.memory + slot.memory,
        })
    }
}
