//! Bounds of what a process holds at once, such as connections or sessions.

use std::time::{Duration, Instant};

/// Shortest time between two reports of one bound.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Most of something that a process holds at once. The owner counts what it holds; the bound says
/// whether one more is admitted and when a rejection is reported.
#[derive(Clone, Debug)]
pub struct Bound {
    name: &'static str,
    max: usize,
    /// Rejections since the last report.
    rejected: u64,
    reported_at: Option<Instant>,
}

/// Report of a bound that was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoundReport {
    /// Name of the bound.
    pub name: &'static str,
    /// Most that is held at once.
    pub max: usize,
    /// What is held.
    pub held: usize,
    /// Rejections since the last report, this one included.
    pub rejected: u64,
}

impl Bound {
    /// Creates a bound with the name that its reports carry.
    pub const fn new(name: &'static str, max: usize) -> Self {
        Self { name, max, rejected: 0, reported_at: None }
    }

    /// Name of the bound.
    pub const fn name(&self) -> &'static str {
        self.name
    }

    /// Whether one more is admitted beside the `held` ones.
    pub const fn admits(&self, held: usize) -> bool {
        held < self.max
    }

    /// Counts a rejection. Returns a report for the first one, and at most one a second while
    /// rejections go on.
    pub fn reject(&mut self, now: Instant, held: usize) -> Option<BoundReport> {
        self.rejected += 1;
        let recent = |t| now.saturating_duration_since(t) < REPORT_INTERVAL;
        if self.reported_at.is_some_and(recent) {
            return None;
        }
        self.reported_at = Some(now);
        let rejected = std::mem::take(&mut self.rejected);
        Some(BoundReport { name: self.name, max: self.max, held, rejected })
    }
}
