//! What operators see of the system.

use {
    bronzespool_schedule::ClusterSummary,
    serde::{Deserialize, Serialize},
};

/// State of one control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// Instance of the replica.
    pub instance: String,
    /// Identity of its disk.
    pub identity: u64,
    /// Leader, follower, candidate or learner.
    pub role: String,
    /// Whether it votes.
    pub voter: bool,
    /// Last index known to be on its disk.
    pub matched: u64,
    /// Milliseconds since the leader last heard from it.
    pub silent_ms: u64,
}

/// State of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointView {
    /// Instance of the endpoint.
    pub instance: String,
    /// Data centre.
    pub center: String,
    /// Rack.
    pub rack: String,
    /// Incarnation of its agent.
    pub incarnation: u64,
    /// Up, draining or down.
    pub presence: String,
    /// Services that it serves.
    pub services: Vec<String>,
    /// Slots.
    pub slots: u32,
    /// Accelerators.
    pub accels: u32,
}

/// State of the system as its leader sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// Leader of control.
    pub leader: String,
    /// Term of the leader.
    pub term: u64,
    /// Last committed index.
    pub commit: u64,
    /// Revision of the configuration.
    pub revision: u64,
    /// Whether the revision is in force everywhere.
    pub in_force: bool,
    /// Control replicas.
    pub replicas: Vec<ReplicaView>,
    /// Endpoints.
    pub endpoints: Vec<EndpointView>,
    /// Claims held.
    pub claims: u64,
    /// Claims without an outcome.
    pub open: u64,
    /// Guarantees, lending and fragmentation.
    pub schedule: ClusterSummary,
}
