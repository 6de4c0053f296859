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

    /// The line of the report for `service` and `kind`.
    pub fn line(&self, now: Time, service: &Service, kind: &Kind) -> Line {
        let counts = self.ring.sum(now, WINDOW);
        Line {
            service: service.clone(),
            kind: kind.clone(),
            target: self.target,
            counts,
            share: 1.0 - counts.bad_share(),
            left: 1.0 - self.rate(counts),
            short: self.rate(self.ring.sum(now, SHORT)),
            long: self.rate(self.ring.sum(now, LONG)),
        }
    }

    /// Share of bad answers as a multiple of the share that the target allows.
    fn rate(&self, counts: Counts) -> f64 {
        let allowed = (1.0 - self.target.share).max(f64::EPSILON);
        counts.bad_share() / allowed
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

    /// All lines, in the order of the names.
    pub fn lines(&self, now: Time) -> Vec<Line> {
        self.burns.iter().map(|((service, kind), burn)| burn.line(now, service, kind)).collect()
    }
}

/// Whether `code` refuses a request for a fault of its own.
const fn is_callers(code: Code) -> bool {
    code.number() / 1_000 == 2 || code.number() / 1_000 == 5
}
