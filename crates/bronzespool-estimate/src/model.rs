//! The model that learns from samples.

use {
    crate::{estimates::Estimates, sample::Sample},
    bronzespool_core::Time,
};

/// Learns run times and worker speeds from samples.
#[derive(Clone, Debug, Default)]
pub struct Model {}

impl Model {
    /// Creates a model without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a sample, which replaces an earlier one of the same run.
    pub fn record(&mut self, _sample: Sample) {}

    /// Fits the effects of workers and steps to the samples.
    pub fn refit(&mut self, _now: Time) {}

    /// Returns the estimates of the latest fit.
    pub fn estimates(&self) -> Estimates {
        Estimates::default()
    }
}
