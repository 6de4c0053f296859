//! Submissions whose outcome is unknown to the entry.

use {
    bronzespool::{
        batch::JobId,
        core::{HashMap, Time},
    },
    std::time::Duration,
};

/// Time for which a submission is remembered. Callers do not repeat it later than that.
const RETENTION: Duration = Duration::from_secs(60);
/// Limit on the number of submissions that are remembered.
const JOBS_MAX: usize = 4_096;

/// Jobs that may have been accepted although their callers got no confirmation.
#[derive(Debug, Default)]
pub struct UnconfirmedJobs {
    jobs: HashMap<JobId, Time>,
}

impl UnconfirmedJobs {
    /// Records that a submission of the job may have been committed.
    pub fn record(&mut self, now: Time, job: JobId) {
        self.jobs.retain(|_, at| now.since(*at) < RETENTION);
        if self.jobs.len() < JOBS_MAX {
            self.jobs.insert(job, now);
        }
    }

    /// Whether an earlier submission of the job may have been committed.
    pub fn contains(&self, now: Time, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|at| now.since(*at) < RETENTION)
    }

    /// Removes a job whose state is now known.
    pub fn remove(&mut self, job: JobId) {
        self.jobs.remove(&job);
    }
}
