//! Policies to simulate: the baselines and the project's scheduler.

mod backfill;
mod baseline_state;
mod fifo;
mod oracle;
mod scheduler;

pub use self::{backfill::Backfill, fifo::Fifo, oracle::Oracle, scheduler::Scheduler};
