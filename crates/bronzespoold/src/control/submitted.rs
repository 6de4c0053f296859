//! Bodies with which jobs were submitted under a key, kept until the key's horizon.

use {
    bronzespool::core::{Code, Digest, Job, Time},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Digests by job, for longer than the jobs themselves are kept.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Submitted {
    digests: BTreeMap<Job, Digest>,
    ends: VecDeque<(Time, Job)>,
}

impl Submitted {
    /// Whether the job was submitted before, with the same body.
    pub(super) fn check(&self, job: &Job, digest: Digest) -> Result<bool, Code> {
        match self.digests.get(job) {
            Some(first) if *first != digest => Err(Code::KeyReused),
            first => Ok(first.is_some()),
        }
    }

    /// Notes a submission, and drops those whose horizon has passed.
    pub(super) fn note(&mut self, at: Time, job: Job, digest: Digest, keep: Duration) {
        while self.ends.front().is_some_and(|(end, _)| *end <= at) {
            let old = self.ends.pop_front().map(|(_, old)| old);
            old.and_then(|old| self.digests.remove(&old));
        }
        self.digests.insert(job.clone(), digest);
        self.ends.push_back((at + keep, job));
    }
}
