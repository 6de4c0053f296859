//! The view: the part of control's state that entries and agents follow, which is the
//! configuration and the announced endpoints.

mod delta;
mod endpoint;
mod routing;

pub use {
    delta::{Delta, DeltaLog, ViewUpdate},
    endpoint::{EndpointRecord, Presence},
    routing::{Error, Result, View},
};
