//! Slots and connections in use at one endpoint.

use bronzespool_core::{Capacity, Code};

/// Result of acquiring slots.
pub(super) type Result<T> = std::result::Result<T, Code>;

/// Which connection a request uses to the endpoint. A connection carries one request at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionSource {
    /// An idle connection that is already open.
    Idle,
    /// A new connection.
    New,
}

/// Slots and connections in use, never more than the endpoint's capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Slots {
    slots_max: u32,
    connections_max: u32,
    used: u32,
    running: u32,
    idle: u32,
}

impl Slots {
    /// Counters for `capacity`, with nothing in use.
    pub const fn new(capacity: &Capacity) -> Self {
        Self {
            slots_max: capacity.slots,
            connections_max: capacity.connections,
            used: 0,
            running: 0,
            idle: 0,
        }
    }

    /// Number of slots in use.
    pub const fn used(&self) -> u32 {
        self.used
    }

    /// Number of slots that are free.
    pub const fn free(&self) -> u32 {
        self.slots_max.saturating_sub(self.used)
    }

    /// Number of requests in flight.
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Number of idle connections.
    pub const fn idle(&self) -> u32 {
        self.idle
    }

    /// Acquires `count` slots and a connection, or fails with [`Code::Overloaded`].
    pub const fn acquire(&mut self, count: u32) -> Result<ConnectionSource> {
        if count > self.free() {
            return Err(Code::Overloaded);
        }
        let source = if self.idle > 0 { ConnectionSource::Idle } else { ConnectionSource::New };
        if matches!(source, ConnectionSource::New) && self.running >= self.connections_max {
            return Err(Code::Overloaded);
        }
        self.idle -= matches!(source, ConnectionSource::Idle) as u32;
        self.used += count;
        self.running += 1;
        Ok(source)
    }

    /// Releases what [`Slots::acquire`] acquired. `reuse` says that the connection stays open.
    pub const fn release(&mut self, count: u32, reuse: bool) {
        self.used = self.used.saturating_sub(count);
        self.running = self.running.saturating_sub(1);
        self.idle += reuse as u32;
    }

    /// Records that one idle connection was closed.
    pub const fn close_idle(&mut self) {
        self.idle = self.idle.saturating_sub(1);
    }
}
