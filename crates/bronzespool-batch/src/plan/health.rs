//! Whether a worker may be given tasks.
//!
//! Load it answers: workers that fail all that they start while they say that they are well. Such
//! a worker is always free, so that without this it would draw every task in turn and use up
//! their attempts.

use {crate::ledger::Worker, bronzespool_core::Time, std::time::Duration};

/// Failures in a row after which a worker is given nothing for a while.
const BARRED_FAILURES: u32 = 2;
/// Time for which it is then given nothing; doubled with each further failure.
const BARRED: Duration = Duration::from_secs(2);
/// Most doublings of that time.
const DOUBLINGS: u32 = 3;
/// Time for which a worker with a single failure comes last.
const DOUBTED: Duration = Duration::from_secs(4);

/// How far a worker is trusted; the better comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Trust {
    /// It runs tasks well, as far as known.
    Good,
    /// A run failed on it of late.
    Doubted,
    /// It failed several runs: it is given one at a time until one is done.
    Probed,
    /// It failed several runs just now: it is given nothing.
    Barred,
}

/// The trust in a worker.
pub(super) fn trust(worker: &Worker, now: Time) -> Trust {
    let conduct = worker.failures;
    let since = now.since(conduct.last_at);
    if conduct.count == 0 {
        return Trust::Good;
    }
    if conduct.count < BARRED_FAILURES {
        return if since < DOUBTED { Trust::Doubted } else { Trust::Good };
    }
    let doublings = (conduct.count - BARRED_FAILURES).min(DOUBLINGS);
    if since < BARRED * 2_u32.pow(doublings) || !worker.runs.is_empty() {
        return Trust::Barred;
    }
    Trust::Probed
}
