//! Burn of each service and kind.

use {
    super::ring::{Counts, Ring},
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
pub struct Burn {
    target: Target,
    ring: Ring,
}

/// Answers over the windows of the report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Windows {
    /// Answers of the last day.
    pub day: Counts,
    /// Answers of the last hour.
    pub long: Counts,
    /// Answers of the last five minutes.
    pub short: Counts,
}

impl Windows {
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
pub struct Line {
    /// Service.
    pub service: Service,
    /// Kind.
    pub kind: Kind,
    /// Target.
    pub target: Target,
    /// Answers of the last day.
    pub counts: Counts,
    /// Share of good answers of the last day.
    pub share: f64,
    /// Part of the day's budget of bad answers that is left; negative when overspent.
    pub left: f64,
    /// Burn rate over five minutes: 1 uses the budget up exactly by its end.
    pub short: f64,
    /// Burn rate over an hour.
    pub long: f64,
}

impl Burn {
    /// No answers yet.
    pub const fn new(target: Target) -> Self {
        Self { target, ring: Ring::new(STEP, BUCKETS) }
    }

    /// Sets the target for the answers to come and for the report.
    pub const fn retarget(&mut self, target: Target) {
        self.target = target;
    }

    /// Notes an answer. Refusals that only the caller can mend don't count.
    pub fn answer(&mut self, now: Time, code: Code, took: Duration) {
        if is_callers(code) {
            return;
        }
        let good = code.outcome() == Outcome::Done && took <= self.target.within;
        self.add(now, Counts { good: u64::from(good), bad: u64::from(!good) });
    }

    /// Adds counts from another process.
    pub fn add(&mut self, now: Time, counts: Counts) {
        self.ring.add(now, counts);
    }

    /// The target.
    pub const fn target(&self) -> Target {
        self.target
    }

    /// Answers over the windows of the report.
    pub fn windows(&self, now: Time) -> Windows {
        Windows {
            day: self.ring.sum(now, WINDOW),
            long: self.ring.sum(now, LONG),
            short: self.ring.sum(now, SHORT),
        }
    }

    /// The line of the report for `service` and `kind`.
    pub fn line(&self, now: Time, service: &Service, kind: &Kind) -> Line {
        Line::new(service.clone(), kind.clone(), self.target, self.windows(now))
    }
}

impl Line {
    /// The line of a kind, from the answers of any number of processes.
    pub fn new(service: Service, kind: Kind, target: Target, windows: Windows) -> Self {
        // Share of bad answers as a multiple of the share that the target allows.
        let allowed = (1.0 - target.share).max(f64::EPSILON);
        let rate = |counts: Counts| counts.bad_share() / allowed;
        Self {
            service,
            kind,
            target,
            counts: windows.day,
            share: 1.0 - windows.day.bad_share(),
            left: 1.0 - rate(windows.day),
            short: rate(windows.short),
            long: rate(windows.long),
        }
    }
}

/// Burn of every service and kind.
#[derive(Clone, Debug, Default)]
pub struct Burns {
    burns: BTreeMap<(Service, Kind), Burn>,
}

impl Burns {
    /// The burn of `service` and `kind`, new with `target` if there is none.
    pub fn entry(&mut self, service: &Service, kind: &Kind, target: Target) -> &mut Burn {
        let key = (service.clone(), kind.clone());
        self.burns.entry(key).or_insert_with(|| Burn::new(target))
    }

    /// Answers of every service and kind over the windows, with their targets.
    pub fn windows(&self, now: Time) -> Vec<(Service, Kind, Target, Windows)> {
        let burns = self.burns.iter();
        let windows = burns.map(|((service, kind), burn)| {
            (service.clone(), kind.clone(), burn.target(), burn.windows(now))
        });
        windows.collect()
    }

    /// All lines, in the order of the names.
    pub fn lines(&self, now: Time) -> Vec<Line> {
        self.burns.iter().map(|((service, kind), burn)| burn.line(now, service, kind)).collect()
    }
}

/// Whether `code` refuses a request for a fault of its own.
const fn is_callers(code: Code) -> bool {
    code.number() / 1_000 == 2 || code.number() / 1_000 == 5
}
