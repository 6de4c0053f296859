//! Finds the checkpoints that all members of a gang have made.

use {
    bronzespool::{
        core::{HashMap, Job, Time},
        schedule::{Attempt, JobState, MemberOutcome, MemberState},
    },
    std::collections::BTreeMap,
};

/// Checkpoints of one attempt: for each member, the time at which each checkpoint number was first
/// reported.
#[derive(Clone, Debug, Default)]
struct AttemptCheckpoints {
    attempt: u32,
    members: Vec<BTreeMap<u32, Time>>,
    confirmed: u32,
}

/// A checkpoint that every member of a gang has made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct GangCheckpoint {
    /// The job.
    pub(super) job: Job,
    /// Number of the attempt.
    pub(super) attempt: u32,
    /// Number of the checkpoint.
    number: u32,
    /// Time of the first report among the members, so that no member's progress is overstated.
    pub(super) at: Time,
}

/// Checkpoints of the running attempts, as reported in one term. A new leader starts without any
/// and continues with the next reports.
#[derive(Clone, Debug, Default)]
pub(super) struct Checkpoints {
    jobs: HashMap<Job, AttemptCheckpoints>,
}

impl Checkpoints {
    /// Records that a member has made `count` checkpoints. Returns the newest checkpoint that all
    /// members have made, unless it was confirmed before.
    pub(super) fn record(
        &mut self,
        job: &JobState,
        attempt: &Attempt,
        member: u32,
        count: u32,
        now: Time,
    ) -> Option<GangCheckpoint> {
        let checkpoints = self.attempt_checkpoints(job, attempt);
        checkpoints.members.get_mut(member as usize)?.entry(count).or_insert(now);
        let done = MemberState::Stopped(MemberOutcome::Done);
        let running = || {
            let members = checkpoints.members.iter().zip(&attempt.members);
            members.filter(|(_, state)| **state != done).map(|(reports, _)| reports)
        };
        let last = |reports: &BTreeMap<u32, Time>| reports.keys().next_back().copied().unwrap_or(0);
        let number = running().map(last).min().filter(|number| *number > checkpoints.confirmed)?;
        let first =
            |reports: &BTreeMap<u32, Time>| reports.range(number..).next().map(|(_, at)| *at);
        let at = running().filter_map(first).min()?;
        Some(GangCheckpoint { job: job.spec.job.clone(), attempt: attempt.number, number, at })
    }

    /// Marks a gang's checkpoint as committed to the log.
    pub(super) fn confirm(&mut self, checkpoint: &GangCheckpoint) {
        let Some(checkpoints) = self.jobs.get_mut(&checkpoint.job) else {
            return;
        };
        if checkpoints.attempt == checkpoint.attempt {
            checkpoints.confirmed = checkpoints.confirmed.max(checkpoint.number);
            checkpoints.members.iter_mut().for_each(|m| *m = m.split_off(&checkpoint.number));
        }
    }

    /// Drops attempts that are no longer active.
    pub(super) fn retain(&mut self, active: impl Fn(&Job, u32) -> bool) {
        self.jobs.retain(|job, checkpoints| active(job, checkpoints.attempt));
    }

    fn attempt_checkpoints(
        &mut self,
        job: &JobState,
        attempt: &Attempt,
    ) -> &mut AttemptCheckpoints {
        let checkpoints = self.jobs.entry(job.spec.job.clone()).or_default();
        if checkpoints.attempt != attempt.number {
            let members = vec![BTreeMap::new(); attempt.members.len()];
            *checkpoints = AttemptCheckpoints { attempt: attempt.number, members, confirmed: 0 };
        }
        checkpoints
    }
}
