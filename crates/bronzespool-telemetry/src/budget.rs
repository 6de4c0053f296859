//! Bounds the log lines of each kind.

use {
    bronzespool_core::HashMap,
    std::time::{Duration, Instant},
};

/// Lines of one kind of event in a span of [`SPAN`].
const LINES: u32 = 100;
/// Bytes of all lines in a span.
const BYTES: usize = 128 * 1024;
/// Span of the budget.
const SPAN: Duration = Duration::from_secs(1);

/// Lines and bytes that may still be written in the present span.
#[derive(Debug)]
pub struct Budget {
    since: Instant,
    lines: HashMap<String, u32>,
    bytes: usize,
    left_out: u64,
}

impl Budget {
    /// A whole budget.
    pub fn new(now: Instant) -> Self {
        Self { since: now, lines: HashMap::default(), bytes: 0, left_out: 0 }
    }

    /// Begins a new span if the present one is over; returns how many lines it left out.
    pub fn renew(&mut self, now: Instant) -> u64 {
        if now.duration_since(self.since) < SPAN {
            return 0;
        }
        let left_out = self.left_out;
        *self = Self::new(now);
        left_out
    }

    /// Whether a line may be written; one that may not is counted.
    pub fn take(&mut self, kind: &str, bytes: usize) -> bool {
        let count = self.lines.entry(kind.to_owned()).or_default();
        if *count >= LINES || self.bytes + bytes > BYTES {
            self.left_out += 1;
            return false;
        }
        *count += 1;
        self.bytes += bytes;
        true
    }

    /// Counts a line that was lost for another reason.
    pub const fn lose(&mut self) {
        self.left_out += 1;
    }
}
