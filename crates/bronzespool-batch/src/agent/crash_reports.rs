//! Crashes of the worker that the leader has not recorded.

use crate::{crash::Crash, id::WorkerIncarnation};

/// Failed reports after which a crash is not reported any more. They outlast an election; a leader of
/// a former version cannot read a report at all, and each one delays a poll.
const FAILURES_MAX: u32 = 10;

/// Crashes that the leader has to be told of, each with the number of failed reports.
#[derive(Clone, Debug, Default)]
pub(super) struct CrashReports {
    pending: Vec<(Crash, u32)>,
}

impl CrashReports {
    /// Adds a crash, if there was one.
    pub(super) fn add(&mut self, crash: Option<Crash>) {
        self.pending.extend(crash.map(|c| (c, 0)));
    }

    /// Returns the crash to report next.
    pub(super) fn next(&self) -> Option<&Crash> {
        self.pending.first().map(|(crash, _)| crash)
    }

    /// Notes that the crash of an incarnation is recorded.
    pub(super) fn reported(&mut self, incarnation: &WorkerIncarnation) {
        self.pending.retain(|(crash, _)| crash.incarnation != *incarnation);
    }

    /// Notes that a report of the crash of an incarnation has failed. Returns whether it will be
    /// repeated.
    pub(super) fn unreported(&mut self, incarnation: &WorkerIncarnation) -> bool {
        let before = self.pending.len();
        let of_it = self.pending.iter_mut().filter(|(c, _)| c.incarnation == *incarnation);
        of_it.for_each(|(_, failures)| *failures += 1);
        self.pending.retain(|(_, failures)| *failures < FAILURES_MAX);
        self.pending.len() == before
    }
}
