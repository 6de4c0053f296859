//! Drains of data centres: the order of an operator that nothing new starts there, until it is
//! revoked.
//!
//! [`CenterDrains`] is a deterministic state machine. The leader calls [`CenterDrains::decide`] and
//! proposes the change only if that leaves the outcome open; [`CenterDrains::apply`] decides for the
//! committed record. Each change names the revision that it is based on, so a copy that was held up
//! changes nothing once another change was made. The drain of a single instance is independent: it
//! is the [presence](crate::view::Presence) of its agent.

mod center;

pub use center::{CenterChange, CenterDrain, CenterDrains, CenterOutcome};
