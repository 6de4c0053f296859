//! Check that all guarantees can be met at the same time, made before they take effect.

use {
    crate::{
        policy::fit::{Demand, shortfall, weight},
        state::occupancy::Occupancy,
    },
    bronzespool_core::{Capacity, Level, Place, Shape, Team},
    displaydoc::Display,
    std::collections::BTreeSet,
};

/// Result of the check.
pub type Result<T> = std::result::Result<T, GuaranteeConflict>;

/// Largest number of sets of lost domains that are checked.
const LOSS_SETS_MAX: usize = 4_000;

/// Loss of domains that all guarantees must survive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureReserve {
    /// Level of the lost domains: worker, rack, data centre or region.
    pub level: Level,
    /// Number of domains lost at the same time.
    pub count: u32,
}

/// Result of a successful check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Packing {
    /// Number of accelerators of all workers.
    pub total: u64,
    /// Number of accelerators that all guarantees take together.
    pub guaranteed: u64,
}

/// Guarantees that do not fit at once.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
/// guarantees of {teams:?} cannot all be packed: {shapes:?} do not fit after the loss of {lost:?}
pub struct GuaranteeConflict {
    /// Teams with a guarantee of a level that does not fit.
    pub teams: Vec<Team>,
    /// Cells that do not fit.
    pub shapes: Vec<Shape>,
    /// The lost domains for which the check failed, each given by one of its workers.
    pub lost: Vec<Place>,
}

impl std::error::Error for GuaranteeConflict {}

/// Checks that all guarantees can be packed into the workers that remain after any loss allowed by
/// `reserve`.
///
/// # Errors
///
/// [`GuaranteeConflict`] with the teams and the cells that do not fit after the first loss for
/// which the check fails.
pub fn pack(
    topology: &[(Place, Capacity)],
    guarantees: &[(Team, Vec<Shape>)],
    reserve: Option<FailureReserve>,
) -> Result<Packing> {
    let occupancy = Occupancy::of(topology);
    let mut demand = Demand::new();
    for shape in guarantees.iter().flat_map(|(_, shapes)| shapes) {
        *demand.entry(shape.level).or_default() += shape.count;
    }
    for lost in loss_sets(&occupancy, reserve) {
        let mut left = occupancy.clone();
        for &slot in lost.iter().flatten() {
            left.slot_mut(slot).schedulable = false;
        }
        let missing = shortfall(&left, &demand);
        if weight(&missing) > 0 {
            return Err(conflict(&missing, guarantees, topology, &lost));
        }
    }
    let total = occupancy.slots.iter().map(|s| u64::from(s.accels())).sum();
    Ok(Packing { total, guaranteed: guaranteed_accels(&occupancy, &demand) })
}

/// Number of accelerators of the smallest cells on which the guarantees could be placed.
fn guaranteed_accels(occupancy: &Occupancy, demand: &Demand) -> u64 {
    let mut total = 0;
    for (&level, &count) in demand {
        let mut sizes: Vec<u64> = match level {
            Level::Block(order) => vec![1 << order; count as usize],
            Level::Worker => occupancy.slots.iter().map(|s| u64::from(s.accels())).collect(),
            _ => domains(occupancy, level)
                .iter()
                .map(|slots| slots.iter().map(|&s| u64::from(occupancy.slot(s).accels())).sum())
                .collect(),
        };
        sizes.retain(|&accels| accels > 0);
        sizes.sort_unstable();
        total += sizes.iter().take(count as usize).sum::<u64>();
    }
    total
}

fn domains(occupancy: &Occupancy, level: Level) -> Vec<Vec<u32>> {
    match level {
        Level::Region => occupancy.regions.iter().map(|d| d.slots.clone()).collect(),
        Level::Center => occupancy.centers.iter().map(|d| d.slots.clone()).collect(),
        Level::Rack => occupancy.racks.iter().map(|d| d.slots.clone()).collect(),
        Level::Worker | Level::Block(_) => {
            (0..occupancy.slots.len()).map(|s| vec![s as u32]).collect()
        }
    }
}

/// Sets of domains that may be lost together. If there are more than [`LOSS_SETS_MAX`], those with
/// the largest domains are returned.
fn loss_sets(occupancy: &Occupancy, reserve: Option<FailureReserve>) -> Vec<Vec<Vec<u32>>> {
    let Some(reserve) = reserve.filter(|r| r.count > 0) else {
        return vec![Vec::new()];
    };
    let accels = |slots: &Vec<u32>| slots.iter().map(|&s| occupancy.slot(s).accels()).sum::<u32>();
    let mut all = domains(occupancy, reserve.level);
    all.retain(|slots| accels(slots) > 0);
    all.sort_by_key(|slots| std::cmp::Reverse(accels(slots)));
    let count = (reserve.count as usize).min(all.len());
    let mut sets = Vec::new();
    subsets(&all, count, &mut Vec::new(), &mut sets);
    sets
}

fn subsets(
    all: &[Vec<u32>],
    count: usize,
    taken: &mut Vec<Vec<u32>>,
    sets: &mut Vec<Vec<Vec<u32>>>,
) {
    if count == 0 {
        sets.push(taken.clone());
        return;
    }
    for (at, domain) in all.iter().enumerate() {
        if sets.len() >= LOSS_SETS_MAX || all.len() - at < count {
            return;
        }
        taken.push(domain.clone());
        subsets(&all[at + 1..], count - 1, taken, sets);
        taken.pop();
    }
}

fn conflict(
    missing: &Demand,
    guarantees: &[(Team, Vec<Shape>)],
    topology: &[(Place, Capacity)],
    lost: &[Vec<u32>],
) -> GuaranteeConflict {
    let is_missing = |shape: &Shape| missing.contains_key(&shape.level);
    let teams: BTreeSet<Team> = guarantees
        .iter()
        .filter(|(_, shapes)| shapes.iter().any(is_missing))
        .map(|(team, _)| team.clone())
        .collect();
    GuaranteeConflict {
        teams: teams.into_iter().collect(),
        shapes: missing.iter().map(|(&level, &count)| Shape::new(level, count)).collect(),
        lost: lost.iter().map(|slots| topology[slots[0] as usize].0.clone()).collect(),
    }
}
