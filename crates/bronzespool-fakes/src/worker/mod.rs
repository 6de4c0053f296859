//! Stand-in of the platform's worker interface: tasks under leases, usage with a lag.

mod server;
mod task;

pub use {
    server::Worker,
    task::{State, Task},
};
