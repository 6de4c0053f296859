//! The mix of gang shapes, and the share of free accelerators that it cannot use.
//!
//! The measure is that of "Beware of Fragmentation" (USENIX ATC 2023): for each shape of the mix,
//! the free accelerators that no gang of that shape could take, weighted by how often the shape is
//! asked for.

use {
    crate::{
        cell::blocks,
        policy::place::{Scope, scopes},
        state::occupancy::Occupancy,
    },
    bronzespool_core::Level,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Most shapes kept.
const SHAPES_MAX: usize = 64;

/// Shape of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GangShape {
    /// Members of the gang.
    pub members: u32,
    /// Accelerators of each member.
    pub accels: u32,
    /// Level within which all members lie.
    pub adjacent: Level,
}

/// How often each shape is asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkloadMix {
    shapes: BTreeMap<GangShape, u64>,
}

impl WorkloadMix {
    /// Counts one more gang; the rarest shape makes room for a new one.
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

    fn rarest(&self, kept: GangShape) -> Option<GangShape> {
        let others = self.shapes.iter().filter(|(shape, _)| **shape != kept);
        others.min_by_key(|(_, count)| **count).map(|(shape, _)| *shape)
    }

    /// Shapes with their counts.
    pub fn shapes(&self) -> impl Iterator<Item = (&GangShape, u64)> {
        self.shapes.iter().map(|(shape, count)| (shape, *count))
    }
}

/// Share of free accelerators that the mix cannot use, between 0 and 1.
pub fn fragmentation(occupancy: &Occupancy, mix: &WorkloadMix) -> f64 {
    let free: u64 = occupancy.slots.iter().map(|s| u64::from(s.free().count_ones())).sum();
    let asked: u64 = mix.shapes().map(|(_, count)| count).sum();
    if free == 0 || asked == 0 {
        return 0.0;
    }
    let wasted = mix.shapes().map(|(shape, count)| {
        let unusable = free - usable(occupancy, shape).min(free);
        unusable as f64 / free as f64 * count as f64
    });
    wasted.sum::<f64>() / asked as f64
}

/// Free accelerators that gangs of one shape could take.
pub fn usable(occupancy: &Occupancy, shape: &GangShape) -> u64 {
    let Ok(order) = u8::try_from(shape.accels.trailing_zeros()) else {
        return 0;
    };
    let level = shape.adjacent.max(Level::Block(order));
    let gangs = scopes(occupancy, level)
        .into_iter()
        .map(|scope| members(occupancy, &scope, order) / u64::from(shape.members.max(1)));
    gangs.sum::<u64>() * u64::from(shape.members) * u64::from(shape.accels)
}

/// Members of blocks of `order` that find a place in a scope.
fn members(occupancy: &Occupancy, scope: &Scope<'_>, order: u8) -> u64 {
    let each =
        |&s: &u32| u64::from(blocks(occupancy.slot(s).free() & scope.mask, order).count_ones());
    scope.slots.iter().map(each).sum()
}
