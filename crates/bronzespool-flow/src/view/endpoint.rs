//! An announced endpoint and its agent.

use {
    bronzespool_core::{Capacity, Place, Service},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Whether an endpoint may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Presence {
    /// Its agent holds a session.
    Up,
    /// It is leaving: no new work.
    Draining,
    /// Its agent's session has ended.
    Down,
}

/// An endpoint as its agent announced it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Where it stands.
    pub place: Place,
    /// Number of the agent's start, rising for each instance.
    pub incarnation: u64,
    /// Random number of the agent's start: tells a resent announcement from a restart.
    pub nonce: u64,
    /// Address of the agent.
    pub address: SocketAddr,
    /// Services that the endpoint serves.
    pub services: Vec<Service>,
    /// What it offers.
    pub capacity: Capacity,
    /// Whether it may get new work.
    pub presence: Presence,
}
