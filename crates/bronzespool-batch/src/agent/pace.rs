//! How fast fillers may work beside runs that serve.
//!
//! Load it answers: a worker whose serving runs and fillers disturb each other by amounts that
//! change within seconds. The share of the fillers falls fast while a tail latency is near its
//! bound and rises slowly while all are well below, so that it does not swing.

use {
    crate::{
        id::RunId,
        message::{QosClass, RunStatus},
    },
    bronzespool_core::{HashMap, Time},
    std::time::Duration,
};

/// Share of a bound, in percent, from which fillers are slowed.
const HIGH_PERCENT: u64 = 80;
/// Share of a bound, in percent, up to which they may be faster.
const LOW_PERCENT: u64 = 60;
/// Time after a change in which it does not show yet: workers report on the last half second.
const LAG: Duration = Duration::from_millis(600);
/// Calm time before the share rises.
const CALM: Duration = Duration::from_millis(1_500);
/// Whole share in percent.
const WHOLE: u32 = 100;
/// Share in percent at which fillers begin beside a run that serves.
const CAREFUL: u32 = 40;
/// Step in which the share rises, in percent.
const RISE: u32 = 10;
/// Share in percent below which fillers stand still.
const LEAST: u32 = 10;

/// How near the nearest tail latency is to its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Strain {
    Low,
    Middle,
    High,
    Over,
}

/// The share of all fillers of one worker.
#[derive(Clone, Debug)]
pub(super) struct Pacer {
    share: u32,
    /// When the share changed last.
    changed: Time,
    /// Since when all tail latencies are low.
    calm: Option<Time>,
    /// Shares that the worker has acknowledged, or is being told.
    told: HashMap<RunId, u32>,
}

impl Default for Pacer {
    fn default() -> Self {
        Self { share: CAREFUL, changed: Time::ZERO, calm: None, told: HashMap::default() }
    }
}

impl Pacer {
    /// Takes what the worker lists; returns the fillers whose share is another now.
    pub(super) fn listed(
        &mut self,
        now: Time,
        running: &[RunStatus],
        parts: &HashMap<RunId, QosClass>,
    ) -> Vec<(RunId, u32)> {
        let share = self.decide(now, running, parts);
        let fills = |h: &&RunStatus| parts.get(&h.run) == Some(&QosClass::BestEffort);
        let fillers: Vec<RunId> = running.iter().filter(fills).map(|h| h.run).collect();
        self.told.retain(|run, _| fillers.contains(run));
        let mut changes = Vec::new();
        for run in fillers {
            // A run works at its whole share when it starts.
            if self.told.get(&run).copied().unwrap_or(WHOLE) != share {
                self.told.insert(run, share);
                changes.push((run, share));
            }
        }
        changes
    }

    /// The worker has not said that it took the share of a run: it is told again.
    pub(super) fn unheard(&mut self, run: RunId) {
        // No share equals this one, so that the next look tells it again.
        self.told.insert(run, u32::MAX);
    }

    fn decide(
        &mut self,
        now: Time,
        running: &[RunStatus],
        parts: &HashMap<RunId, QosClass>,
    ) -> u32 {
        let strains = running.iter().filter_map(|h| match parts.get(&h.run)? {
            QosClass::LatencySensitive(bound) => Some(strain(h.usage, *bound)),
            QosClass::BestEffort => None,
        });
        let Some(worst) = strains.max() else { return WHOLE };
        if worst != Strain::Low {
            self.calm = None;
        }
        let calm = *self.calm.get_or_insert(now);
        if now.since(self.changed) < LAG {
            return self.share;
        }
        let next = match worst {
            Strain::Over => self.share / 4,
            Strain::High => self.share / 2,
            Strain::Middle => self.share,
            Strain::Low if now.since(calm) < CALM => self.share,
            Strain::Low => (self.share + RISE).min(WHOLE),
        };
        let next = if next < LEAST { 0 } else { next };
        if next != self.share {
            self.share = next;
            self.changed = now;
            self.calm = None;
        }
        self.share
    }
}

const fn strain(tail: u64, bound: u64) -> Strain {
    const PERCENT: u64 = 100;
    if tail >= bound {
        Strain::Over
    } else if tail * PERCENT >= bound * HIGH_PERCENT {
        Strain::High
    } else if tail * PERCENT > bound * LOW_PERCENT {
        Strain::Middle
    } else {
        Strain::Low
    }
}
