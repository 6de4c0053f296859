//! Observation of one run.

use {
    crate::{ledger::ActiveRun, spec::Step},
    bronzespool_core::{Instance, Time},
    std::time::Duration,
};

/// Shortest time over which a rate is measured. Polls are up to 0.4 s apart, so a shorter time gives
/// an inaccurate rate.
const SPAN_MIN: Duration = Duration::from_secs(1);
/// Least progress over which a rate is measured. Progress is in whole percent.
const RISE_MIN_PERCENT: u32 = 10;
/// Progress of a run that has done all of its work.
const WHOLE_PERCENT: u32 = 100;

/// Progress at a point in time.
#[derive(Clone, Copy, Debug)]
struct Point {
    at: Time,
    percent: u32,
}

/// Observations of one run.
#[derive(Clone, Debug)]
pub(super) struct RunTrack {
    /// Instance of the agent beside the worker.
    pub(super) agent: Instance,
    /// Duration that was expected when the run was assigned.
    pub(super) expected: Option<Duration>,
    /// Whether the ledger did not hold the run any more when it was last checked.
    pub(super) is_over: bool,
    assigned_at: Time,
    /// Whether the run does the whole task, and was in contact from its start.
    is_whole: bool,
    is_gang: bool,
    /// Whether the run is no evidence.
    is_disturbed: bool,
    first: Option<Point>,
    /// Where the observed part of the work begins.
    base: Option<Point>,
    /// Progress at the latest sample.
    sampled: u32,
    /// When the run was first seen to have done all of its work.
    finished_at: Option<Time>,
}

impl RunTrack {
    /// Creates the track of a run. `is_in_contact` says whether the worker has been in contact since
    /// the run was assigned.
    pub(super) fn new(
        agent: Instance,
        active: &ActiveRun,
        step: &Step,
        is_in_contact: bool,
    ) -> Self {
        Self {
            agent,
            expected: None,
            is_over: false,
            assigned_at: active.assigned_at,
            is_whole: is_in_contact && active.checkpoint.is_empty() && !step.gang,
            is_gang: step.gang,
            is_disturbed: false,
            first: None,
            base: None,
            sampled: 0,
            finished_at: None,
        }
    }

    /// Records that the run is no evidence.
    pub(super) const fn disturb(&mut self) {
        self.is_disturbed = true;
    }

    /// Records the progress at a time. Returns the duration of the whole task at the observed rate if
    /// the run has progressed enough since its latest sample.
    pub(super) fn record_progress(&mut self, at: Time, percent: u32) -> Option<Duration> {
        let point = Point { at, percent: percent.min(WHOLE_PERCENT) };
        let first = *self.first.get_or_insert(point);
        // A gang makes progress only once all of its members run, so the first rise marks its start.
        let begun = !self.is_gang || point.percent > first.percent;
        if self.base.is_none() && begun {
            self.base = Some(point);
        }
        if point.percent == WHOLE_PERCENT {
            self.finished_at.get_or_insert(at);
            return None;
        }
        if self.is_disturbed || point.percent <= self.sampled {
            return None;
        }
        let observed = self.extrapolate(point)?;
        self.sampled = point.percent;
        Some(observed)
    }

    /// Returns the duration of the whole task, for a run that has completed at a time.
    pub(super) fn duration(&self, at: Time) -> Option<Duration> {
        if self.is_disturbed {
            return None;
        }
        if self.is_whole {
            return Some(at.since(self.assigned_at));
        }
        // The members of a gang end together, but the faster ones reach 100 % earlier.
        let finished_at = self.finished_at.filter(|_| self.is_gang).unwrap_or(at);
        self.extrapolate(Point { at: finished_at, percent: WHOLE_PERCENT })
    }

    /// Returns the duration of the whole task at the rate from the base to a point.
    fn extrapolate(&self, to: Point) -> Option<Duration> {
        let base = self.base?;
        let span = to.at.since(base.at);
        let rise = to.percent.saturating_sub(base.percent);
        let is_enough = span >= SPAN_MIN && rise >= RISE_MIN_PERCENT;
        is_enough.then(|| span * WHOLE_PERCENT / rise)
    }
}
