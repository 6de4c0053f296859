//! Burn of each service and kind.

use {
    super::ring::{AnswerCounts, CountRing},
    bronzespool_core::{Code, Kind, Outcome, Service, Target, Time},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, time::Duration},
};

/// Length of a bucket.
const STEP: Duration = Duration::from_secs(60);
/// Window that shows a sudden burn.
const SHORT: Duration = Duration::from_secs(5 * 60);
/// Window that shows a lasting burn.
const LONG: Duration = Duration::from_secs(60 * 60);
/// Window of the budget.
const WINDOW: Duration = Duration::from_secs(24 * 60 * 60);
/// Buckets in [`WINDOW`], with the one under way.
const BUCKETS: usize = (WINDOW.as_secs() / STEP.as_secs()) as usize + 1;

/// Burn of one service and kind.
#[derive(Clone, Debug)]
pub struct BurnTracker {
    target: Target,
    ring: CountRing,
}

/// Answers over the windows of the report.
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
    /// The sum of both.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            day: self.day.plus(other.day),
            long: self.long.plus(other.long),
            short: self.short.plus(other.short),
        }
    }
}

/// A line of the report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BurnReport {
    /// Service.
    pub service: Service,
    /// Kind.
    pub kind: Kind,
    /// Target.
    pub target: Target,
    /// Answers of the last day.
    pub counts: AnswerCounts,
    /// Share of good answers of the last day.
    pub good_share: f64,
    /// Part of the day's budget of bad answers that is left; negative when overspent.
    pub budget_left: f64,
    /// Burn rate over five minutes: 1 uses the budget up exactly by its end.
    pub short_burn: f64,
    /// Burn rate over an hour.
    pub long_burn: f64,
}

impl BurnTracker {
    /// No answers yet.
    pub const fn new(target: Target) -> Self {
        Self { target, ring: CountRing::new(STEP, BUCKETS) }
    }

    /// Sets the target for the answers to come and for the report.
    pub const fn set_target(&mut self, target: Target) {
        self.target = target;
    }

    /// Notes an answer. Refusals that only the caller can mend don't count.
    pub fn record(&mut self, now: Time, code: Code, took: Duration) {
        if is_callers(code) {
            return;
        }
        let good = code.outcome() == Outcome::Done && took <= self.target.within;
        self.add(now, AnswerCounts { good: u64::from(good), bad: u64::from(!good) });
    }

    /// Adds counts from another process.
    pub fn add(&mut self, now: Time, counts: AnswerCounts) {
        self.ring.add(now, counts);
    }

    /// The target.
    pub const fn target(&self) -> Target {
        self.target
    }

    /// Answers over the windows of the report.
    pub fn windows(&self, now: Time) -> WindowCounts {
        WindowCounts {
            day: self.ring.sum(now, WINDOW),
            long: self.ring.sum(now, LONG),
            short: self.ring.sum(now, SHORT),
        }
    }

    /// The line of the report for `service` and `kind`.
    pub fn report(&self, now: Time, service: &Service, kind: &Kind) -> BurnReport {
        BurnReport::new(service.clone(), kind.clone(), self.target, self.windows(now))
    }
}

impl BurnReport {
    /// The line of a kind, from the answers of any number of processes.
    pub fn new(service: Service, kind: Kind, target: Target, windows: WindowCounts) -> Self {
        // Share of bad answers as a multiple of the share that the target allows.
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

/// Burn of every service and kind.
#[derive(Clone, Debug, Default)]
pub struct BurnTrackers {
    trackers: BTreeMap<(Service, Kind), BurnTracker>,
}

impl BurnTrackers {
    /// The burn of `service` and `kind`, new with `target` if there is none.
    pub fn tracker(&mut self, service: &Service, kind: &Kind, target: Target) -> &mut BurnTracker {
        let key = (service.clone(), kind.clone());
        self.trackers.entry(key).or_insert_with(|| BurnTracker::new(target))
    }

    /// Answers of every service and kind over the windows, with their targets.
    pub fn windows(&self, now: Time) -> Vec<(Service, Kind, Target, WindowCounts)> {
        let trackers = self.trackers.iter();
        let windows = trackers.map(|((service, kind), tracker)| {
            (service.clone(), kind.clone(), tracker.target(), tracker.windows(now))
        });
        windows.collect()
    }

    /// All lines, in the order of the names.
    pub fn reports(&self, now: Time) -> Vec<BurnReport> {
        self.trackers
            .iter()
            .map(|((service, kind), tracker)| tracker.report(now, service, kind))
            .collect()
    }
}

/// Whether `code` refuses a request for a fault of its own.
const fn is_callers(code: Code) -> bool {
    code.number() / 1_000 == 2 || code.number() / 1_000 == 5
}
