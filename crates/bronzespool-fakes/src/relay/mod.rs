//! A TCP relay that can freeze, cut and delay the connections through it.
//!
//! ```no_run
//! use bronzespool_fakes::relay::{Mode, Relay};
//!
//! # async fn try_out(target: std::net::SocketAddr) -> std::io::Result<()> {
//! let relay = Relay::start(target).await?;
//! // Connect to relay.address() instead of the target, then make the target silent:
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
