//! The agent's side: leases on the worker's clock and reconciliation with the leader's orders.

mod call;
mod known;
mod lease;
mod pace;
mod reconciler;

pub use {
    call::{Action, Limits, ListRequest, Listing, StartOutcome, StopOutcome},
    lease::{ClockReading, Lease, lease_duration_max},
    reconciler::Reconciler,
};
