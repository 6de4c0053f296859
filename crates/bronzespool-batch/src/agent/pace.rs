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
const SLOW_DOWN_PERCENT: u64 = 80;
/// Share of a bound, in percent, up to which they may be faster.
const SPEED_UP_PERCENT: u64 = 60;
/// Time after a change in which it does not show yet: workers report on the last half second.
const REPORT_LAG: Duration = Duration::from_millis(600);
/// Calm time before the share rises.
const CALM_TIME: Duration = Duration::from_millis(1_500);
/// Whole share in percent.
const FULL_PERCENT: u32 = 100;
/// Share in percent at which fillers begin beside a run that serves.
const INITIAL_PERCENT: u32 = 40;
/// Step in which the share rises, in percent.
const STEP_PERCENT: u32 = 10;
/// Share in percent below which fillers stand still.
const MIN_PERCENT: u32 = 10;

/// How near the nearest tail latency is to its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LatencyLevel {
    Low,
    Middle,
    High,
    Over,
}

/// The share of all fillers of one worker.
#[derive(Clone, Debug)]
pub(super) struct Pacer {
    pace: u32,
    /// When the share changed last.
    changed_at: Time,
    /// Since when all tail latencies are low.
    calm_since: Option<Time>,
    /// Shares that the worker has acknowledged, or is being told.
    sent: HashMap<RunId, u32>,
}

impl Default for Pacer {
    fn default() -> Self {
        Self {
            pace: INITIAL_PERCENT,
            changed_at: Time::ZERO,
            calm_since: None,
            sent: HashMap::default(),
        }
    }
}

impl Pacer {
    /// Takes what the worker lists; returns the fillers whose share is another now.
    pub(super) fn update(
        &mut self,
        now: Time,
        running: &[RunStatus],
        classes: &HashMap<RunId, QosClass>,
    ) -> Vec<(RunId, u32)> {
        let pace = self.next_pace(now, running, classes);
        let is_best_effort = |h: &&RunStatus| classes.get(&h.run) == Some(&QosClass::BestEffort);
        let best_effort: Vec<RunId> =
            running.iter().filter(is_best_effort).map(|h| h.run).collect();
        self.sent.retain(|run, _| best_effort.contains(run));
        let mut changes = Vec::new();
        for run in best_effort {
            // A run works at its whole share when it starts.
            if self.sent.get(&run).copied().unwrap_or(FULL_PERCENT) != pace {
                self.sent.insert(run, pace);
                changes.push((run, pace));
            }
        }
        changes
    }

    /// The worker has not said that it took the share of a run: it is told again.
    pub(super) fn mark_unacknowledged(&mut self, run: RunId) {
        // No share equals this one, so that the next look tells it again.
        self.sent.insert(run, u32::MAX);
    }

    fn next_pace(
        &mut self,
        now: Time,
        running: &[RunStatus],
        classes: &HashMap<RunId, QosClass>,
    ) -> u32 {
        let levels = running.iter().filter_map(|h| match classes.get(&h.run)? {
            QosClass::LatencySensitive(bound) => Some(latency_level(h.usage, *bound)),
            QosClass::BestEffort => None,
        });
        let Some(worst) = levels.max() else { return FULL_PERCENT };
        if worst != LatencyLevel::Low {
            self.calm_since = None;
        }
        let calm_since = *self.calm_since.get_or_insert(now);
        if now.since(self.changed_at) < REPORT_LAG {
            return self.pace;
        }
        let next = match worst {
            LatencyLevel::Over => self.pace / 4,
            LatencyLevel::High => self.pace / 2,
            LatencyLevel::Middle => self.pace,
            LatencyLevel::Low if now.since(calm_since) < CALM_TIME => self.pace,
            LatencyLevel::Low => (self.pace + STEP_PERCENT).min(FULL_PERCENT),
        };
        let next = if next < MIN_PERCENT { 0 } else { next };
        if next != self.pace {
            self.pace = next;
            self.changed_at = now;
            self.calm_since = None;
        }
        self.pace
    }
}

const fn latency_level(tail: u64, bound: u64) -> LatencyLevel {
    const PERCENT: u64 = 100;
    if tail >= bound {
        LatencyLevel::Over
    } else if tail * PERCENT >= bound * SLOW_DOWN_PERCENT {
        LatencyLevel::High
    } else if tail * PERCENT > bound * SPEED_UP_PERCENT {
        LatencyLevel::Middle
    } else {
        LatencyLevel::Low
    }
}
