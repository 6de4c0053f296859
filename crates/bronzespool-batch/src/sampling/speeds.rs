//! Changes of the workers' speeds that are logged.

use {
    crate::ledger::Ledger,
    bronzespool_core::{HashMap, Instance},
    bronzespool_estimate::{Estimates, Speed},
};

/// Least ratio between a worker's speed and the last reported one at which a change is reported. Tasks
/// of one step differ by up to 30 %, so a smaller change may be random.
const REPORT_RATIO: f64 = 1.5;

/// Whether one of two speeds is a multiple of the other by [`REPORT_RATIO`] or more.
fn differs(a: f64, b: f64) -> bool {
    a >= b * REPORT_RATIO || b >= a * REPORT_RATIO
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
            let changed = differs(speed.factor, before);
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
