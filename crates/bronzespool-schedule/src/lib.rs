//! Guarantees, placement, queues, gangs and reclaim, free of I/O.
//!
//! A [`Book`] holds all durable state and changes only by [`Book::apply`]. [`decide`] reads a book
//! and returns the records that the policy wants next; the caller makes them durable, applies them
//! and asks again until nothing is returned or [`wake`] says when to come back.
//!
//! ```
//! use bronzespool_core::{Capacity, Level, Need, Place, Time};
//! use bronzespool_schedule::{Book, Event, JobSpec, Record, decide};
//!
//! let mut book = Book::default();
//! let place = Place {
//!     region: "bengal".try_into()?,
//!     center: "bankura".try_into()?,
//!     rack: "r1".try_into()?,
//!     instance: "w1".try_into()?,
//! };
//! let capacity = Capacity { cores: 64, memory: 131_072, accels: 8, ..Capacity::default() };
//! let up = Event::WorkerUp { place, capacity, incarnation: 1 };
//! book.apply(&Record::new(Time::ZERO, up)).unwrap();
//! let spec = JobSpec::new("j1".try_into()?, "arima".try_into()?, "desk".try_into()?, "rebuild".try_into()?)
//!     .need(Need { cores: 1_000, memory: 1_024, accels: 4, slots: 0 })
//!     .adjacent(Level::Worker)
//!     .restart(true);
//! book.apply(&Record::new(Time::ZERO, Event::Submitted(spec))).unwrap();
//! let records = decide(&book, Time::ZERO);
//! assert!(matches!(records[0].event, Event::Granted { borrowed: true, .. }));
//! # Ok::<(), bronzespool_core::name::Error>(())
//! ```

pub mod admit;
pub mod book;
pub mod cell;
pub mod estimate;
pub mod explain;
pub mod job;
pub mod mix;
pub mod pack;
pub mod policy;
pub mod record;
pub mod settings;
pub mod summary;

pub use crate::{
    admit::{Refusal, admit},
    book::Book,
    cell::{Bind, Cell},
    explain::{Explanation, Holder, Reason, explain},
    job::{Attempt, JobSpec, JobState, Member, Phase},
    mix::{GangShape, Mix, fragmentation},
    pack::{Clash, Packing, Reserve, pack},
    policy::{Planner, decide, wake},
    record::{Event, JobOutcome, MemberOutcome, Record, StopReason},
    settings::Settings,
    summary::{Summary, TeamSummary, summary},
};
