//! Whether a worker may be given tasks.
//!
//! Load it answers: workers that fail all that they start while they say that they are well. Such
//! a worker is always free, so that without this it would draw every task in turn and use up
//! their attempts.

use {crate::ledger::Worker, bronzespool_core::Time, std::time::Duration};

/// Failures in a row after which a worker is given nothing for a while.
const QUARANTINE_FAILURES: u32 = 2;
/// Time for which it is then given nothing; doubled with each further failure.
const QUARANTINE: Duration = Duration::from_secs(2);
/// Most doublings of that time.
const QUARANTINE_DOUBLINGS_MAX: u32 = 3;
/// Time for which a worker with a single failure comes last.
const SUSPECT_TIME: Duration = Duration::from_secs(4);

/// How far a worker is trusted; the better comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Health {
    /// It runs tasks well, as far as known.
    Healthy,
    /// A run failed on it of late.
    Suspect,
    /// It failed several runs: it is given one at a time until one is done.
    Probation,
    /// It failed several runs just now: it is given nothing.
    Quarantined,
}

/// The trust in a worker.
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
