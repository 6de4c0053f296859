//! What processes tell about themselves: typed log events, and the path that their lines take to
//! standard output.
//!
//! Each decision that touches a request, or changes what a process believes, is an [`Event`] with a
//! type of its own, so that the page of events is made from the code. [`LogQueue`] bounds the lines and
//! never waits for their reader.
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
