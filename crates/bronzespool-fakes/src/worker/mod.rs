//! Fake of the platform's worker interface: tasks under leases, and usage reports with a delay.

mod record;
mod server;
mod task;

pub use {
    record::{Overlap, Record},
    server::Worker,
    task::{State, Task},
};
