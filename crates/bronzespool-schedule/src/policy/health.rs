//! Quarantine of workers on which jobs fail that do not fail elsewhere.
//!
//! A single failure does not tell whether the job or the worker is faulty. A failed job counts
//! against a worker only as long as it has failed on no other worker outside quarantine. A worker
//! counts against a job only while the worker is not in quarantine.

use {
    super::DecisionPass,
    crate::{
        record::Event,
        state::{SchedulerState, Worker},
    },
    bronzespool_core::Time,
};

/// Starts and ends quarantines, and allows probe jobs.
pub(super) fn update_quarantine(pass: &mut DecisionPass<'_>) {
    let state = pass.state;
    let mut quarantined = state.suspects().filter(|w| w.quarantine.is_some()).count();
    let limit = quarantine_max(state);
    for worker in state.suspects() {
        let instance = worker.place.instance.clone();
        let is_faulty =
            attributed_failures(state, worker) >= state.settings().worker_failures_max as usize;
        match worker.quarantine {
            None if is_faulty && quarantined < limit => {
                quarantined += 1;
                pass.push(Event::Quarantined { instance });
            }
            None => {}
            Some(_) if !is_faulty => pass.push(Event::Healthy { instance }),
            Some(since) => match worker.probing {
                Some(probe) if worker.failures.values().any(|&at| at > probe) => {
                    pass.push(Event::Quarantined { instance });
                }
                None if since + state.settings().probe_delay <= pass.now => {
                    pass.push(Event::Probing { instance });
                }
                _ => {}
            },
        }
    }
}

/// Largest number of workers in quarantine at the same time.
fn quarantine_max(state: &SchedulerState) -> usize {
    let share = state.workers().len() * state.settings().quarantine_permille_max as usize / 1_000;
    share.max(1)
}

/// Number of jobs that failed on the worker since its last success, and on no other worker outside
/// quarantine.
fn attributed_failures(state: &SchedulerState, worker: &Worker) -> usize {
    let only_here = |id: &u64| {
        state.job_by_number(*id).is_some_and(|job| {
            let others = job.failed_workers.iter().filter(|name| **name != worker.place.instance);
            others.filter_map(|name| state.workers().get(name)).all(|w| w.quarantine.is_some())
        })
    };
    worker.failures.keys().filter(|id| only_here(id)).count()
}

/// Time of the next probe.
pub(super) fn next_probe(state: &SchedulerState) -> Option<Time> {
    let unprobed = state.suspects().filter(|w| w.probing.is_none());
    unprobed.filter_map(|w| Some(w.quarantine? + state.settings().probe_delay)).min()
}
