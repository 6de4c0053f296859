//! Jobs that were cancelled before they were submitted.
//!
//! The caller of a cancelling is told that no such job exists, and takes that for an end. The submission
//! may still be on its way: held by a process that is frozen, by a relay or by a former leader. So the
//! cancelling is recorded, and a submission that comes after it is refused.

use {
    crate::{
        id::JobId,
        ledger::{JOB_RETENTION, Ledger},
    },
    bronzespool_core::Time,
    serde::{Deserialize, Deserializer, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Most of these jobs that are remembered.
const JOBS_MAX: usize = 65_536;
/// Time for which each of them is remembered at least. A submission is rarely late by more than seconds.
const KEPT_MIN: Duration = Duration::from_secs(60);

/// Jobs that were cancelled before they were submitted, for as long as a job that has ended is kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlyCancels {
    jobs: BTreeMap<JobId, Time>,
    /// The same jobs, the oldest first.
    order: VecDeque<(Time, JobId)>,
}

impl EarlyCancels {
    /// Whether a job is one of these.
    pub fn contains(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Whether one more job can be remembered at a log time.
    pub fn has_room(&self, now: Time) -> bool {
        let is_old = |(at, _): &(Time, JobId)| now.since(*at) >= KEPT_MIN;
        self.jobs.len() < JOBS_MAX || self.order.front().is_some_and(is_old)
    }

    /// Remembers a job, in place of the oldest one if there are too many.
    pub(super) fn insert(&mut self, now: Time, job: JobId) {
        if self.contains(job) {
            return;
        }
        if self.jobs.len() >= JOBS_MAX {
            self.remove_oldest();
        }
        self.jobs.insert(job, now);
        self.order.push_back((now, job));
    }

    /// Forgets the jobs that were cancelled longer than the retention time ago.
    pub(super) fn expire(&mut self, now: Time) {
        while self.order.front().is_some_and(|(at, _)| now.since(*at) > JOB_RETENTION) {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        let oldest = self.order.pop_front();
        oldest.and_then(|(_, job)| self.jobs.remove(&job));
    }
}

/// Reads the early cancels, which snapshots of former versions end without.
pub(super) fn read_or_default<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<EarlyCancels, D::Error> {
    // Only the end of the bytes can fail here, as with the crashes.
    Ok(EarlyCancels::deserialize(deserializer).unwrap_or_default())
}

impl Ledger {
    /// Returns the jobs that were cancelled before they were submitted.
    pub const fn early_cancels(&self) -> &EarlyCancels {
        &self.early_cancels
    }
}
