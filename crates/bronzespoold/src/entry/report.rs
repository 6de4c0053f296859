//! Service-level burn as this entry has seen it.

use {
    crate::entry::filter::Checked,
    bronzespool::{
        core::{Code, Time},
        flow::burn::{Burns, Line},
    },
    serde::Serialize,
    std::{cell::RefCell, time::Duration},
};

/// Short window in seconds, as the burn counts it.
const SHORT_SECONDS: u64 = 5 * 60;
/// Long window in seconds, as the burn counts it.
const LONG_SECONDS: u64 = 60 * 60;

/// One line of the report.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Row {
    service: String,
    kind: String,
    target: f64,
    within_ms: u64,
    total: u64,
    good: u64,
    share: f64,
    budget_left: f64,
    burn_short: f64,
    burn_long: f64,
    short_s: u64,
    long_s: u64,
    history: Vec<(u64, f64)>,
}

/// Counts answers and makes the report.
#[derive(Default)]
pub(super) struct Reporter(RefCell<Burns>);

impl Reporter {
    /// Notes an answer.
    pub(super) fn note(&self, now: Time, request: &Checked, took: Duration, code: Code) {
        if let Ok(spec) = request.spec() {
            let mut burns = self.0.borrow_mut();
            let burn = burns.entry(&request.service, &request.kind, spec.target);
            burn.retarget(spec.target);
            burn.answer(now, code, took);
        }
    }

    /// All lines.
    pub(super) fn rows(&self, now: Time) -> Vec<Row> {
        self.0.borrow().lines(now).into_iter().map(Row::from).collect()
    }
}

impl From<Line> for Row {
    fn from(line: Line) -> Self {
        Self {
            service: line.service.to_string(),
            kind: line.kind.to_string(),
            target: line.target.share,
            within_ms: u64::try_from(line.target.within.as_millis()).unwrap_or(u64::MAX),
            total: line.counts.total(),
            good: line.counts.good,
            share: line.share,
            budget_left: line.left,
            burn_short: line.short,
            burn_long: line.long,
            short_s: SHORT_SECONDS,
            long_s: LONG_SECONDS,
            history: Vec::new(),
        }
    }
}
