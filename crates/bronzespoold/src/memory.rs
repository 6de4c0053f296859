//! Shares of the process's memory, from which bounds in bytes follow.
//!
//! Connections, bodies and calls of others take no more than their shares together. The rest is for the
//! process's own state and for what the allocator cannot reuse.

use {bronzespool::wire::serve::InboundBudget, std::cell::Cell};

/// Memory that is counted on if the settings name none: that of the smallest machine.
pub const MEMORY_DEFAULT_BYTES: u64 = 128 << 20;
/// Least memory that the shares follow from; with less, the process would take no large body at all.
const MEMORY_MIN_BYTES: u64 = 32 << 20;
/// Part of the memory for bodies of requests that are large, with what is made of them.
const BODIES_DIVISOR: u64 = 16;
/// Part of the memory for submissions that other processes pass on, with what is made of them.
const CALLS_DIVISOR: u64 = 8;
/// Part of the memory for large messages of other processes that are being read.
const INBOUND_DIVISOR: u64 = 4;
/// Part of the memory for jobs and waves that are stored, in eighths. It counts the copies in the log and
/// in two snapshots.
const STORED_EIGHTHS: u64 = 3;
/// Memory that one connection of a caller takes: the head of a request and its buffer, a body that is
/// not large, and what is made of it.
const CONNECTION_BYTES: u64 = 64 << 10;

thread_local! {
    /// Each process runs on one thread.
    static MEMORY: Cell<u64> = const { Cell::new(MEMORY_DEFAULT_BYTES) };
}

/// Sets the memory of this process in bytes, before it listens anywhere.
pub fn set(bytes: u64) {
    MEMORY.set(bytes.max(MEMORY_MIN_BYTES));
}

fn share(divisor: u64) -> usize {
    usize::try_from(MEMORY.get() / divisor).unwrap_or(usize::MAX)
}

/// Most bytes for large bodies of requests.
pub fn bodies_max() -> usize {
    share(BODIES_DIVISOR)
}

/// Most bytes for submissions that other processes pass on.
pub fn calls_max() -> usize {
    share(CALLS_DIVISOR)
}

/// Budget for large messages of other processes that are being read.
pub fn inbound_budget() -> InboundBudget {
    InboundBudget::new(share(INBOUND_DIVISOR))
}

/// Most bytes of jobs and waves that are stored.
pub fn stored_max() -> usize {
    share(8) * STORED_EIGHTHS as usize
}

/// Most connections that the memory allows on one listener.
pub fn connections_max() -> usize {
    share(CONNECTION_BYTES)
}
