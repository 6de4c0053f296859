//! Views of the cluster for operators.

use {
    bronzespool_core::trailing,
    bronzespool_schedule::ClusterSummary,
    serde::{Deserialize, Serialize},
};

/// State of one control replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaView {
    /// Instance of the replica.
    pub instance: String,
    /// Identity stored on its disk.
    pub identity: u64,
    /// Leader, follower, candidate or learner.
    pub role: String,
    /// Whether it is a voter.
    pub voter: bool,
    /// Last log index that is known to be on its disk.
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
    /// Presence: up, draining or down.
    pub presence: String,
    /// Services that it serves.
    pub services: Vec<String>,
    /// Number of request slots.
    pub slots: u32,
    /// Number of accelerators.
    pub accels: u32,
}

/// Drain of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CenterView {
    /// Data centre.
    pub center: String,
    /// Whether nothing new starts there.
    pub drained: bool,
    /// Revision of the last change, zero if there was none.
    pub revision: u64,
    /// Whether every session has acknowledged the last change or has ended.
    pub in_force: bool,
}

/// State of the cluster as seen by its leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusView {
    /// Instance of the leader.
    pub leader: String,
    /// Term of the leader.
    pub term: u64,
    /// Last committed log index.
    pub commit: u64,
    /// Revision of the configuration.
    pub revision: u64,
    /// Whether the revision is in force everywhere.
    pub in_force: bool,
    /// Control replicas.
    pub replicas: Vec<ReplicaView>,
    /// Endpoints.
    pub endpoints: Vec<EndpointView>,
    /// Number of stored claims.
    pub claims: u64,
    /// Number of claims without an outcome.
    pub open: u64,
    /// Guarantees, borrowed capacity and fragmentation.
    pub schedule: ClusterSummary,
    /// Data centres that were ever drained. Leaders of former versions end the message before it.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    #[serde(deserialize_with = "trailing::read_or_default")]
    pub centers: Vec<CenterView>,
}
