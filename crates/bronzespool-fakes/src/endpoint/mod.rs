//! Fake endpoint that derives its answer from the request and records every start of a request by
//! idempotency key.

mod fault;
mod record;
mod server;

pub use {
    fault::Fault,
    record::{Record, Start},
    server::{Endpoint, expected},
};
