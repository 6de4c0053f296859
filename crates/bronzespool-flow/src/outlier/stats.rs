//! Evidence about one endpoint.

use std::time::Duration;

/// Weight of the newest sample in the mean latency.
const NEW_WEIGHT: f64 = 0.1;

/// One answer, or the lack of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// A whole answer after this span.
    Answered(Duration),
    /// No answer, a short one, or a server error.
    Failed,
}

/// Counts of one window and a mean latency that outlasts it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Stats {
    answered: u32,
    failed: u32,
    latency: f64,
}

impl Stats {
    pub(super) fn add(&mut self, sample: Sample) {
        match sample {
            Sample::Answered(span) => {
                self.answered += 1;
                self.mean(span.as_secs_f64());
            }
            Sample::Failed => self.failed += 1,
        }
    }

    pub(super) const fn count(&self) -> u32 {
        self.answered + self.failed
    }

    /// Share of failures of the window.
    pub(super) fn failures(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.count().max(1))
    }

    /// Mean latency in seconds, zero without an answer.
    pub(super) const fn latency(&self) -> f64 {
        self.latency
    }

    /// Starts a new window.
    pub(super) const fn roll(&mut self) {
        self.answered = 0;
        self.failed = 0;
    }

    fn mean(&mut self, secs: f64) {
        if self.latency == 0.0 {
            self.latency = secs;
        }
        self.latency += NEW_WEIGHT * (secs - self.latency);
    }
}
