//! Connections that are found silent by deadlines and made anew.

mod connection;
mod error;

pub use {
    connection::Link,
    error::{Error, Result},
};
