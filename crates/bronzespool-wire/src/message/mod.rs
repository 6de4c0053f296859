//! Typed messages, by the call that carries them.

mod burn;
mod call;
mod job;
mod run;
mod session;
mod status;
mod task;

pub use {
    burn::BurnView,
    call::{Answered, Call, Claimed, KindCounts, Progress, Published, Reply},
    job::{ExplainView, HolderView, JobView},
    run::{AgentState, Run, RunReply, StatusReply, Work},
    session::{Announce, Hello, Opened, Role, Update, Welcome},
    status::{EndpointView, ReplicaView, StatusView},
    task::{Assignment, Report, Step, TaskEvent, TaskId, TaskUsage},
};
