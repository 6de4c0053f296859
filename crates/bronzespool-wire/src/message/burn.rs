//! Burn rates of service-level objectives, as shown to operators.

use {
    bronzespool_flow::burn::BurnReport,
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Short window of burn rates.
const SHORT_WINDOW: Duration = Duration::from_secs(5 * 60);
/// Long window of burn rates.
const LONG_WINDOW: Duration = Duration::from_secs(60 * 60);

/// Burn rates of one service and kind over the whole cluster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnView {
    /// Name of the service.
    pub service: String,
    /// Name of the kind.
    pub kind: String,
    /// Objective: the share of answers that must be good.
    pub target: f64,
    /// Maximum latency of a good answer, in milliseconds.
    pub within_ms: u64,
    /// Number of answers in the last day.
    pub total: u64,
    /// Number of good answers in the last day.
    pub good: u64,
    /// Share of good answers in the last day.
    pub share: f64,
    /// Remaining share of the day's error budget; negative when it is exceeded.
    pub budget_left: f64,
    /// Burn rate over the short window.
    pub burn_short: f64,
    /// Burn rate over the long window.
    pub burn_long: f64,
    /// Length of the short window, in seconds.
    pub short_s: u64,
    /// Length of the long window, in seconds.
    pub long_s: u64,
    /// Past burn rates of the short window as (seconds before now, rate), oldest first.
    pub history: Vec<(i64, f64)>,
}

impl BurnView {
    /// Builds the view of a report with its history.
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
