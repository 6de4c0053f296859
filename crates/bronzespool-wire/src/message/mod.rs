//! Typed messages, by the call that carries them.

mod call;
mod job;
mod run;
mod session;
mod status;
mod task;

pub use {
    call::{Answered, Call, Claimed, Progress, Published, Reply},
    job::{ExplainView, HolderView, JobView},
    run::{AgentState, Run, RunReply, StatusReply, Work},
    session::{Announce, Hello, Opened, Role, Update, Welcome},
    status::{EndpointView, ReplicaView, StatusView},
    task::{Assignment, Report, Step, TaskEvent, TaskId, TaskUsage},
};
