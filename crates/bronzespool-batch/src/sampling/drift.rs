//! Changes of the estimates that are worth a record in the log, or a log line.

use {
    crate::ledger::{Job, Ledger},
    bronzespool_core::{HashMap, Instance},
    bronzespool_estimate::{Estimates, Kind, Speed},
    std::{collections::BTreeMap, time::Duration},
};

/// Most kinds that are compared. The model holds as many.
const KINDS_MAX: usize = 512;
/// Ratio of an estimate to its saved value from which it has changed noticeably. Tasks of one step
/// differ by up to 30 %, so a smaller change says little.
const NOTICEABLE_RATIO: f64 = 1.1;
/// Ratio of a worker's speed to the reported one from which it is reported as changed.
const REPORT_RATIO: f64 = 1.5;

/// Whether one of two positive values is a multiple of the other by `ratio` or more.
fn differs(a: f64, b: f64, ratio: f64) -> bool {
    a >= b * ratio || b >= a * ratio
}

/// Expected duration of a kind, for one declared duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindState {
    /// Declared duration.
    pub declared: Duration,
    /// Expected duration.
    pub expected: Duration,
}

impl KindState {
    fn of(kind: &Kind, declared: Duration, estimates: &Estimates) -> Self {
        let expected = estimates.work(kind, None, declared).expected;
        Self { declared, expected: expected.max(Duration::from_millis(1)) }
    }

    /// The state of a kind of which nothing is known: its tasks take as long as declared.
    const fn unknown(self) -> Self {
        Self { declared: self.declared, expected: self.declared }
    }
}

/// Estimates at the time of the latest summary.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SavedState {
    /// Factors of the workers' speeds, by the instances of the agents beside them.
    pub speeds: HashMap<Instance, f64>,
    /// Kinds.
    pub kinds: BTreeMap<Kind, KindState>,
}

impl SavedState {
    /// Returns the present estimates for the workers of a ledger, the saved kinds and the kinds of
    /// active jobs. A kind is always compared for the same declared duration.
    pub fn next(&self, ledger: &Ledger, estimates: &Estimates) -> Self {
        let speeds = worker_speeds(ledger, estimates).map(|(a, s)| (a, s.factor)).collect();
        let refreshed = |(kind, state): (&Kind, &KindState)| {
            (kind.clone(), KindState::of(kind, state.declared, estimates))
        };
        let mut kinds: BTreeMap<Kind, KindState> = self.kinds.iter().map(refreshed).collect();
        for job in ledger.jobs().filter(|j| j.phase.is_active()) {
            add_kinds(&mut kinds, job, estimates);
        }
        Self { speeds, kinds }
    }

    /// Whether these estimates differ noticeably from the saved ones. What is not saved counts as
    /// unknown: a typical worker, and tasks that take as long as declared.
    pub fn differs(&self, saved: &Self) -> bool {
        let speeds = self.speeds.iter().any(|(agent, speed)| {
            let before = saved.speeds.get(agent).copied().unwrap_or(Speed::UNKNOWN.factor);
            differs(*speed, before, NOTICEABLE_RATIO)
        });
        speeds
            || self.kinds.iter().any(|(kind, state)| {
                let before = saved.kinds.get(kind).copied().unwrap_or(state.unknown());
                let seconds = |s: &KindState| s.expected.as_secs_f64();
                differs(seconds(state), seconds(&before), NOTICEABLE_RATIO)
            })
    }
}

/// Adds the kinds of a job's steps.
fn add_kinds(kinds: &mut BTreeMap<Kind, KindState>, job: &Job, estimates: &Estimates) {
    for step in &job.spec.steps {
        let kind = super::kind_of(job, step);
        if kinds.len() < KINDS_MAX && !kinds.contains_key(&kind) {
            let state = KindState::of(&kind, super::expectation::declared(step), estimates);
            kinds.insert(kind, state);
        }
    }
}

/// A worker that is recognised as slower or faster than before.
#[derive(Clone, Debug, PartialEq)]
pub struct SpeedChange {
    /// Instance of the agent beside the worker.
    pub agent: Instance,
    /// Factor that was reported before.
    pub before: f64,
    /// Estimated speed.
    pub speed: Speed,
}

/// Recognises changes of the workers' speeds, each reported once.
#[derive(Clone, Debug, Default)]
pub struct SpeedWatch {
    reported: HashMap<Instance, f64>,
}

impl SpeedWatch {
    /// Returns the workers whose speed has changed since it was last reported. A worker that was not
    /// reported counts as typical. Workers that are not named are forgotten.
    pub fn changes(&mut self, speeds: impl Iterator<Item = (Instance, Speed)>) -> Vec<SpeedChange> {
        let mut reported = HashMap::default();
        let mut changes = Vec::new();
        for (agent, speed) in speeds {
            let before = self.reported.get(&agent).copied().unwrap_or(Speed::UNKNOWN.factor);
            let changed = differs(speed.factor, before, REPORT_RATIO);
            if changed {
                changes.push(SpeedChange { agent: agent.clone(), before, speed });
            }
            reported.insert(agent, if changed { speed.factor } else { before });
        }
        self.reported = reported;
        changes
    }
}

/// Returns the speeds of all workers of a ledger.
pub fn worker_speeds<'a>(
    ledger: &'a Ledger,
    estimates: &'a Estimates,
) -> impl Iterator<Item = (Instance, Speed)> + 'a {
    ledger.workers().map(|w| (w.spec.agent.clone(), estimates.speed(&w.spec.agent)))
}
