//! Placement of a gang on free cells.

use {
    crate::{
        cell::{self, Cell, block_starts},
        job::{JobSpec, JobState},
        state::{
            SchedulerState,
            occupancy::{Occupancy, WorkerSlot},
        },
    },
    bronzespool_core::{Level, Need, Team},
};

/// Resource request of a gang. Jobs with equal requests are placed in the same way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GangRequest {
    /// Number of gang members.
    pub members: u32,
    /// Order of each member's block, which has `1 << order` accelerators; `None` for cores and
    /// memory only.
    pub order: Option<u8>,
    /// Cores of each member, in thousandths.
    pub cores: u32,
    /// Memory of each member, in MiB.
    pub memory: u64,
    /// Level of the domain within which all members must be placed.
    pub adjacent: Level,
    /// Whether members without accelerators may be placed on workers that have some.
    pub any_worker: bool,
}

/// Class of jobs with the same placement result: the team, if placed on its guarantee, and the
/// request.
pub type PlacementClass = (Option<Team>, GangRequest);

impl GangRequest {
    /// Request of `spec` on the workers of `occupancy`; `None` if no worker can hold a member.
    pub fn of(occupancy: &Occupancy, spec: &JobSpec) -> Option<Self> {
        let order = match spec.need.accels {
            0 => None,
            accels => Some(block_order(occupancy, &spec.need, accels)?),
        };
        Some(Self {
            members: spec.members,
            order,
            cores: spec.need.cores,
            memory: spec.need.memory,
            adjacent: spec.adjacent,
            any_worker: spec.preemptible(),
        })
    }

    /// The same request with a block of accelerators, as required on a guarantee even by members
    /// that need none; `None` if no worker can hold a member.
    pub fn guaranteed(mut self, occupancy: &Occupancy, spec: &JobSpec) -> Option<Self> {
        if self.order.is_none() {
            self.order = Some(block_order(occupancy, &spec.need, 1)?);
        }
        Some(self)
    }

    /// Level of the domain within which all members must be placed, at least that of a member's
    /// block.
    pub fn level(&self) -> Level {
        self.order.map_or(self.adjacent, |order| self.adjacent.max(Level::Block(order)))
    }

    /// Number of accelerators of each member.
    pub fn accels(&self) -> u32 {
        self.order.map_or(0, |order| 1 << order)
    }

    /// Resources of each member.
    pub fn need(&self) -> Need {
        Need { slots: 0, cores: self.cores, memory: self.memory, accels: self.accels() }
    }
}

/// Smallest order of a block whose share of the cores and memory of some worker covers `need`.
fn block_order(occupancy: &Occupancy, need: &Need, accels: u32) -> Option<u8> {
    let smallest = u8::try_from(accels.next_power_of_two().trailing_zeros()).ok()?;
    let fits = |slot: &WorkerSlot, order: u8| {
        block_starts(slot.all, order) != 0 && slot.fits_share(need, 1 << order)
    };
    (smallest..7).find(|&order| occupancy.slots.iter().any(|slot| fits(slot, order)))
}

/// A set of workers, or of accelerators of one worker, within which a gang may be placed.
#[derive(Clone, Copy, Debug)]
pub struct Scope<'a> {
    /// Slot indexes of the workers.
    pub slots: &'a [u32],
    /// Mask of the accelerators that may be used on each worker.
    pub mask: u64,
}

/// All scopes of `level`, in a deterministic order.
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
        let mut starts = block_starts(occupancy.slot(slots[0]).all, order);
        while starts != 0 {
            let first = starts.trailing_zeros();
            starts &= starts - 1;
            found.push(Scope { slots, mask: cell::mask(first, 1 << order) });
        }
    }
    found
}

