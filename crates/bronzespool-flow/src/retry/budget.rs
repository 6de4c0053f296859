//! Budget of retries as a share of first attempts.

/// Parts of one retry.
const WHOLE: u32 = 1_000;

/// Each first attempt earns a part of a retry; each retry spends a whole one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    share: u32,
    cap: u32,
    left: u32,
}

impl RetryBudget {
    /// A budget of `share` thousandths of a retry for each first attempt, which saves `saved`
    /// retries at most and starts with them.
    pub const fn new(share: u32, saved: u32) -> Self {
        let cap = saved.saturating_mul(WHOLE);
        Self { share, cap, left: cap }
    }

    /// Notes a first attempt.
    pub const fn record_first(&mut self) {
        let left = self.left.saturating_add(self.share);
        self.left = if left < self.cap { left } else { self.cap };
    }

    /// Spends one retry. Returns whether there was one.
    pub const fn try_spend(&mut self) -> bool {
        let allowed = self.left >= WHOLE;
        if allowed {
            self.left -= WHOLE;
        }
        allowed
    }

    /// Whole retries left.
    pub const fn left(&self) -> u32 {
        self.left / WHOLE
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(100, 10)
    }
}
