//! Overload: when a service has more work than it can do in time, what is then rejected, in which
//! order waiting work is served, and which runs may be stopped.
//!
//! [`Detector::assess`] compares the waiting and running work in a ledger with the capacity of the
//! workers. Its result, an [`Overload`], is part of the planner's view and decides on admission.
//! Outside of overload the planner decides as if this module did not exist. Design note 0012 gives
//! the reasons.

pub mod admission;
mod arrivals;
pub mod budget;
mod checkpoints;
pub mod demand;
mod detect;
mod explain;
mod forecast;
pub mod order;
pub(crate) mod times;

pub use {
    detect::{ClassState, Detector, Overload},
    explain::WaitsInOverload,
    times::{JobTimes, job_times},
};