/// Best-fit block of `order` in `bits`: one out of the smallest maximal block that contains it.
/// Returns the order of that maximal block and the first accelerator.
pub fn best_block(bits: u64, order: u8) -> Option<(u8, u32)> {
    for outer in order..7 {
        let mut maximal = block_starts(bits, outer);
        if outer < 6 {
            let mut larger = block_starts(bits, outer + 1);
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

/// Cells chosen for a gang, with their cost.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Slot index and first accelerator of each member.
    pub cells: Vec<(u32, u32)>,
    /// Number of accelerators in larger free blocks that the placement splits.
    pub cost: u64,
}

impl Placement {
    /// The cells of the members with the names of their workers.
    pub fn to_cells(&self, occupancy: &Occupancy, accels: u32) -> Vec<Cell> {
        let to_cell = |&(slot, first): &(u32, u32)| Cell {
            instance: occupancy.slot(slot).instance.clone(),
            first,
            accels,
        };
        self.cells.iter().map(to_cell).collect()
    }
}

/// Finds the cheapest placement of a gang on free accelerators, if any. `excluded` holds a mask for
/// each slot of accelerators that must not be used.
pub fn free_cells(
    occupancy: &Occupancy,
    request: &GangRequest,
    excluded: &[u64],
) -> Option<Placement> {
    let found = scopes(occupancy, request.level()).into_iter().filter_map(|scope| {
        let available = AvailableScope { occupancy, scope, excluded };
        available.place_gang(request)
    });
    found.min_by_key(|placement| placement.cost)
}

/// Whether some scope would hold all members if its workers were idle, without the workers that are
/// excluded as a whole.
pub fn fits_idle(occupancy: &Occupancy, request: &GangRequest, excluded: &[u64]) -> bool {
    let is_excluded = |slot: u32| excluded.get(slot as usize) == Some(&u64::MAX);
    scopes(occupancy, request.level()).iter().any(|scope| {
        let slots = scope.slots.iter().filter(|&&s| !is_excluded(s));
        let sum: u64 = slots.map(|&s| idle_capacity(occupancy, s, scope, request)).sum();
        sum >= u64::from(request.members)
    })
}

/// Number of members that an idle worker can hold.
pub fn idle_capacity(
    occupancy: &Occupancy,
    number: u32,
    scope: &Scope<'_>,
    request: &GangRequest,
) -> u64 {
    let slot = occupancy.slot(number);
    let by = |all: u64, one: u64| all.checked_div(one).unwrap_or(u64::from(u32::MAX));
    let room = by(slot.cores, u64::from(request.cores)).min(by(slot.memory, request.memory));
    match request.order {
        None if slot.all == 0 || request.any_worker => room,
        None => 0,
        Some(_) if !slot.fits_share(&request.need(), request.accels()) => 0,
        Some(order) => u64::from(block_starts(slot.all & scope.mask, order).count_ones()).min(room),
    }
}

/// Number of members for which the worker has free cores and memory.
fn member_capacity(slot: &WorkerSlot, request: &GangRequest) -> u32 {
    let cores = slot.cores.saturating_sub(slot.cores_used + slot.cores_reserved);
    let memory = slot.memory.saturating_sub(slot.memory_used + slot.memory_reserved);
    let by_cores = cores.checked_div(u64::from(request.cores)).unwrap_or(u64::MAX);
    let by_memory = memory.checked_div(request.memory).unwrap_or(u64::MAX);
    u32::try_from(by_cores.min(by_memory)).unwrap_or(u32::MAX)
}

/// Number of members that a worker can take, with its rank among the workers; the lowest is used
/// first.
struct WorkerOffer {
    slot: u32,
    count: u32,
    rank: (u32, u32),
}

/// A scope without the excluded accelerators.
struct AvailableScope<'a> {
    occupancy: &'a Occupancy,
    scope: Scope<'a>,
    excluded: &'a [u64],
}

impl AvailableScope<'_> {
    fn bits(&self, slot: u32) -> u64 {
        let excluded = self.excluded.get(slot as usize).copied().unwrap_or(0);
        let worker = self.occupancy.slot(slot);
        let free = if worker.accepts_probe() { worker.all } else { worker.free() };
        free & self.scope.mask & !excluded
    }

    fn place_gang(&self, request: &GangRequest) -> Option<Placement> {
        let slots = self.scope.slots.iter();
        let mut offers: Vec<_> = slots.filter_map(|&s| self.offer(s, request)).collect();
        let total: u64 = offers.iter().map(|o| u64::from(o.count)).sum();
        if total < u64::from(request.members) {
            return None;
        }
        offers.sort_unstable_by_key(|o| (o.rank, o.slot));
        let mut placement =
            Placement { cells: Vec::with_capacity(request.members as usize), cost: 0 };
        for offer in &offers {
            self.place_on(offer, request, &mut placement);
        }
        (placement.cells.len() == request.members as usize).then_some(placement)
    }

    fn offer(&self, number: u32, request: &GangRequest) -> Option<WorkerOffer> {
        let slot = self.occupancy.slot(number);
        let probe = slot.accepts_probe() && request.members == 1 && request.any_worker;
        if (!slot.schedulable && !probe) || self.excluded.get(number as usize) == Some(&u64::MAX) {
            return None;
        }
        let room = member_capacity(slot, request);
        let Some(order) = request.order else {
            let allowed = slot.all == 0 || request.any_worker;
            let rank = (slot.accels(), room);
            return (allowed && room > 0).then_some(WorkerOffer {
                slot: number,
                count: room,
                rank,
            });
        };
        let bits = self.bits(number);
        let (outer, _) = best_block(bits, order)?;
        if room == 0 || !slot.fits_share(&request.need(), request.accels()) {
            return None;
        }
        let count = block_starts(bits, order).count_ones().min(room);
        Some(WorkerOffer { slot: number, count, rank: (u32::from(outer), bits.count_ones()) })
    }

    fn place_on(&self, offer: &WorkerOffer, request: &GangRequest, placement: &mut Placement) {
        let mut bits = self.bits(offer.slot);
        for _ in 0..offer.count {
            if placement.cells.len() == request.members as usize {
                return;
            }
            let Some(order) = request.order else {
                placement.cells.push((offer.slot, 0));
                continue;
            };
            let Some((outer, first)) = best_block(bits, order) else {
                return;
            };
            bits &= !cell::mask(first, 1 << order);
            placement.cost += (1_u64 << outer) - (1_u64 << order);
            placement.cells.push((offer.slot, first));
        }
    }
}

