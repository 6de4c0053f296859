//! The agent of an endpoint: announces the endpoint to control, admits its requests and reports
//! their outcomes.
//!
//! If the endpoint has a worker interface, the agent also runs the tasks assigned to the instance.

mod endpoint;
mod reconciler;
mod requests;
mod server;
mod start;
mod state;
mod usage;
mod worker;

pub use start::{Options, run};
