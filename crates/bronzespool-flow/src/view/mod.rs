//! What entries and agents know of the state: the configuration and the announced endpoints.

mod delta;
mod peer;
mod routing;

pub use {
    delta::{Change, Delta, Log},
    peer::{Peer, Presence},
    routing::{Error, Result, View},
};
