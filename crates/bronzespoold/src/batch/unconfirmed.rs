//! Submissions whose outcome an entry does not know.

use {
    bronzespool::{
        batch::JobId,
        core::{HashMap, Time},
    },
    std::time::Duration,
};

/// Time for which a submission is remembered: callers do not come back later.
const KEEP: Duration = Duration::from_secs(60);
/// Most submissions that are remembered.
const JOBS_MAX: usize = 4_096;

/// Jobs that may have been accepted though their callers were not told so.
#[derive(Debug, Default)]
pub struct UnconfirmedJobs {
    jobs: HashMap<JobId, Time>,
}

impl UnconfirmedJobs {
    /// Notes that a submission may have been carried out.
    pub fn note(&mut self, now: Time, job: JobId) {
        self.jobs.retain(|_, at| now.since(*at) < KEEP);
        if self.jobs.len() < JOBS_MAX {
            self.jobs.insert(job, now);
        }
    }

    /// Whether an earlier submission of the job may have been carried out.
    pub fn holds(&self, now: Time, job: JobId) -> bool {
        self.jobs.get(&job).is_some_and(|at| now.since(*at) < KEEP)
    }

    /// Forgets a job whose state is known.
    pub fn settle(&mut self, job: JobId) {
        self.jobs.remove(&job);
    }
}
