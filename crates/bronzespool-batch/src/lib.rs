//! Jobs that consist of steps of tasks, run by workers under leases: replicated state, placement
//! decisions and messages, free of I/O.
//!
//! A [`Ledger`] holds the replicated state and changes only by applying [`Record`]s. [`plan::Planner`]
//! reads a ledger and returns the events that the scheduling policy proposes next. An agent beside
//! each worker uses an [`agent::Reconciler`] to compare the leader's orders with the worker's
//! state. [`exchange`] converts an agent's poll to events and the ledger to orders,
//! [`affected`] tells whose orders a record may change.
//!
//! ```
//! use bronzespool_batch::id::{JobId, TaskId};
//!
//! let task: TaskId = "5c0e7a21d94b36f8.0.1.17".parse()?;
//! assert_eq!(task.step.job, JobId(0x5c0e_7a21_d94b_36f8));
//! assert_eq!((task.step.step, task.index), (1, 17));
//! # Ok::<(), bronzespool_batch::id::Error>(())
//! ```

pub mod affected;
pub mod agent;
pub mod cold;
pub mod config;
pub mod contact;
pub mod crash;
pub mod departure;
pub mod exchange;
pub mod grant;
pub mod id;
pub mod ledger;
pub mod message;
pub mod overload;
pub mod plan;
pub mod sampling;
pub mod spec;
pub mod withdrawal;

pub use crate::{
    config::Config,
    id::{JobId, RunId, StepId, TaskId, WorkerIncarnation},
    ledger::{Event, EventOutcome, Ledger, Phase, Record},
    spec::{JobSpec, Resources, Step},
    withdrawal::Withdrawals,
};
