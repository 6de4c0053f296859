//! Gang scheduler for accelerators under team guarantees: admission, placement, queues and reclaim,
//! without any I/O.
//!
//! A [`SchedulerState`] holds all durable state and changes only through [`SchedulerState::apply`].
//! [`Planner::decide`] reads the state and returns the records to apply next. The caller replicates
//! these records, applies them and calls it again until it returns none; [`Planner::wake`] then gives
//! the time of the next decision.
//!
//! ```
//! use bronzespool_core::{Capacity, Level, Need, Place, Time};
//! use bronzespool_schedule::{SchedulerState, Event, JobSpec, Planner, Record};
//!
//! let mut state = SchedulerState::default();
//! let place = Place {
//!     region: "bengal".try_into()?,
//!     center: "bankura".try_into()?,
//!     rack: "r1".try_into()?,
//!     instance: "w1".try_into()?,
//! };
//! let capacity = Capacity { cores: 64, memory: 131_072, accels: 8, ..Capacity::default() };
//! let up = Event::WorkerUp { place, capacity, incarnation: 1 };
//! state.apply(&Record::new(Time::ZERO, up)).unwrap();
//! let spec = JobSpec::new("j1".try_into()?, "arima".try_into()?, "desk".try_into()?, "rebuild".try_into()?)
//!     .need(Need { cores: 1_000, memory: 1_024, accels: 4, slots: 0 })
//!     .adjacent(Level::Worker)
//!     .restartable(true);
//! state.apply(&Record::new(Time::ZERO, Event::Submitted(spec))).unwrap();
//! let records = Planner::default().decide(&state, Time::ZERO);
//! assert!(matches!(records[0].event, Event::Granted { borrowed: true, .. }));
//! # Ok::<(), bronzespool_core::name::Error>(())
//! ```

pub mod admit;
pub mod cell;
pub mod estimate;
pub mod explain;
pub mod fragmentation;
pub mod job;
pub mod pack;
pub mod policy;
pub mod record;
pub mod settings;
pub mod state;
pub mod summary;

pub use crate::{
    admit::{AdmissionRefusal, admit},
    cell::{Cell, CellBinding},
    explain::{CellHolder, Explanation, StatusReason, explain},
    fragmentation::{GangShape, WorkloadMix, fragmentation},
    job::{Attempt, JobPhase, JobSpec, JobState, MemberState},
    pack::{FailureReserve, GuaranteeConflict, Packing, pack},
    policy::{Delivery, Planner},
    record::{Event, JobOutcome, MemberOutcome, Record, StopReason},
    settings::PolicySettings,
    state::SchedulerState,
    summary::{ClusterSummary, TeamSummary, summarize},
};
