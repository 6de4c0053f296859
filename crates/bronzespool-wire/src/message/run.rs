//! Messages from an entry to an agent and their replies.

use {
    bronzespool_core::{Code, Digest, Kind, Refusal, Service, Team, Time},
    bronzespool_flow::{
        admit::{AttemptId, AttemptStatus},
        claim::Completion,
    },
    serde::{Deserialize, Serialize},
};

/// How a request is executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunMode {
    /// A protected request, which runs at most once.
    Protected(AttemptId),
    /// An idempotent request, which may run again.
    Idempotent,
}

/// A request for the endpoint. Its body is a separate field of the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRequest {
    /// Identifier of the request.
    pub request: String,
    /// Revision of the configuration at the entry.
    pub revision: u64,
    /// Incarnation of the agent that the request is addressed to.
    pub incarnation: u64,
    /// How the request is executed.
    pub mode: RunMode,
    /// Team of the caller.
    pub team: Team,
    /// Service that is called.
    pub service: Service,
    /// Kind of the request.
    pub kind: Kind,
    /// Idempotency key, as passed to the endpoint.
    pub key: Option<String>,
    /// Digest of the body.
    pub digest: Digest,
    /// Slots that the request occupies.
    pub slots: u32,
    /// Remaining time in milliseconds until the deadline of the caller.
    pub timeout_millis: u64,
}

/// State of an agent, sent with every reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentState {
    /// Time by the agent's clock.
    pub clock: Time,
    /// Incarnation of the agent, or zero before its first session.
    pub incarnation: u64,
    /// Revision of the configuration at the agent.
    pub revision: u64,
    /// Slots in use.
    pub used: u32,
    /// Total number of slots.
    pub slots: u32,
    /// Whether the agent accepts new requests.
    pub accepting: bool,
}

/// Reply to a [`RunRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReply {
    /// State of the agent.
    pub state: AgentState,
    /// Result of the request.
    pub result: Result<Completion, Refusal>,
}

/// Reply to a status query or a fence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// State of the agent.
    pub state: AgentState,
    /// Status of the attempt.
    pub status: AttemptStatus,
}

impl RunReply {
    /// Creates a reply that refuses the request.
    pub fn refused(state: AgentState, code: Code) -> Self {
        Self { state, result: Err(code.into()) }
    }
}
