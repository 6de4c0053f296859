//! Counts of good and bad answers over a sliding window, in buckets of equal length.

use {
    bronzespool_core::Time,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, time::Duration},
};

/// Numbers of good and bad answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// Answers that meet the target.
    pub good: u64,
    /// All other answers.
    pub bad: u64,
}

impl AnswerCounts {
    /// Number of all answers.
    pub const fn total(self) -> u64 {
        self.good + self.bad
    }

    /// Share of bad answers, zero without any answer.
    pub fn bad_share(self) -> f64 {
        self.bad as f64 / self.total().max(1) as f64
    }

    /// The sum of both.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self { good: self.good + other.good, bad: self.bad + other.bad }
    }
}

/// Counts of the most recent buckets, each of length `step`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CountRing {
    step: Duration,
    buckets_max: usize,
    buckets: VecDeque<(u64, AnswerCounts)>,
}

impl CountRing {
    /// An empty ring that keeps at most `buckets_max` buckets of length `step`.
    pub const fn new(step: Duration, buckets_max: usize) -> Self {
        Self { step, buckets_max, buckets: VecDeque::new() }
    }

    /// Adds counts to the bucket of `now`.
    pub fn add(&mut self, now: Time, counts: AnswerCounts) {
        let number = self.bucket_number(now);
        match self.buckets.back_mut() {
            Some((last, sum)) if *last >= number => *sum = sum.plus(counts),
            _ => self.buckets.push_back((number, counts)),
        }
        while self.buckets.len() > self.buckets_max {
            self.buckets.pop_front();
        }
    }

    /// Sum of the buckets that overlap the last `span` before `now`.
    pub fn sum(&self, now: Time, span: Duration) -> AnswerCounts {
        let first = self.bucket_number(now - span);
        let within = self.buckets.iter().filter(|(number, _)| *number >= first);
        within.map(|(_, counts)| *counts).fold(AnswerCounts::default(), AnswerCounts::plus)
    }

    fn bucket_number(&self, at: Time) -> u64 {
        at.as_micros() / (self.step.as_micros() as u64).max(1)
    }
}
