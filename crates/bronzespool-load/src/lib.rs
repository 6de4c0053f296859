//! Open-loop load generator and measurements of the request path. It is a development tool and not
//! shipped.
//!
//! Arrivals follow a seeded schedule that does not wait for responses. Response times are counted
//! from the scheduled arrival, so that they include the time in queues.

pub mod generate;
pub mod path;
pub mod report;
pub mod service;
pub mod usage;

/// Result of a measurement or one of its steps.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;
