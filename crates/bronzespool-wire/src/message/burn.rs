//! Service-level burn as shown.

use {
    bronzespool_flow::burn::BurnReport,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Short window.
const SHORT_WINDOW: Duration = Duration::from_secs(5 * 60);
/// Long window.
const LONG_WINDOW: Duration = Duration::from_secs(60 * 60);

/// Burn of one service and kind over the whole system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnView {
    /// Name of the service.
    pub service: String,
    /// Name of the kind.
    pub kind: String,
    /// Share of answers that must be good.
    pub target: f64,
    /// Milliseconds within which a good answer arrives.
    pub within_ms: u64,
    /// Answers of the last day.
    pub total: u64,
    /// Good answers of the last day.
    pub good: u64,
    /// Share of good answers.
    pub share: f64,
    /// Part of the day's budget of bad answers that is left; negative when overspent.
    pub budget_left: f64,
    /// Burn rate over the short window.
    pub burn_short: f64,
    /// Burn rate over the long window.
    pub burn_long: f64,
    /// Short window in seconds.
    pub short_s: u64,
    /// Long window in seconds.
    pub long_s: u64,
    /// Burn rate of the short window by seconds before now, the oldest first.
    pub history: Vec<(i64, f64)>,
}

impl BurnView {
    /// A line with its history.
    pub fn new(report: &BurnReport, history: Vec<(i64, f64)>) -> Self {
        Self {
            service: report.service.to_string(),
            kind: report.kind.to_string(),
            target: report.target.share,
            within_ms: u64::try_from(report.target.within.as_millis()).unwrap_or(u64::MAX),
            total: report.counts.total(),
            good: report.counts.good,
            share: report.good_share,
            budget_left: report.budget_left,
            burn_short: report.short_burn,
            burn_long: report.long_burn,
            short_s: SHORT_WINDOW.as_secs(),
            long_s: LONG_WINDOW.as_secs(),
            history,
        }
    }
}
