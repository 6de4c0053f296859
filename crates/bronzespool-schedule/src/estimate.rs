//! Estimates of run times from completed runs.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Number of recent runs kept for each team and kind.
pub const SAMPLES_MAX: usize = 32;

/// Run times of the most recent completed runs of one job kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuntimeEstimate {
    samples: Vec<Duration>,
    sorted: Vec<Duration>,
    next: usize,
}

impl RuntimeEstimate {
    /// Adds the run time of a completed run; the oldest sample is replaced once there are
    /// [`SAMPLES_MAX`].
    pub fn push(&mut self, span: Duration) {
        if self.samples.len() < SAMPLES_MAX {
            self.samples.push(span);
        } else {
            let oldest = std::mem::replace(&mut self.samples[self.next], span);
            self.next = (self.next + 1) % SAMPLES_MAX;
            if let Ok(at) = self.sorted.binary_search(&oldest) {
                self.sorted.remove(at);
            }
        }
        let at = self.sorted.partition_point(|s| *s < span);
        self.sorted.insert(at, span);
    }

    /// Run time that a share of `thousandths` of the samples does not exceed; `None` without
    /// samples.
    pub fn quantile(&self, thousandths: usize) -> Option<Duration> {
        let rank = (self.sorted.len() * thousandths).div_ceil(1_000).max(1);
        self.sorted.get(rank - 1).copied()
    }

    /// Number of samples.
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Whether there is no sample yet.
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }
}
