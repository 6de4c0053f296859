//! Control of the pace of best-effort runs beside latency-sensitive ones.
//!
//! Covers a worker whose latency-sensitive and best-effort runs disturb each other by amounts that
//! change within seconds. The pace falls fast while a tail latency is near its bound and rises
//! slowly while all are well below, so that it does not oscillate.

use {
    crate::{
        id::RunId,
        message::{QosClass, RunStatus},
    },
    bronzespool_core::{HashMap, Time},
    std::time::Duration,
};

/// Percentage of a latency bound from which best-effort runs are slowed down.
const SLOW_DOWN_PERCENT: u64 = 80;
/// Percentage of a latency bound up to which best-effort runs may speed up.
const SPEED_UP_PERCENT: u64 = 60;
/// Time until a change shows in the reported latencies: workers report on the last half second.
const REPORT_LAG: Duration = Duration::from_millis(600);
/// Time for which all latencies must be low before the pace rises.
const CALM_TIME: Duration = Duration::from_millis(1_500);
/// Full pace in percent.
const FULL_PERCENT: u32 = 100;
/// Initial pace in percent beside latency-sensitive runs.
const INITIAL_PERCENT: u32 = 40;
/// Step in which the pace rises, in percent.
const STEP_PERCENT: u32 = 10;
/// Pace in percent below which best-effort runs are paused.
const MIN_PERCENT: u32 = 10;

/// How close the worst tail latency is to its bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum LatencyLevel {
    Low,
    Middle,
    High,
    Over,
}

/// Controller of the pace of all best-effort runs on one worker.
#[derive(Clone, Debug)]
pub(super) struct Pacer {
    pace: u32,
    /// When the pace last changed.
    changed_at: Time,
    /// Since when all tail latencies are low.
    calm_since: Option<Time>,
    /// Pace by run, as the worker has acknowledged it or is being told.
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
    /// Takes the runs that the worker lists. Returns the best-effort runs whose pace changes, with
    /// the new pace.
    pub(super) fn update(
        &mut self,
        now: Time,
        running: &[RunStatus],
        classes: &HashMap<RunId, QosClass>,
    ) -> Vec<(RunId, u32)> {
        let pace = self.next_pace(now, running, classes);
        let is_best_effort = |s: &&RunStatus| classes.get(&s.run) == Some(&QosClass::BestEffort);
        let best_effort: Vec<RunId> =
            running.iter().filter(is_best_effort).map(|s| s.run).collect();
        self.sent.retain(|run, _| best_effort.contains(run));
        let mut changes = Vec::new();
        for run in best_effort {
            // A run starts at full pace, but one whose pace is not known here may have been slowed down by
            // the agent's former process.
            if self.sent.get(&run) != Some(&pace) {
                self.sent.insert(run, pace);
                changes.push((run, pace));
            }
        }
        changes
    }

    /// Notes that the worker has not acknowledged the pace of a run, so that it is sent again.
    pub(super) fn mark_unacknowledged(&mut self, run: RunId) {
        // No pace equals this value, so the next update sends the pace again.
        self.sent.insert(run, u32::MAX);
    }

    fn next_pace(
        &mut self,
        now: Time,
        running: &[RunStatus],
        classes: &HashMap<RunId, QosClass>,
    ) -> u32 {
        let levels = running.iter().filter_map(|s| match classes.get(&s.run)? {
            QosClass::LatencySensitive(bound) => Some(latency_level(s.usage, *bound)),
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
