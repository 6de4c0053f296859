//! A TCP relay that freezes, cuts and delays what passes through it.
//!
//! ```no_run
//! use bronzespool_fakes::relay::{Mode, Relay};
//!
//! # async fn try_out(target: std::net::SocketAddr) -> std::io::Result<()> {
//! let relay = Relay::start(target).await?;
//! // Connect to relay.address() in place of the target, then lose the peer in silence:
//! relay.set(Mode::Freeze);
//! # Ok(())
//! # }
//! ```

mod mode;
mod server;

pub use {
    mode::Mode,
    server::{Relay, Traffic},
};
