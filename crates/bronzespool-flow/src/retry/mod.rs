//! Retries: only where safe, within a budget, never past the caller's deadline.

mod budget;
mod policy;

pub use self::{
    budget::RetryBudget,
    policy::{FailedAttempt, Failure, RetryDecision, RetryPolicy},
};
