//! Pool of idle connections to one address.

use {
    crate::http::Connection,
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Idle connections to one address, the most recently used one at the back.
///
/// Idle time should be short: a dead connection looks like an idle one until the next request on
/// it fails.
#[derive(Debug)]
pub struct ConnectionPool {
    idle_max: Duration,
    /// Connections, each with the time until which it is kept.
    idle: VecDeque<(Connection, Instant)>,
}

impl ConnectionPool {
    /// Creates an empty pool that keeps a connection idle for at most `idle_max`.
    pub const fn new(idle_max: Duration) -> Self {
        Self { idle_max, idle: VecDeque::new() }
    }

    /// Number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.len()
    }

    /// Whether the pool holds no connection.
    pub fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }

    /// Takes the most recently used connection out of the pool.
    pub fn take(&mut self) -> Option<Connection> {
        self.idle.pop_back().map(|(connection, _)| connection)
    }

    /// Takes the most recently used connection for which a condition holds out of the pool.
    pub fn take_if(&mut self, holds: impl Fn(&Connection) -> bool) -> Option<Connection> {
        let position = self.idle.iter().rposition(|(connection, _)| holds(connection))?;
        self.idle.remove(position).map(|(connection, _)| connection)
    }

    /// Adds a connection whose last response was read completely.
    pub fn put(&mut self, now: Instant, connection: Connection) {
        self.idle.push_back((connection, now + self.idle_max));
    }

    /// Removes the connections that the peer has closed or that were idle for too long, and returns
    /// their number.
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
