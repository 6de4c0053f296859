//! Messages that open a session, and updates pushed over it.

use {
    crate::message::Assignment,
    bronzespool_core::{
        Capacity, Center, Instance, Place, Refusal, Service, name::Cluster, trailing,
    },
    bronzespool_flow::view::{Delta, View},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, net::SocketAddr},
};

/// Role of the holder of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// An entry, which accepts requests of callers.
    Entry,
    /// An agent, which runs beside an endpoint.
    Agent,
}

/// Announcement of an endpoint by its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// Location of the endpoint instance.
    pub place: Place,
    /// Random number that the agent draws at its start.
    pub nonce: u64,
    /// Address of the agent.
    pub address: SocketAddr,
    /// Services that the endpoint serves.
    pub services: Vec<Service>,
    /// Capacity of the endpoint instance.
    pub capacity: Capacity,
    /// Whether the endpoint is draining.
    pub leaving: bool,
}

/// Request to open a session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionRequest {
    /// Name of the cluster that the holder belongs to.
    pub cluster: Cluster,
    /// Role of the holder.
    pub role: Role,
    /// Instance of the holder.
    pub instance: Instance,
    /// Log index of the holder's view; a hub that has applied less refuses the session.
    pub seen: u64,
    /// Announcement of the endpoint, if the holder is an agent.
    pub announce: Option<Announce>,
}

/// Answer that opens a session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SessionGrant {
    /// Incarnation of the agent, or zero for an entry.
    pub incarnation: u64,
    /// The complete view.
    pub view: View,
    /// Tasks assigned to the agent.
    pub tasks: Vec<Assignment>,
    /// Milliseconds for which the session is valid, counted from the time of its request.
    pub lease_millis: u32,
    /// Data centres that are drained. Hubs of former versions end the message before it.
    #[serde(skip_serializing_if = "trailing::is_default")]
    #[serde(deserialize_with = "trailing::read_or_default")]
    pub drained: BTreeSet<Center>,
}

impl SessionGrant {
    /// Takes the complete view out of the grant, with the drained data centres.
    pub fn take_view(&mut self) -> View {
        let drained = std::mem::take(&mut self.drained);
        View { drained, ..std::mem::take(&mut self.view) }
    }
}

/// Update that a hub pushes to the holder of a session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// Changes of the view.
    Delta(Delta),
    /// All tasks assigned to the agent as of a log index.
    Tasks {
        /// The log index.
        index: u64,
        /// The tasks.
        tasks: Vec<Assignment>,
    },
}

/// Result of opening a session.
pub type OpenResult = Result<SessionGrant, Refusal>;
