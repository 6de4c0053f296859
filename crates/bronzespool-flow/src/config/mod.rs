//! The configuration in force, updated by compare-and-set.

mod store;

pub use store::{ConfigOutcome, ConfigStore, ConfigUpdate};
