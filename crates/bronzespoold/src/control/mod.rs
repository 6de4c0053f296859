//! A control instance: a replica of the log, a hub for the sessions of entries and agents, and, on
//! the leader, the controllers.

mod addresses;
mod batch;
mod hub;
mod leader;
mod replica;
mod server;
mod start;
mod state;
mod submissions;
mod transport;
mod writer;

pub use addresses::name_from_address;
pub use start::{Error, Options, Result, SESSIONS_MAX, run};
