//! The agent beside an endpoint: announces it, admits its work and reports outcomes.

mod endpoint;
mod reconciler;
mod requests;
mod server;
mod start;
mod state;
mod usage;
mod worker;

pub use start::{Options, run};
