//! Cells: aligned blocks of accelerators, and the cells that guarantees are bound to.

use {
    bronzespool_core::{Instance, Level},
    serde::{Deserialize, Serialize},
};

/// Most accelerators of one worker: one bit each in a mask.
pub const ACCELS_MAX: u32 = 64;

/// What one gang member holds: adjacent accelerators of one worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cell {
    /// The worker.
    pub instance: Instance,
    /// Number of the first accelerator, a multiple of `accels`.
    pub first: u32,
    /// Number of accelerators: a power of two, or zero for cores and memory only.
    pub accels: u32,
}

impl Cell {
    /// One bit for each accelerator held.
    pub const fn mask(&self) -> u64 {
        mask(self.first, self.accels)
    }
}

/// A guaranteed cell that a team uses, fixed to a place while any work of it runs there.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CellBinding {
    /// Level of the cell.
    pub level: Level,
    /// Any worker in the cell; the only one for blocks and workers.
    pub instance: Instance,
    /// Number of a block's first accelerator, else zero.
    pub first: u32,
}

/// Bits `first..first + count`.
pub const fn mask(first: u32, count: u32) -> u64 {
    if count >= ACCELS_MAX {
        return u64::MAX;
    }
    ((1_u64 << count) - 1) << first
}

/// Bits at which an aligned block of `1 << order` lies wholly in `bits`.
pub const fn blocks(bits: u64, order: u8) -> u64 {
    const ALIGNED: [u64; 7] = [
        u64::MAX,
        0x5555_5555_5555_5555,
        0x1111_1111_1111_1111,
        0x0101_0101_0101_0101,
        0x0001_0001_0001_0001,
        0x0000_0001_0000_0001,
        1,
    ];
    let mut found = bits;
    let mut step = 0;
    while step < order {
        found &= found >> (1_u32 << step);
        step += 1;
    }
    found & ALIGNED[order as usize]
}

/// Orders of the maximal aligned blocks in `bits`: one count for each order.
pub fn census(bits: u64) -> [u32; 7] {
    let mut counts = [0; 7];
    let mut rest = bits;
    for order in (0..7_u8).rev() {
        let mut starts = blocks(rest, order);
        while starts != 0 {
            let first = starts.trailing_zeros();
            rest &= !mask(first, 1 << order);
            starts &= starts - 1;
            counts[usize::from(order)] += 1;
        }
    }
    counts
}
