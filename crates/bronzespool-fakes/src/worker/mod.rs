//! Stand-in of the platform's worker interface: tasks under leases, usage with a lag.

mod record;
mod server;
mod task;

pub use {
    record::{Overlap, Record},
    server::Worker,
    task::{State, Task},
};
