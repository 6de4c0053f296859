//! Workers that are slow for a while after their start.
//!
//! Covers the end of a data centre's drain: all its workers are idle, and without a limit those that
//! have just started would be assigned waiting work up to their capacity. The usable share of a cold
//! worker rises linearly until it is warm. An idle one may always take one task, so that a task which
//! needs a whole worker does not wait.

use {
    crate::{
        id::WorkerIncarnation,
        ledger::{Ledger, Worker},
        spec::Resources,
    },
    bronzespool_core::{HashMap, Time},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Longest time for which a worker counts as cold after a report; bounds the effect of a wrong report.
const COLD_MAX: Duration = Duration::from_secs(600);

/// A worker's report that it is cold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ColdReport {
    /// The worker incarnation.
    pub incarnation: WorkerIncarnation,
    /// Milliseconds for which it stays slow.
    pub remaining: u64,
}

/// When a worker was first reported as cold, and when it will be warm.
#[derive(Clone, Copy, Debug)]
struct Warming {
    since: Time,
    until: Time,
}

/// The cold workers, as far as their agents have reported them to this leader.
#[derive(Clone, Debug, Default)]
pub struct ColdWorkers {
    warming: HashMap<WorkerIncarnation, Warming>,
}

impl ColdWorkers {
    /// Records a report that arrives at a log time.
    pub fn record(&mut self, now: Time, report: ColdReport) {
        self.warming.retain(|_, w| now < w.until);
        let until = now + Duration::from_millis(report.remaining).min(COLD_MAX);
        let new = Warming { since: now, until };
        self.warming.entry(report.incarnation).or_insert(new).until = until;
    }

    /// Whether a worker is slow because it has started recently.
    pub fn is_cold(&self, incarnation: &WorkerIncarnation, now: Time) -> bool {
        self.warming.get(incarnation).is_some_and(|w| now < w.until)
    }

    /// Returns the resources of a worker that are held back because it is cold; nothing if its data
    /// centre was never drained.
    pub fn held_back(&self, ledger: &Ledger, worker: &Worker, now: Time) -> Resources {
        let spec = &worker.spec;
        let warming = self.warming.get(&spec.incarnation).filter(|w| now < w.until);
        let was_drained = ledger.drains().state(&spec.center).revision > 0;
        let Some(warming) = warming.filter(|_| was_drained) else { return Resources::default() };
        let whole = warming.until.since(warming.since).as_millis().max(1) as u64;
        let left = warming.until.since(now).as_millis() as u64;
        let part = |amount: u64| (u128::from(amount) * u128::from(left)).div_ceil(whole.into());
        let Resources { cpu, memory, gpu } = spec.capacity;
        let [cpu, memory, gpu] = [cpu, memory, gpu].map(|a| part(a) as u64);
        Resources { cpu, memory, gpu }
    }
}
