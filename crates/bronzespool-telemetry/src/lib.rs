//! Typed log events, and the queue through which their lines reach standard output.
//!
//! Each decision that affects a request, and each change in what a process knows of the cluster, is
//! an [`Event`] with its own type, so that the page of events is generated from the code.
//! [`LogQueue`] limits the lines and never blocks on their reader.
//!
//! ```
//! use bronzespool_telemetry::{Event, event::ReadinessChanged};
//!
//! ReadinessChanged { ready: true, silent_ms: 0 }.emit();
//! assert_eq!(ReadinessChanged::INFO.text, "readiness has changed");
//! ```

mod budget;
pub mod event;
mod queue;

pub use {
    budget::LogBudget,
    event::{Event, EventInfo, Origin, table},
    queue::LogQueue,
};
