//! What entries and agents know of the state: the configuration and the announced endpoints.

mod delta;
mod endpoint;
mod routing;

pub use {
    delta::{Delta, DeltaLog, ViewUpdate},
    endpoint::{EndpointRecord, Presence},
    routing::{Error, Result, View},
};
