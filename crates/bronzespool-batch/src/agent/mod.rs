//! The agent's side: leases on the worker's clock and reconciliation with the leader's orders.

mod desk;
mod lease;
mod pace;

pub use {
    desk::{Action, Desk, Limits, Listing, Look, Started, Stopped},
    lease::{Lease, Reading, longest},
};
