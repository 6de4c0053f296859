//! Jobs of steps of tasks towards callers and workers: what an adapter of some platform's
//! interfaces builds on.

mod agent;
mod doubt;
mod finder;
mod helper;
mod ready;
mod relay;
pub mod role;
mod seeds;

pub use {
    agent::{Agent, Looked, Options, Worker},
    doubt::Doubt,
    finder::{Fault, Finder, Result, Taken},
    helper::{Outside, run_helper},
    ready::watch_control,
    relay::serve_relay,
    seeds::follow_seeds,
};
