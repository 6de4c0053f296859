//! The configuration in force, changed by compare-and-set.

mod store;

pub use store::{ConfigOutcome, ConfigStore, ConfigUpdate};
