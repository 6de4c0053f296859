//! The agent's side: leases on the worker's clock and reconciliation with the leader's orders.

mod call;
mod desk;
mod known;
mod lease;
mod pace;

pub use {
    call::{Action, Limits, Listing, Look, Started, Stopped},
    desk::Desk,
    lease::{Lease, Reading, longest},
};
