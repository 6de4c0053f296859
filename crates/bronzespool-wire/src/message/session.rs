//! Opening a session and what comes over it.

use {
    crate::message::Assignment,
    bronzespool_core::{Capacity, Instance, Place, Refusal, Service, name::Cluster},
    bronzespool_flow::view::{Delta, View},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// What a holder of a session is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// It takes callers' requests.
    Entry,
    /// It stands beside an endpoint.
    Agent,
}

/// What an agent says of its endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// Where it stands.
    pub place: Place,
    /// Random number of the agent's start.
    pub nonce: u64,
    /// Address of the agent.
    pub address: SocketAddr,
    /// Services that the endpoint serves.
    pub services: Vec<Service>,
    /// What it offers.
    pub capacity: Capacity,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Asks for a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRequest {
    /// Name of the cluster that the holder belongs to.
    pub cluster: Cluster,
    /// Role of the holder.
    pub role: Role,
    /// Instance of the holder.
    pub instance: Instance,
    /// Index of the holder's view; a hub that is behind it refuses.
    pub seen: u64,
    /// Present for an agent.
    pub announce: Option<Announce>,
}

/// Opens a session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionGrant {
    /// Incarnation of the agent, zero for an entry.
    pub incarnation: u64,
    /// The whole view.
    pub view: View,
    /// The agent's tasks.
    pub tasks: Vec<Assignment>,
    /// Time in milliseconds for which the session is valid, counted from the request for it.
    pub lease_millis: u32,
}

/// What a hub pushes to the holder of a session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// Changes of the view.
    Delta(Delta),
    /// All tasks that the agent should hold, as of an index of the log.
    Tasks {
        /// The index.
        index: u64,
        /// The tasks.
        tasks: Vec<Assignment>,
    },
}

/// Result of opening a session.
pub type OpenResult = Result<SessionGrant, Refusal>;
