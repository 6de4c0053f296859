//! Policies under measurement: the baselines and the scheduler itself.

mod backfill;
mod baseline_state;
mod fifo;
mod oracle;
mod scheduler;

pub use self::{backfill::Backfill, fifo::Fifo, oracle::Oracle, scheduler::Scheduler};
