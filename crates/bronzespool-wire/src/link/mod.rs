//! Connections that are found silent by deadlines and made anew.

mod error;
mod keeper;

pub use {
    error::{Error, Result},
    keeper::Link,
};
