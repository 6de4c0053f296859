//! Statistics of one endpoint.

use std::time::Duration;

/// Weight of a new sample in the moving average of the latency.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Result of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sample {
    /// A complete answer, with the time that it took.
    Answered(Duration),
    /// No answer, an incomplete answer or a server error.
    Failed,
}

/// Counts of the current window, and a moving average of the latency that spans windows.
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
                self.update_latency(span.as_secs_f64());
            }
            Sample::Failed => self.failed += 1,
        }
    }

    pub(super) const fn count(&self) -> u32 {
        self.answered + self.failed
    }

    /// Share of failures in the window.
    pub(super) fn failure_share(&self) -> f64 {
        f64::from(self.failed) / f64::from(self.count().max(1))
    }

    /// Moving average of the latency in seconds; zero before the first answer.
    pub(super) const fn latency(&self) -> f64 {
        self.latency
    }

    /// Starts a new window.
    pub(super) const fn start_window(&mut self) {
        self.answered = 0;
        self.failed = 0;
    }

    fn update_latency(&mut self, secs: f64) {
        if self.latency == 0.0 {
            self.latency = secs;
        }
        self.latency += SAMPLE_WEIGHT * (secs - self.latency);
    }
}
