//! Burn rate of each service and kind.

use {
    super::ring::{AnswerCounts, CountRing},
    bronzespool_core::{Code, Kind, Outcome, Service, Target, Time},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Length of a bucket of counts.
const BUCKET_STEP: Duration = Duration::from_secs(60);
/// Window that detects a sudden rise of the burn rate.
const SHORT_WINDOW: Duration = Duration::from_secs(5 * 60);
/// Window that detects a lasting burn rate.
const LONG_WINDOW: Duration = Duration::from_secs(60 * 60);
/// Window over which the error budget is defined.
const BUDGET_WINDOW: Duration = Duration::from_secs(24 * 60 * 60);
/// Buckets in [`BUDGET_WINDOW`], plus the current one, which is still incomplete.
const BUCKETS_MAX: usize = (BUDGET_WINDOW.as_secs() / BUCKET_STEP.as_secs()) as usize + 1;

/// Counts the answers of one service and kind against its target.
#[derive(Clone, Debug)]
pub struct BurnTracker {
    target: Target,
    ring: CountRing,
}

/// Counts of answers over each window of a [`BurnReport`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowCounts {
    /// Answers of the last day.
    pub day: AnswerCounts,
    /// Answers of the last hour.
    pub long: AnswerCounts,
    /// Answers of the last five minutes.
    pub short: AnswerCounts,
}

impl WindowCounts {
    /// The sum of both, window by window.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            day: self.day.plus(other.day),
            long: self.long.plus(other.long),
            short: self.short.plus(other.short),
        }
    }
}

/// Burn rate of one service and kind.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// The service.
    pub service: Service,
    /// The kind of request.
    pub kind: Kind,
    /// Share of answers that must be good, and the time within which they must arrive.
    pub target: Target,
    /// Answers of the last day.
    pub counts: AnswerCounts,
    /// Share of good answers of the last day.
    pub good_share: f64,
    /// Part of the day's error budget that is left; negative when overspent.
    pub budget_left: f64,
    /// Burn rate over five minutes. A rate of 1, held for the whole day, uses up the budget
    /// exactly.
    pub short_burn: f64,
    /// Burn rate over an hour, in the same unit.
    pub long_burn: f64,
}

impl BurnTracker {
    /// A tracker without answers.
    pub const fn new(target: Target) -> Self {
        Self { target, ring: CountRing::new(BUCKET_STEP, BUCKETS_MAX) }
    }

    /// Sets the target for later answers and for the report. Answers already counted as good or
    /// bad stay as they are.
    pub const fn set_target(&mut self, target: Target) {
        self.target = target;
    }

    /// Counts an answer. Refusals that only the caller can fix are not counted.
    pub fn record(&mut self, now: Time, code: Code, took: Duration) {
        if is_caller_fault(code) {
            return;
        }
        let good = code.outcome() == Outcome::Done && took <= self.target.within;
        self.add(now, AnswerCounts { good: u64::from(good), bad: u64::from(!good) });
    }

    /// Adds counts made elsewhere.
    pub fn add(&mut self, now: Time, counts: AnswerCounts) {
        self.ring.add(now, counts);
    }

    /// The target.
    pub const fn target(&self) -> Target {
        self.target
    }

    /// Counts of answers over each window up to `now`.
    pub fn windows(&self, now: Time) -> WindowCounts {
        WindowCounts {
            day: self.ring.sum(now, BUDGET_WINDOW),
            long: self.ring.sum(now, LONG_WINDOW),
            short: self.ring.sum(now, SHORT_WINDOW),
        }
    }

    /// The report for `service` and `kind`.
    pub fn report(&self, now: Time, service: &Service, kind: &Kind) -> BurnReport {
        BurnReport::new(service.clone(), kind.clone(), self.target, self.windows(now))
    }
}

impl BurnReport {
    /// The report of a kind, from the answers of any number of processes.
    pub fn new(service: Service, kind: Kind, target: Target, windows: WindowCounts) -> Self {
        // A burn rate is the share of bad answers divided by the share that the target allows.
        let allowed = (1.0 - target.share).max(f64::EPSILON);
        let rate = |counts: AnswerCounts| counts.bad_share() / allowed;
        Self {
            service,
            kind,
            target,
            counts: windows.day,
            good_share: 1.0 - windows.day.bad_share(),
            budget_left: 1.0 - rate(windows.day),
            short_burn: rate(windows.short),
            long_burn: rate(windows.long),
        }
    }
}

/// Trackers of every service and kind.
#[derive(Clone, Debug, Default)]
pub struct BurnTrackers {
    trackers: BTreeMap<(Service, Kind), BurnTracker>,
}

impl BurnTrackers {
    /// The tracker of `service` and `kind`, created with `target` if there is none.
    pub fn tracker(&mut self, service: &Service, kind: &Kind, target: Target) -> &mut BurnTracker {
        let key = (service.clone(), kind.clone());
        self.trackers.entry(key).or_insert_with(|| BurnTracker::new(target))
    }

    /// Counts of answers of every service and kind over each window, with their targets.
    pub fn windows(&self, now: Time) -> Vec<(Service, Kind, Target, WindowCounts)> {
        let trackers = self.trackers.iter();
        let windows = trackers.map(|((service, kind), tracker)| {
            (service.clone(), kind.clone(), tracker.target(), tracker.windows(now))
        });
        windows.collect()
    }

    /// All reports, ordered by service and kind.
    pub fn reports(&self, now: Time) -> Vec<BurnReport> {
        self.trackers
            .iter()
            .map(|((service, kind), tracker)| tracker.report(now, service, kind))
            .collect()
    }
}

/// Whether `code` refuses a request because of a fault of the caller: the codes from 2000 refuse a
/// request, those from 5000 a change by an operator.
const fn is_caller_fault(code: Code) -> bool {
    code.number() / 1_000 == 2 || code.number() / 1_000 == 5
}
