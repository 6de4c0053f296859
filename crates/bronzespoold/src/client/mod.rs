//! The session that an entry or an agent holds with a hub.

mod keeper;
mod sink;

pub use keeper::{Keeper, Subscriber, Timing};
