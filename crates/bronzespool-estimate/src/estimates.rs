//! Estimates that decisions read.

use {
    crate::sample::{Kind, StepKey},
    bronzespool_core::Instance,
    std::time::Duration,
};

/// Estimated speed of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Multiple of the speed of a typical worker: a task that takes 2 s there takes 1 s at 2.0.
    pub factor: f64,
    /// Number of runs behind the estimate.
    pub samples: u32,
}

impl Speed {
    /// Speed of a worker about which nothing is known.
    pub const UNKNOWN: Self = Self { factor: 1.0, samples: 0 };
}

/// Estimated duration of a task on a typical worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Mean.
    pub expected: Duration,
    /// Duration that nine of ten such tasks do not exceed.
    pub high: Duration,
    /// Number of runs behind the estimate.
    pub samples: u32,
}

/// Estimates at one point in time. Clones share their data.
#[derive(Clone, Debug, Default)]
pub struct Estimates {}

impl Estimates {
    /// Returns the speed of the worker beside the agent on an instance.
    pub const fn speed(&self, _instance: &Instance) -> Speed {
        Speed::UNKNOWN
    }

    /// Returns the duration of a task on a typical worker. Runs of the same step count most.
    pub const fn work(&self, _kind: &Kind, _step: Option<StepKey>, declared: Duration) -> Work {
        Work { expected: declared, high: declared, samples: 0 }
    }
}
