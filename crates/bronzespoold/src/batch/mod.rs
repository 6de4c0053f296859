//! Building blocks for an adapter between a platform's own interfaces and the batch scheduler:
//! processes that serve callers, workers and operators.

mod agent;
mod drain;
mod explain;
mod external;
mod leader_client;
mod passed_calls;
mod ready;
mod relay;
pub mod role;
mod seeds;
mod unconfirmed;

pub(crate) use passed_calls::PassedCalls;

pub use {
    agent::{Agent, AgentOptions, CheckIn, CheckInOutcome, ListOutcome, Worker},
    drain::DrainRequest,
    external::{ExternalServices, run_external_calls},
    leader_client::{CallError, CallerRequest, LeaderClient, Result},
    ready::watch_control,
    relay::serve_relay,
    seeds::follow_seeds,
    unconfirmed::UnconfirmedJobs,
};
