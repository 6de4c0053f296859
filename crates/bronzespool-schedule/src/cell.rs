//! Cells: aligned blocks of accelerators, and the places to which guaranteed cells are bound.

use {
    bronzespool_core::{Instance, Level},
    serde::{Deserialize, Serialize},
};

/// Largest number of accelerators of a worker; each takes one bit of a `u64` mask.
pub const ACCELS_MAX: u32 = 64;

/// Adjacent accelerators of one worker, allocated to one gang member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cell {
    /// Worker with the accelerators.
    pub instance: Instance,
    /// Index of the first accelerator, a multiple of `accels`.
    pub first: u32,
    /// Number of accelerators: a power of two, or zero if the member uses only cores and memory.
    pub accels: u32,
}

impl Cell {
    /// Mask with one bit set for each accelerator of the cell.
    pub const fn mask(&self) -> u64 {
        mask(self.first, self.accels)
    }
}

/// Binding of a guaranteed cell to a place. It lasts while work of the team runs in the cell on the
/// team's guarantee.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CellBinding {
    /// Level of the cell.
    pub level: Level,
    /// Any worker in the cell; the only worker if the cell is a block or a worker.
    pub instance: Instance,
    /// Index of the first accelerator if the cell is a block, else zero.
    pub first: u32,
}

/// Mask with the bits `first..first + count` set.
pub const fn mask(first: u32, count: u32) -> u64 {
    if count >= ACCELS_MAX {
        return u64::MAX;
    }
    ((1_u64 << count) - 1) << first
}

/// Start positions of all aligned blocks of `1 << order` accelerators contained in `bits`, as a
/// mask.
pub const fn block_starts(bits: u64, order: u8) -> u64 {
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

/// Number of maximal aligned blocks in `bits`, for each order.
pub fn maximal_blocks(bits: u64) -> [u32; 7] {
    let mut counts = [0; 7];
    let mut rest = bits;
    for order in (0..7_u8).rev() {
        let mut starts = block_starts(rest, order);
        while starts != 0 {
            let first = starts.trailing_zeros();
            rest &= !mask(first, 1 << order);
            starts &= starts - 1;
            counts[usize::from(order)] += 1;
        }
    }
    counts
}
