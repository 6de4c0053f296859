//! Claims, fences, limits, retries, routing and drains, free of I/O.
//!
//! Input is a time and a message; output is a decision. Nothing here opens a socket or reads a
//! clock, so each part is tested by calling it.

pub mod config;
pub mod session;
pub mod view;
