//! Fragmentation: the share of free accelerators that the submitted gang shapes cannot use.
//!
//! The metric is the one of "Beware of Fragmentation" (USENIX ATC 2023): for each shape in the
//! workload mix, the free accelerators that no gang of that shape can use, weighted by how often
//! the shape is requested.

use {
    crate::{
        cell::block_starts,
        policy::place::{Scope, scopes},
        state::occupancy::Occupancy,
    },
    bronzespool_core::Level,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Largest number of distinct shapes in the workload mix.
const SHAPES_MAX: usize = 64;

/// Shape of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GangShape {
    /// Number of gang members.
    pub members: u32,
    /// Accelerators of each member.
    pub accels: u32,
    /// Level of the domain within which all members must be placed.
    pub adjacent: Level,
}

/// Number of submitted gangs for each shape.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkloadMix {
    shapes: BTreeMap<GangShape, u64>,
}

impl WorkloadMix {
    /// Counts a submitted gang. If there are too many shapes, the rarest of the others is dropped.
    pub fn push(&mut self, shape: GangShape) {
        if shape.accels == 0 {
            return;
        }
        *self.shapes.entry(shape).or_default() += 1;
        if self.shapes.len() > SHAPES_MAX
            && let Some(rarest) = self.rarest(shape)
        {
            self.shapes.remove(&rarest);
        }
    }

    fn rarest(&self, added: GangShape) -> Option<GangShape> {
        let others = self.shapes.iter().filter(|(shape, _)| **shape != added);
        others.min_by_key(|(_, count)| **count).map(|(shape, _)| *shape)
    }

    /// Shapes with the number of gangs submitted.
    pub fn shapes(&self) -> impl Iterator<Item = (&GangShape, u64)> {
        self.shapes.iter().map(|(shape, count)| (shape, *count))
    }
}

/// Share of free accelerators that the workload mix cannot use, between 0 and 1.
pub fn fragmentation(occupancy: &Occupancy, mix: &WorkloadMix) -> f64 {
    let free: u64 = occupancy.slots.iter().map(|s| u64::from(s.free().count_ones())).sum();
    let requested: u64 = mix.shapes().map(|(_, count)| count).sum();
    if free == 0 || requested == 0 {
        return 0.0;
    }
    let unusable_shares = mix.shapes().map(|(shape, count)| {
        let unusable = free - usable(occupancy, shape).min(free);
        unusable as f64 / free as f64 * count as f64
    });
    unusable_shares.sum::<f64>() / requested as f64
}

/// Number of free accelerators that gangs of one shape can use.
pub fn usable(occupancy: &Occupancy, shape: &GangShape) -> u64 {
    let Ok(order) = u8::try_from(shape.accels.trailing_zeros()) else {
        return 0;
    };
    let level = shape.adjacent.max(Level::Block(order));
    let gangs = scopes(occupancy, level)
        .into_iter()
        .map(|scope| placeable_members(occupancy, &scope, order) / u64::from(shape.members.max(1)));
    gangs.sum::<u64>() * u64::from(shape.members) * u64::from(shape.accels)
}

/// Number of free blocks of `order` in a scope: one for each member that can be placed.
fn placeable_members(occupancy: &Occupancy, scope: &Scope<'_>, order: u8) -> u64 {
    let each = |&s: &u32| {
        u64::from(block_starts(occupancy.slot(s).free() & scope.mask, order).count_ones())
    };
    scope.slots.iter().map(each).sum()
}
