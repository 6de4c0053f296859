//! Policies under measurement: the baselines and the scheduler itself.

mod backfill;
mod fifo;
mod oracle;
mod pool;
mod scheduler;

pub use self::{backfill::Backfill, fifo::Fifo, oracle::Oracle, scheduler::Scheduler};
