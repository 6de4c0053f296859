//! Ejection of endpoints that fail or are slow.

mod outlier;
mod stats;

pub use self::{
    outlier::{Ejector, Rules, Use},
    stats::Sample,
};
