//! Run times of tasks and speeds of workers, learned from runs and free of I/O.
//!
//! Declared durations are often far off, and workers are not equally fast. A [`Model`] takes a
//! [`Sample`] for each run and separates how much work a task is from how fast its worker is.
//! [`Estimates`] are the result that decisions read. Without evidence they return the declared
//! duration and the speed of a typical worker.
//!
//! ```
//! use bronzespool_estimate::{Estimates, Kind};
//! use std::time::Duration;
//!
//! let kind = Kind { queue: "checks".into(), image: None };
//! let declared = Duration::from_secs(2);
//! let work = Estimates::default().work(&kind, None, declared);
//! assert_eq!(work.expected, declared);
//! ```

mod estimates;
mod model;
mod sample;

pub use {
    estimates::{Estimates, Speed, Work},
    model::{Model, Summary},
    sample::{Kind, Sample, StepKey},
};
