//! Idle connections to one address.

use {
    crate::http::Connection,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Connections that wait for their next request, the one used last at the back.
///
/// The time for which a connection may be idle is short: one that has gone silent looks like an
/// idle one, and only its next request would find out.
#[derive(Debug)]
pub struct ConnectionPool {
    idle_max: Duration,
    /// Connections and the time until which each is kept.
    idle: VecDeque<(Connection, Instant)>,
}

impl ConnectionPool {
    /// An empty pool that keeps a connection idle for `idle_max` at most.
    pub const fn new(idle_max: Duration) -> Self {
        Self { idle_max, idle: VecDeque::new() }
    }

    /// Idle connections.
    pub fn len(&self) -> usize {
        self.idle.len()
    }

    /// Whether there is no idle connection.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }

    /// Takes the connection that was used last.
    pub fn take(&mut self) -> Option<Connection> {
        self.idle.pop_back().map(|(connection, _)| connection)
    }

    /// Keeps a connection whose last answer was whole.
    pub fn put(&mut self, now: Instant, connection: Connection) {
        self.idle.push_back((connection, now + self.idle_max));
    }

    /// Closes the connections that the other side has closed or that were idle for too long;
    /// returns how many.
    pub fn trim(&mut self, now: Instant) -> usize {
        let before = self.idle.len();
        self.idle.retain(|(connection, until)| connection.is_ready() && now < *until);
        before - self.idle.len()
    }

    /// Makes the next [`ConnectionPool::trim`] close all connections that are idle now.
    pub fn expire(&mut self, now: Instant) {
        self.idle.iter_mut().for_each(|(_, until)| *until = now);
    }

    /// Closes all connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }
}
