//! Connections that detect dead peers by call timeouts and reconnect.

mod connection;
mod error;

pub use {
    connection::Link,
    error::{Error, Result},
};
