//! Cells for the members of a gang, out of cells that are free.

use {
    crate::{
        cell::{self, Cell, blocks},
        job::{JobSpec, JobState},
        state::{
            SchedulerState,
            occupancy::{Occupancy, WorkerSlot},
        },
    },
    bronzespool_core::{Level, Need, Team},
};

/// What a gang asks for; jobs that ask for the same are placed alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GangRequest {
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
pub type PlacementClass = (Option<Team>, GangRequest);

impl GangRequest {
    /// What `spec` asks for at the workers that `occupancy` knows; none if no worker can hold a member.
    pub fn of(occupancy: &Occupancy, spec: &JobSpec) -> Option<Self> {
        let order = match spec.need.accels {
            0 => None,
            accels => Some(order_of(occupancy, &spec.need, accels)?),
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
    pub fn guaranteed(mut self, occupancy: &Occupancy, spec: &JobSpec) -> Option<Self> {
        if self.order.is_none() {
            self.order = Some(order_of(occupancy, &spec.need, 1)?);
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
fn order_of(occupancy: &Occupancy, need: &Need, accels: u32) -> Option<u8> {
    let natural = u8::try_from(accels.next_power_of_two().trailing_zeros()).ok()?;
    let fits = |slot: &WorkerSlot, order: u8| {
        blocks(slot.all, order) != 0 && slot.slice_fits(need, 1 << order)
    };
    (natural..7).find(|&order| occupancy.slots.iter().any(|slot| fits(slot, order)))
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
pub fn scopes(occupancy: &Occupancy, level: Level) -> Vec<Scope<'_>> {
    let domains = match level {
        Level::Rack => &occupancy.racks,
        Level::Center => &occupancy.centers,
        Level::Region => &occupancy.regions,
        Level::Worker | Level::Block(_) => return worker_scopes(occupancy, level),
    };
    domains.iter().map(|d| Scope { slots: &d.slots, mask: u64::MAX }).collect()
}

fn worker_scopes(occupancy: &Occupancy, level: Level) -> Vec<Scope<'_>> {
    let singles = occupancy.racks.iter().flat_map(|rack| rack.slots.chunks(1));
    let Level::Block(order) = level else {
        return singles.map(|slots| Scope { slots, mask: u64::MAX }).collect();
    };
    let mut found = Vec::new();
    for slots in singles {
        let mut starts = blocks(occupancy.slot(slots[0]).all, order);
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
pub struct Placement {
    /// Slot and first accelerator of each member.
    pub cells: Vec<(u32, u32)>,
    /// Accelerators of larger blocks that are broken up.
    pub cost: u64,
}

impl Placement {
    /// The cells by name.
    pub fn named(&self, occupancy: &Occupancy, accels: u32) -> Vec<Cell> {
        let named = |&(slot, first): &(u32, u32)| Cell {
            instance: occupancy.slot(slot).instance.clone(),
            first,
            accels,
        };
        self.cells.iter().map(named).collect()
    }
}

/// Cheapest free cells for a gang outside the accelerators in `kept`, by slot, if any.
pub fn free_cells(occupancy: &Occupancy, ask: &GangRequest, kept: &[u64]) -> Option<Placement> {
    let found = scopes(occupancy, ask.level()).into_iter().filter_map(|scope| {
        let room = Room { occupancy, scope, kept };
        room.fill(ask)
    });
    found.min_by_key(|choice| choice.cost)
}

/// Whether some scope would hold all members if its workers were idle, without those that are kept
/// whole.
pub fn fits_idle(occupancy: &Occupancy, ask: &GangRequest, kept: &[u64]) -> bool {
    let is_kept = |slot: u32| kept.get(slot as usize) == Some(&u64::MAX);
    scopes(occupancy, ask.level()).iter().any(|scope| {
        let slots = scope.slots.iter().filter(|&&s| !is_kept(s));
        let sum: u64 = slots.map(|&s| idle_capacity(occupancy, s, scope, ask)).sum();
        sum >= u64::from(ask.members)
    })
}

/// Members that a slot holds if it is idle.
pub fn idle_capacity(
    occupancy: &Occupancy,
    number: u32,
    scope: &Scope<'_>,
    ask: &GangRequest,
) -> u64 {
    let slot = occupancy.slot(number);
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
fn room_for(slot: &WorkerSlot, ask: &GangRequest) -> u32 {
    let cores = slot.cores.saturating_sub(slot.cores_used + slot.cores_reserved);
    let memory = slot.memory.saturating_sub(slot.memory_used + slot.memory_reserved);
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
    occupancy: &'a Occupancy,
    scope: Scope<'a>,
    kept: &'a [u64],
}

impl Room<'_> {
    fn bits(&self, slot: u32) -> u64 {
        let kept = self.kept.get(slot as usize).copied().unwrap_or(0);
        let worker = self.occupancy.slot(slot);
        let free = if worker.accepts_probe() { worker.all } else { worker.free() };
        free & self.scope.mask & !kept
    }

    fn fill(&self, ask: &GangRequest) -> Option<Placement> {
        let slots = self.scope.slots.iter();
        let mut offers: Vec<_> = slots.filter_map(|&s| self.offer(s, ask)).collect();
        let total: u64 = offers.iter().map(|o| u64::from(o.count)).sum();
        if total < u64::from(ask.members) {
            return None;
        }
        offers.sort_unstable_by_key(|o| (o.rank, o.slot));
        let mut choice = Placement { cells: Vec::with_capacity(ask.members as usize), cost: 0 };
        for offer in &offers {
            self.take(offer, ask, &mut choice);
        }
        (choice.cells.len() == ask.members as usize).then_some(choice)
    }

    fn offer(&self, number: u32, ask: &GangRequest) -> Option<Offer> {
        let slot = self.occupancy.slot(number);
        let probe = slot.accepts_probe() && ask.members == 1 && ask.roams;
        if (!slot.schedulable && !probe) || self.kept.get(number as usize) == Some(&u64::MAX) {
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

    fn take(&self, offer: &Offer, ask: &GangRequest, choice: &mut Placement) {
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
    matches!(job.phase, crate::job::JobPhase::Waiting { not_before } if not_before <= now)
}

/// Share of the scarcest resource that a team's borrowed work holds, in millionths.
pub fn dominant_share(state: &SchedulerState, team: &Team, total: &ClusterTotals) -> u64 {
    let usage = state.team_usage(team);
    let share = |part: u64, all: u64| part.saturating_mul(1_000_000) / all.max(1);
    share(usage.borrowed_accels, total.accels)
        .max(share(usage.borrowed_cores, total.cores))
        .max(share(usage.borrowed_memory, total.memory))
}

/// What all workers have together.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClusterTotals {
    /// Accelerators.
    pub accels: u64,
    /// Thousandths of cores.
    pub cores: u64,
    /// Memory in MiB.
    pub memory: u64,
}

impl ClusterTotals {
    /// Sums of the grid.
    pub fn of(occupancy: &Occupancy) -> Self {
        occupancy.slots.iter().fold(Self::default(), |sum, slot| Self {
            accels: sum.accels + u64::from(slot.accels()),
            cores: sum.cores + slot.cores,
            memory: sum.memory + slot.memory,
        })
    }
}
