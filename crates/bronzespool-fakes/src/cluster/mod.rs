//! A whole system as separate processes on this machine, for trying out and for process tests.

mod plan;
mod process;
mod system;
mod text;

pub use {
    plan::{Plan, PlannedCenter},
    process::{Process, Signal, free_address, program},
    system::{Cluster, Result, Worker},
};
