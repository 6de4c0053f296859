//! Stand-in endpoint: answers every kind from the request itself and records every start by key.

mod fault;
mod record;
mod server;

pub use {
    fault::Fault,
    record::{Record, Start},
    server::{Endpoint, expected},
};
