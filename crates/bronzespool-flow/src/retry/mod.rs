//! Retries: only where they are safe, within a budget and never past the caller's deadline.

mod budget;
mod policy;

pub use self::{
    budget::RetryBudget,
    policy::{FailedAttempt, Failure, RetryDecision, RetryPolicy},
};
