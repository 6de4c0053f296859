//! Sessions between a hub and the processes near it.
//!
//! The lease of a session ends at two times. The [`SessionHolder`] ends it by its own clock,
//! counted from when it sent the renewal. The [`SessionTable`] of the hub ends it later, counted
//! from when the renewal arrived, plus a margin for the drift between the two clocks. So the hub
//! never regards a session as ended while its holder still accepts work.

mod holder;
mod table;

pub use {
    holder::SessionHolder,
    table::{EndedSession, SessionId, SessionTable},
};
