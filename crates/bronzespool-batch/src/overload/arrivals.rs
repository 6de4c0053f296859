//! When rejected jobs were first submitted, and when their callers were told to retry.
//!
//! Covers callers that retry: they keep their place before jobs that were submitted later, and their
//! retries are scheduled at the rate at which the workers can serve them.

use {
    crate::id::JobId,
    bronzespool_core::{HashMap, Time},
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Most jobs that are remembered; each takes about 100 bytes.
const JOBS_MAX: usize = 16_384;
/// Time after its latest rejection for which a job is remembered: twice the longest time after
/// which its caller is told to retry.
const RETENTION: Duration = Duration::from_secs(120);

/// A rejected job.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    /// When the job was first submitted.
    pub(super) first: Time,
    /// When it was last rejected.
    pub(super) rejected: Time,
    /// When its caller was told to retry.
    pub(super) due: Time,
    /// Service whose workers would run it.
    pub(super) service: Arc<str>,
    /// Seconds that all workers of the service need for it.
    pub(super) seconds: f64,
}

/// The jobs that were rejected recently.
#[derive(Clone, Debug, Default)]
pub(super) struct Arrivals {
    by_job: HashMap<JobId, Arrival>,
    /// Rejections in their order, also those that a later one of the same job has replaced.
    order: VecDeque<(Time, JobId)>,
}

impl Arrivals {
    pub(super) fn get(&self, job: JobId) -> Option<&Arrival> {
        self.by_job.get(&job)
    }

    /// Removes a job that is accepted, and returns when it was first submitted.
    pub(super) fn remove(&mut self, job: JobId) -> Option<Time> {
        self.by_job.remove(&job).map(|a| a.first)
    }

    /// Records a rejection. Expired ones, and the oldest ones if there are too many, are removed.
    pub(super) fn record(&mut self, job: JobId, arrival: Arrival) {
        let now = arrival.rejected;
        self.order.push_back((now, job));
        self.by_job.insert(job, arrival);
        while let Some(&(at, oldest)) = self.order.front() {
            if now.since(at) < RETENTION && self.order.len() <= JOBS_MAX {
                break;
            }
            self.order.pop_front();
            if self.by_job.get(&oldest).is_some_and(|a| a.rejected == at) {
                self.by_job.remove(&oldest);
            }
        }
    }

    /// Returns the seconds that a service's workers need for rejected jobs whose retries are not due
    /// yet.
    pub(super) fn outstanding(&self, service: &str, now: Time) -> f64 {
        let outstanding = self.by_job.values().filter(|a| &*a.service == service && a.due > now);
        outstanding.map(|a| a.seconds).sum()
    }
}
