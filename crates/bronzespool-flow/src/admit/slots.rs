//! Slots and connections of one endpoint.

use bronzespool_core::{Capacity, Code};

/// Result of taking slots.
pub(super) type Result<T> = std::result::Result<T, Code>;

/// Which connection a request takes to the endpoint. A connection carries one request at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionSource {
    /// An idle connection that is open already.
    Idle,
    /// A new connection.
    New,
}

/// Counts of what is in use; never above the endpoint's capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Slots {
    slots: u32,
    connections: u32,
    used: u32,
    running: u32,
    idle: u32,
}

impl Slots {
    /// Nothing in use of `capacity`.
    pub const fn new(capacity: &Capacity) -> Self {
        Self {
            slots: capacity.slots,
            connections: capacity.connections,
            used: 0,
            running: 0,
            idle: 0,
        }
    }

    /// Slots in use.
    pub const fn used(&self) -> u32 {
        self.used
    }

    /// Slots that may be taken now.
    pub const fn free(&self) -> u32 {
        self.slots.saturating_sub(self.used)
    }

    /// Requests in flight.
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Idle connections.
    pub const fn idle(&self) -> u32 {
        self.idle
    }

    /// Takes `count` slots and a connection.
    pub const fn acquire(&mut self, count: u32) -> Result<ConnectionSource> {
        if count > self.free() {
            return Err(Code::Overloaded);
        }
        let source = if self.idle > 0 { ConnectionSource::Idle } else { ConnectionSource::New };
        if matches!(source, ConnectionSource::New) && self.running >= self.connections {
            return Err(Code::Overloaded);
        }
        self.idle -= matches!(source, ConnectionSource::Idle) as u32;
        self.used += count;
        self.running += 1;
        Ok(source)
    }

    /// Gives back what [`Slots::acquire`] took. `reuse` says that the connection stays open.
    pub const fn release(&mut self, count: u32, reuse: bool) {
        self.used = self.used.saturating_sub(count);
        self.running = self.running.saturating_sub(1);
        self.idle += reuse as u32;
    }

    /// One idle connection was closed.
    pub const fn close_idle(&mut self) {
        self.idle = self.idle.saturating_sub(1);
    }
}
