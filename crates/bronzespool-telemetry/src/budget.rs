//! Bounds the log lines of each kind.

use {
    bronzespool_core::HashMap,
    std::time::{Duration, Instant},
};

/// Lines of one kind of event in a span of [`WINDOW`].
const LINES_MAX: u32 = 100;
/// Bytes of all lines in a span.
const BYTES_MAX: usize = 128 * 1024;
/// Span of the budget.
const WINDOW: Duration = Duration::from_secs(1);

/// Lines and bytes that may still be written in the present span.
#[derive(Debug)]
pub struct LogBudget {
    window_start: Instant,
    lines: HashMap<String, u32>,
    bytes: usize,
    dropped: u64,
}

impl LogBudget {
    /// A whole budget.
    pub fn new(now: Instant) -> Self {
        Self { window_start: now, lines: HashMap::default(), bytes: 0, dropped: 0 }
    }

    /// Begins a new span if the present one is over; returns how many lines it left out.
    pub fn advance(&mut self, now: Instant) -> u64 {
        if now.duration_since(self.window_start) < WINDOW {
            return 0;
        }
        let dropped = self.dropped;
        *self = Self::new(now);
        dropped
    }

    /// Whether a line may be written; one that may not is counted.
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

    /// Counts a line that was lost for another reason.
    pub const fn count_dropped(&mut self) {
        self.dropped += 1;
    }
}
