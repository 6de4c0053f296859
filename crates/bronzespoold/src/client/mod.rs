//! Client of the session that an entry or an agent holds with a hub.

mod session_client;
mod sink;

pub use session_client::{SessionClient, Subscriber, Timing};
