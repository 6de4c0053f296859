//! Requests from an entry to an agent.

use {
    bronzespool_core::{Code, Digest, Kind, Refusal, Service, Team, Time},
    bronzespool_flow::{
        admit::{AttemptId, AttemptStatus},
        claim::Completion,
    },
    serde::{Deserialize, Serialize},
};

/// What is run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunMode {
    /// A protected request, run at most once.
    Protected(AttemptId),
    /// An idempotent request.
    Idempotent,
}

/// A request for the endpoint. Its body travels beside it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Id of the request.
    pub request: String,
    /// Revision of the configuration at the entry.
    pub revision: u64,
    /// Incarnation of the agent that is meant.
    pub incarnation: u64,
    /// What is run.
    pub mode: RunMode,
    /// Team of the caller.
    pub team: Team,
    /// Service that is called.
    pub service: Service,
    /// Kind of the request.
    pub kind: Kind,
    /// Key, as the endpoint sees it.
    pub key: Option<String>,
    /// Digest of the body.
    pub digest: Digest,
    /// Slots that it takes.
    pub slots: u32,
    /// Time in milliseconds that the caller still waits.
    pub timeout_millis: u64,
}

/// What an agent tells of itself with every reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentState {
    /// Reading of the agent's clock.
    pub clock: Time,
    /// Incarnation, zero before its first session.
    pub incarnation: u64,
    /// Revision of its configuration.
    pub revision: u64,
    /// Slots in use.
    pub used: u32,
    /// Slots in all.
    pub slots: u32,
    /// Whether it takes new work.
    pub accepting: bool,
}

/// Reply to a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReply {
    /// State of the agent.
    pub state: AgentState,
    /// What became of the request.
    pub result: Result<Completion, Refusal>,
}

/// Reply to a question or a fence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// State of the agent.
    pub state: AgentState,
    /// What is known of the attempt.
    pub status: AttemptStatus,
}

impl RunReply {
    /// A reply that refuses.
    pub fn refused(state: AgentState, code: Code) -> Self {
        Self { state, result: Err(code.into()) }
    }
}
