//! Limits the rate of log lines.

use {
    bronzespool_core::HashMap,
    std::time::{Duration, Instant},
};

/// Maximum number of lines of one kind in a [`WINDOW`].
const LINES_MAX: u32 = 100;
/// Maximum size of all lines in a window.
const BYTES_MAX: usize = 128 * 1024;
/// Duration of a window.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines and bytes written in the current window, against their limits.
#[derive(Debug)]
pub struct LogBudget {
    window_start: Instant,
    lines: HashMap<String, u32>,
    bytes: usize,
    dropped: u64,
}

impl LogBudget {
    /// Creates an unused budget.
    pub fn new(now: Instant) -> Self {
        Self { window_start: now, lines: HashMap::default(), bytes: 0, dropped: 0 }
    }

    /// Starts a new window if the current one is over, and returns the number of lines that were
    /// dropped in it. Returns zero if the current window continues.
    pub fn advance(&mut self, now: Instant) -> u64 {
        if now.duration_since(self.window_start) < WINDOW {
            return 0;
        }
        let dropped = self.dropped;
        *self = Self::new(now);
        dropped
    }

    /// Charges a line to the budget and returns whether it may be written. A line over the budget
    /// is counted as dropped.
    pub fn take(&mut self, kind: &str, bytes: usize) -> bool {
        let count = self.lines.entry(kind.to_owned()).or_default();
        if *count >= LINES_MAX || self.bytes + bytes > BYTES_MAX {
            self.dropped += 1;
            return false;
        }
        *count += 1;
        self.bytes += bytes;
        true
    }

    /// Counts a line that was dropped for another reason.
    pub const fn count_dropped(&mut self) {
        self.dropped += 1;
    }
}
