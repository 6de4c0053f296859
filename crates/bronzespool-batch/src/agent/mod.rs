//! The agent's side: leases on the worker's clock, and reconciliation of the worker with the
//! leader's orders.

mod call;
mod crash_reports;
mod fence;
mod lease;
mod pace;
mod reconciler;
mod worker;

pub use {
    call::{
        Action, LastSeen, Limits, ListFailure, ListRequest, Listing, NotStarted, StartOutcome,
        StopOutcome,
    },
    lease::{ClockReading, Lease, lease_duration_max},
    reconciler::Reconciler,
};
