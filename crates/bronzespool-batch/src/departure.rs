//! Workers that have announced when they may end.
//!
//! Covers workers that are taken away at short notice. What still runs on them then is lost, and a task
//! starts elsewhere only once the leases of its worker have ended.

use {
    crate::id::WorkerIncarnation,
    bronzespool_core::{HashMap, Time},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Longest notice that counts; bounds the effect of a wrong report.
const NOTICE_MAX: Duration = Duration::from_secs(600);
/// Time after a departure was due for which the report is kept: the worker may end later than it said.
const RETENTION: Duration = Duration::from_secs(60);

/// A worker's report that it ends soon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartureReport {
    /// The worker incarnation.
    pub incarnation: WorkerIncarnation,
    /// Milliseconds for which it goes on at least.
    pub remaining: u64,
}

/// The workers that end soon, as far as their agents have reported them to this leader.
#[derive(Clone, Debug, Default)]
pub struct Departures {
    due: HashMap<WorkerIncarnation, Time>,
}

impl Departures {
    /// Records a report that arrives at a log time.
    pub fn record(&mut self, now: Time, report: DepartureReport) {
        self.due.retain(|_, due| now < *due + RETENTION);
        let notice = Duration::from_millis(report.remaining).min(NOTICE_MAX);
        self.due.insert(report.incarnation, now + notice);
    }

    /// Returns how long a worker goes on at least; none if it has not announced its end.
    pub fn notice(&self, incarnation: &WorkerIncarnation, now: Time) -> Option<Duration> {
        self.due.get(incarnation).map(|due| due.since(now))
    }
}
