//! Jobs of steps of tasks towards callers and workers: what an adapter of some platform's
//! interfaces builds on.

mod agent;
mod external;
mod leader_client;
mod ready;
mod relay;
pub mod role;
mod seeds;
mod unconfirmed;

pub use {
    agent::{Agent, AgentOptions, ListOutcome, Worker},
    external::{ExternalServices, run_external_calls},
    leader_client::{CallError, CallerRequest, LeaderClient, Result},
    ready::watch_control,
    relay::serve_relay,
    seeds::follow_seeds,
    unconfirmed::UnconfirmedJobs,
};
