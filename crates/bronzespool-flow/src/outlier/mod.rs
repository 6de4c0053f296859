//! Outlier detection: ejects endpoints that fail or are slow.

mod detector;
mod stats;

pub use self::{
    detector::{Eligibility, OutlierDetector, OutlierRules},
    stats::Sample,
};
