//! Budget of retries as a share of first attempts.

/// Parts of one retry.
const RETRY_UNITS: u32 = 1_000;

/// Each first attempt earns a part of a retry; each retry spends a whole one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    earned_units: u32,
    units_max: u32,
    units: u32,
}

impl RetryBudget {
    /// A budget of `share` thousandths of a retry for each first attempt, which saves `saved`
    /// retries at most and starts with them.
    pub const fn new(earned_units: u32, retries_max: u32) -> Self {
        let units_max = retries_max.saturating_mul(RETRY_UNITS);
        Self { earned_units, units_max, units: units_max }
    }

    /// Notes a first attempt.
    pub const fn record_first(&mut self) {
        let units = self.units.saturating_add(self.earned_units);
        self.units = if units < self.units_max { units } else { self.units_max };
    }

    /// Spends one retry. Returns whether there was one.
    pub const fn try_spend(&mut self) -> bool {
        let allowed = self.units >= RETRY_UNITS;
        if allowed {
            self.units -= RETRY_UNITS;
        }
        allowed
    }

    /// Whole retries left.
    pub const fn left(&self) -> u32 {
        self.units / RETRY_UNITS
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(100, 10)
    }
}
