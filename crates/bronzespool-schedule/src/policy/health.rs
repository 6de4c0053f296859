//! Quarantine of workers on which work fails that does not fail elsewhere.
//!
//! One failure says nothing about which of the two is at fault. A job counts against a worker only
//! as long as it has failed on no other worker in good standing, and a worker counts against a job
//! only while it is not in quarantine itself.

use {
    super::Pass,
    crate::{
        record::Event,
        state::{SchedulerState, Worker},
    },
    bronzespool_core::Time,
};

/// Quarantines, probes and pardons.
pub(super) fn health(pass: &mut Pass<'_>) {
    let state = pass.state;
    let mut quarantined = state.suspects().filter(|w| w.quarantine.is_some()).count();
    let most = quarantine_max(state);
    for worker in state.suspects() {
        let instance = worker.place.instance.clone();
        let guilty = strikes(state, worker) >= state.settings().worker_failures_max as usize;
        match worker.quarantine {
            None if guilty && quarantined < most => {
                quarantined += 1;
                pass.push(Event::Quarantined { instance });
            }
            None => {}
            Some(_) if !guilty => pass.push(Event::Healthy { instance }),
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

/// Most workers in quarantine at once.
fn quarantine_max(state: &SchedulerState) -> usize {
    let share = state.workers().len() * state.settings().quarantine_permille_max as usize / 1_000;
    share.max(1)
}

/// Jobs that failed on the worker since its last success, and on no other in good standing.
fn strikes(state: &SchedulerState, worker: &Worker) -> usize {
    let only_here = |id: &u64| {
        state.job_at(*id).is_some_and(|job| {
            let others = job.failed_workers.iter().filter(|name| **name != worker.place.instance);
            others.filter_map(|name| state.workers().get(name)).all(|w| w.quarantine.is_some())
        })
    };
    worker.failures.keys().filter(|id| only_here(id)).count()
}

/// When the next probe is due.
pub(super) fn next(state: &SchedulerState) -> Option<Time> {
    let waiting = state.suspects().filter(|w| w.probing.is_none());
    waiting.filter_map(|w| Some(w.quarantine? + state.settings().probe_delay)).min()
}
