//! Typed messages, grouped by the call that carries them.

mod burn;
mod call;
mod job;
mod run;
mod session;
mod status;
mod task;

pub use {
    burn::BurnView,
    call::{Call, CallResult, ClaimResult, HubProgress, KindCounts, Published, Reply},
    job::{ExplainView, HolderView, JobView},
    run::{AgentState, RunMode, RunReply, RunRequest, StatusReply},
    session::{Announce, OpenResult, Role, SessionGrant, SessionRequest, Update},
    status::{CenterView, EndpointView, ReplicaView, StatusView},
    task::{Assignment, DesiredState, Report, TaskEvent, TaskId, TaskUsage},
};
