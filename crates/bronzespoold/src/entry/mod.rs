//! The entry role: the HTTP interface of callers and operators.

mod agent_links;
mod dispatch;
mod filter;
mod jobs;
mod operators;
mod report;
mod server;
mod start;
mod state;
mod traffic;

pub use start::{Options, run};
