//! Retry budget: limits retries to a share of the first attempts.

/// Units that one retry costs.
const RETRY_UNITS: u32 = 1_000;

/// Token bucket of retries: each first attempt earns a part of a retry, each retry spends one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    earned_units: u32,
    units_max: u32,
    units: u32,
}

impl RetryBudget {
    /// A budget that earns `earned_units` thousandths of a retry for each first attempt. It holds
    /// at most `retries_max` retries and starts full.
    pub const fn new(earned_units: u32, retries_max: u32) -> Self {
        let units_max = retries_max.saturating_mul(RETRY_UNITS);
        Self { earned_units, units_max, units: units_max }
    }

    /// Earns the units of a first attempt.
    pub const fn record_first(&mut self) {
        let units = self.units.saturating_add(self.earned_units);
        self.units = if units < self.units_max { units } else { self.units_max };
    }

    /// Spends one retry if the budget holds one, and returns whether it did.
    pub const fn try_spend(&mut self) -> bool {
        let allowed = self.units >= RETRY_UNITS;
        if allowed {
            self.units -= RETRY_UNITS;
        }
        allowed
    }

    /// Number of whole retries left.
    pub const fn left(&self) -> u32 {
        self.units / RETRY_UNITS
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(100, 10)
    }
}
