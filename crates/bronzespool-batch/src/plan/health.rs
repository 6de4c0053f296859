//! Health of workers, judged by the failures of their runs.
//!
//! Covers workers that fail every run while they report themselves as healthy. Such a worker is
//! always free, so without this check it would receive every task in turn and use up the attempts
//! of their jobs.

use {crate::ledger::Worker, bronzespool_core::Time, std::time::Duration};

/// Consecutive failures after which a worker is quarantined.
const QUARANTINE_FAILURES: u32 = 2;
/// Duration of the first quarantine; doubled with each further failure.
const QUARANTINE: Duration = Duration::from_secs(2);
/// Most doublings of the quarantine.
const QUARANTINE_DOUBLINGS_MAX: u32 = 3;
/// Time for which a worker with a single failure is chosen last.
const SUSPECT_TIME: Duration = Duration::from_secs(4);

/// Health of a worker, best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Health {
    /// No recent failures are known.
    Healthy,
    /// One run failed recently.
    Suspect,
    /// Several runs failed: the worker is assigned one run at a time until one succeeds.
    Probation,
    /// Several runs failed just now: the worker is assigned nothing.
    Quarantined,
}

/// Returns the health of a worker.
pub(super) fn worker_health(worker: &Worker, now: Time) -> Health {
    let failures = worker.failures;
    let since = now.since(failures.last_at);
    if failures.count == 0 {
        return Health::Healthy;
    }
    if failures.count < QUARANTINE_FAILURES {
        return if since < SUSPECT_TIME { Health::Suspect } else { Health::Healthy };
    }
    let doublings = (failures.count - QUARANTINE_FAILURES).min(QUARANTINE_DOUBLINGS_MAX);
    if since < QUARANTINE * 2_u32.pow(doublings) || !worker.runs.is_empty() {
        return Health::Quarantined;
    }
    Health::Probation
}
