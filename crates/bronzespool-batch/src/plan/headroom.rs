//! Accelerators that are kept free for jobs of the first priority.
//!
//! Covers a full service with urgent gangs that arrive every second. Stopping other runs for each of
//! them takes about as long as an urgent job may be late, and loses their work. While a service is
//! busy, runs of lower priorities therefore leave as many accelerators free as urgent jobs have
//! recently used at once beyond what they use now.

use {
    crate::{
        ledger::Ledger,
        plan::{Precedence, capacity::ClusterCapacity},
    },
    bronzespool_core::{HashMap, Time},
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Time for which a peak of urgent demand is remembered.
const PEAK_MEMORY: Duration = Duration::from_secs(10);
/// Shortest time between two remembered values.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Recent demand of jobs of the first priority, by service.
#[derive(Clone, Debug, Default)]
pub(super) struct UrgentDemand {
    by_service: HashMap<Arc<str>, VecDeque<(Time, u64)>>,
}

impl UrgentDemand {
    /// Records the accelerators that urgent jobs use now, and returns those to keep free.
    pub(super) fn headroom(
        &mut self,
        ledger: &Ledger,
        precedence: &Precedence,
        capacity: &ClusterCapacity<'_>,
        now: Time,
    ) -> HashMap<Arc<str>, u64> {
        let mut used: HashMap<Arc<str>, u64> = HashMap::default();
        for slot in &capacity.slots {
            let runs = slot.worker.runs.iter().filter(|(run, _)| {
                ledger.job(run.task.step.job).is_some_and(|j| precedence.priority(j) == 0)
            });
            let sum: u64 = runs.map(|(_, r)| r.gpu).sum();
            *used.entry(Arc::clone(&slot.worker.spec.service)).or_default() += sum;
        }
        used.into_iter()
            .map(|(service, used)| {
                let recent = self.by_service.entry(Arc::clone(&service)).or_default();
                while recent.front().is_some_and(|(at, _)| now.since(*at) > PEAK_MEMORY) {
                    recent.pop_front();
                }
                match recent.back_mut() {
                    Some((at, peak)) if now.since(*at) < SAMPLE_INTERVAL => {
                        *peak = (*peak).max(used)
                    }
                    _ => recent.push_back((now, used)),
                }
                let peak = recent.iter().map(|(_, v)| *v).max().unwrap_or(0);
                (service, peak.saturating_sub(used))
            })
            .collect()
    }
}
