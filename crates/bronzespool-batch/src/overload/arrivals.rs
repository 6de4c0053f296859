//! When rejected jobs first came, and when their callers were told to come back.
//!
//! Covers callers that come back: they keep their place before newcomers, and they are told to come
//! back as fast as the workers can serve them.

use {
    crate::id::JobId,
    bronzespool_core::{HashMap, Time},
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Most jobs that are remembered; one takes some 100 bytes.
const JOBS_MAX: usize = 16_384;
/// Time after its latest rejection for which a job is remembered: twice the longest time after
/// which its caller is told to come back.
const RETENTION: Duration = Duration::from_secs(120);

/// A rejected job.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    /// When the job first came.
    pub(super) first: Time,
    /// When it was last rejected.
    pub(super) rejected: Time,
    /// When its caller was told to come back.
    pub(super) due: Time,
    /// Service whose workers would run it.
    pub(super) service: Arc<str>,
    /// Seconds that all workers of the service need for it.
    pub(super) seconds: f64,
}

/// The jobs that were rejected lately.
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

    /// Forgets a job that is accepted, and returns when it first came.
    pub(super) fn remove(&mut self, job: JobId) -> Option<Time> {
        self.by_job.remove(&job).map(|a| a.first)
    }

    /// Records a rejection. The oldest ones are forgotten if there are too many.
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

    /// Returns the seconds that a service's workers need for the rejected work that is yet to come
    /// back.
    pub(super) fn outstanding(&self, service: &str, now: Time) -> f64 {
        let outstanding = self.by_job.values().filter(|a| &*a.service == service && a.due > now);
        outstanding.map(|a| a.seconds).sum()
    }
}
