//! Finds the checkpoints that all members of a gang have made.

use {
    bronzespool::{
        core::{HashMap, Job, Time},
        schedule::{Attempt, JobState, MemberOutcome, MemberState},
    },
    std::collections::BTreeMap,
};

/// Checkpoints of one attempt: the time at which each member's number was first heard of.
#[derive(Clone, Debug, Default)]
struct Rounds {
    attempt: u32,
    members: Vec<BTreeMap<u32, Time>>,
    whole: u32,
}

/// A checkpoint that every member has made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Whole {
    /// The job.
    pub(super) job: Job,
    /// Number of the attempt.
    pub(super) attempt: u32,
    /// Number of the checkpoint.
    round: u32,
    /// When the first member's was heard of: no member's progress is overstated.
    pub(super) at: Time,
}

/// Checkpoints of the running attempts, as heard of in one term. A new leader knows of none and
/// takes up with the next ones.
#[derive(Clone, Debug, Default)]
pub(super) struct Checkpoints {
    jobs: HashMap<Job, Rounds>,
}

impl Checkpoints {
    /// Notes that a member has made `count` checkpoints. Returns the newest one that all members
    /// have made, if that was not confirmed before.
    pub(super) fn note(
        &mut self,
        job: &JobState,
        attempt: &Attempt,
        member: u32,
        count: u32,
        now: Time,
    ) -> Option<Whole> {
        let rounds = self.rounds(job, attempt);
        rounds.members.get_mut(member as usize)?.entry(count).or_insert(now);
        let done = MemberState::Stopped(MemberOutcome::Done);
        let counted = || {
            let members = rounds.members.iter().zip(&attempt.members);
            members.filter(|(_, state)| **state != done).map(|(made, _)| made)
        };
        let last = |made: &BTreeMap<u32, Time>| made.keys().next_back().copied().unwrap_or(0);
        let round = counted().map(last).min().filter(|round| *round > rounds.whole)?;
        let first = |made: &BTreeMap<u32, Time>| made.range(round..).next().map(|(_, at)| *at);
        let at = counted().filter_map(first).min()?;
        Some(Whole { job: job.spec.job.clone(), attempt: attempt.number, round, at })
    }

    /// A whole checkpoint was recorded.
    pub(super) fn confirm(&mut self, whole: &Whole) {
        let Some(rounds) = self.jobs.get_mut(&whole.job) else {
            return;
        };
        if rounds.attempt == whole.attempt {
            rounds.whole = rounds.whole.max(whole.round);
            rounds.members.iter_mut().for_each(|m| *m = m.split_off(&whole.round));
        }
    }

    /// Drops what is no longer active.
    pub(super) fn retain(&mut self, active: impl Fn(&Job, u32) -> bool) {
        self.jobs.retain(|job, rounds| active(job, rounds.attempt));
    }

    fn rounds(&mut self, job: &JobState, attempt: &Attempt) -> &mut Rounds {
        let rounds = self.jobs.entry(job.spec.job.clone()).or_default();
        if rounds.attempt != attempt.number {
            let members = vec![BTreeMap::new(); attempt.members.len()];
            *rounds = Rounds { attempt: attempt.number, members, whole: 0 };
        }
        rounds
    }
}
