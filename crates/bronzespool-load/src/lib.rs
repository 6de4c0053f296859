//! Open-loop load generator and measurements of the request path. Not shipped.
//!
//! Arrivals follow a seeded schedule that does not wait for answers, and every time is counted
//! from the scheduled arrival, so that waiting in a queue is part of the figure.

pub mod generate;
pub mod path;
pub mod report;
pub mod service;
pub mod usage;

/// Result of a measurement.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;
