//! Body digests of jobs that were submitted with an idempotency key, kept until the key expires.

use {
    bronzespool::core::{Code, Digest, Job, Time},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Body digests by job. They are kept for longer than the jobs themselves.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Submissions {
    digests: BTreeMap<Job, Digest>,
    expirations: VecDeque<(Time, Job)>,
}

impl Submissions {
    /// Whether the job was submitted before with the same body.
    pub(super) fn is_duplicate(&self, job: &Job, digest: Digest) -> Result<bool, Code> {
        match self.digests.get(job) {
            Some(first) if *first != digest => Err(Code::KeyReused),
            first => Ok(first.is_some()),
        }
    }

    /// Records a submission, and drops those whose keys have expired.
    pub(super) fn record(&mut self, at: Time, job: Job, digest: Digest, retention: Duration) {
        while self.expirations.front().is_some_and(|(expiration, _)| *expiration <= at) {
            let expired = self.expirations.pop_front().map(|(_, expired)| expired);
            expired.and_then(|expired| self.digests.remove(&expired));
        }
        self.digests.insert(job.clone(), digest);
        self.expirations.push_back((at + retention, job));
    }
}
