//! Sessions between a hub and the processes near it.
//!
//! The [`SessionHolder`] ends its session by its own clock, counted from when it sent the renewal; the
//! [`SessionTable`] ends it later, counted from when the renewal arrived, plus a margin for the drift of
//! the two clocks. So the hub never counts a session as ended while its holder still takes work.

mod holder;
mod table;

pub use {
    holder::SessionHolder,
    table::{EndedSession, SessionId, SessionTable},
};
