//! Messages and connections between bronzespool processes.
//!
//! Calls are sent by Cap'n Proto over TCP and carry a [`frame`]: a version, a checksum and a typed
//! [`message`]. A [`link`] keeps one connection to an address, detects a dead peer by call timeouts
//! and reconnects.
//!
//! ```
//! use bronzespool_wire::frame;
//!
//! let bytes = frame::encode(&("permit", 7_u32));
//! let back: (String, u32) = frame::decode(&bytes).unwrap();
//! assert_eq!(back.1, 7);
//! ```

pub mod frame;
mod inbound;
pub mod link;
pub mod message;
pub mod serve;

#[allow(missing_docs, clippy::all, clippy::pedantic, unreachable_pub)]
mod generated {
    pub mod bronzespool_capnp;
}

pub use generated::bronzespool_capnp;