/// Whether the job is waiting and may be attempted now.
pub fn is_ready(job: &JobState, now: bronzespool_core::Time) -> bool {
    matches!(job.phase, crate::job::JobPhase::Waiting { not_before } if not_before <= now)
}

/// Dominant share of a team: the largest share that its borrowed work has of any resource, in
/// millionths.
pub fn dominant_share(state: &SchedulerState, team: &Team, total: &ClusterTotals) -> u64 {
    let usage = state.team_usage(team);
    let share = |part: u64, all: u64| part.saturating_mul(1_000_000) / all.max(1);
    share(usage.borrowed_accels, total.accels)
        .max(share(usage.borrowed_cores, total.cores))
        .max(share(usage.borrowed_memory, total.memory))
}

/// Total resources of all workers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClusterTotals {
    /// Number of accelerators.
    pub accels: u64,
    /// Cores, in thousandths.
    pub cores: u64,
    /// Memory, in MiB.
    pub memory: u64,
}

impl ClusterTotals {
    /// Sums over all workers.
    pub fn of(occupancy: &Occupancy) -> Self {
        occupancy.slots.iter().fold(Self::default(), |sum, slot| Self {
            accels: sum.accels + u64::from(slot.accels()),
            cores: sum.cores + slot.cores,
            memory: sum.memory + slot.memory,
        })
    }
}
