//! The daemon's roles, for embedding: control, entry and agent.
//!
//! Each role is a future that runs on a current-thread runtime inside a [`tokio::task::LocalSet`],
//! since connections between processes are not `Send`. Sending `true` on its
//! [`tokio::sync::watch`] channel stops a role gracefully.

pub mod agent;
mod arguments;
pub mod batch;
pub mod client;
pub mod clock;
pub mod control;
pub mod entry;
pub mod http;
pub mod limits;
pub mod memory;
mod process;
pub mod telemetry;

pub use process::run;
