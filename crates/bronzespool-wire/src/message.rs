//! Typed messages.
