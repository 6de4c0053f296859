//! Run times learned from ended runs.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Runs remembered for each team and kind.
pub const SAMPLES_MAX: usize = 32;

/// Run times of the last ended runs of one kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RuntimeEstimate {
    samples: Vec<Duration>,
    sorted: Vec<Duration>,
    next: usize,
}

impl RuntimeEstimate {
    /// Remembers a run, in place of the oldest one when full.
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

    /// Run time that a share of `thousandths` of the remembered runs did not exceed.
    pub fn quantile(&self, thousandths: usize) -> Option<Duration> {
        let rank = (self.sorted.len() * thousandths).div_ceil(1_000).max(1);
        self.sorted.get(rank - 1).copied()
    }

    /// Number of runs remembered.
    pub fn len(&self) -> usize {
        self.samples.len()
    }

    /// Whether no run has ended yet.
    pub fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }
}
