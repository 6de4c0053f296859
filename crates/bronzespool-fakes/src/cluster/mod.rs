//! A whole deployment as separate local processes, for trying out and for process tests.

mod plan;
mod process;
mod relays;
mod settings;
mod system;

pub use {
    plan::{Plan, PlannedCenter},
    process::{Process, Signal, free_address, program, send_signal},
    system::{Cluster, Result, Worker},
};
