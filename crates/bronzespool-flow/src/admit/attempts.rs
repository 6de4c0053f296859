//! What an agent remembers of attempts.

use {
    crate::claim::{Answer, ClaimId, Completion, Incarnation},
    bronzespool_core::{Digest, Time},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Names one attempt, as in its claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Claim.
    pub claim: ClaimId,
    /// Number of the attempt.
    pub attempt: u32,
    /// The only incarnation that may start it.
    pub target: Incarnation,
    /// End of the time in which copies are accepted, on the target's clock.
    pub expires: Time,
}

/// One copy of a protected request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Which attempt.
    pub id: AttemptId,
    /// Digest of the body.
    pub digest: Digest,
    /// Slots that it takes.
    pub slots: u32,
}

/// What an agent knows of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptStatus {
    /// It has not started; it may start if a copy arrives.
    Unseen,
    /// It has not started and never will.
    Fenced,
    /// It runs.
    Started,
    /// It has ended.
    Finished(Completion),
    /// It may have run; this agent no longer knows, or never did.
    Forgotten,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    attempt: u32,
    expires: Time,
    until: Time,
    status: AttemptStatus,
}

/// Attempts by claim, bounded in number and in bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct AttemptTable {
    entries: BTreeMap<ClaimId, Entry>,
    ends: BTreeSet<(Time, ClaimId)>,
    floor: Time,
    forgotten: Time,
    answer_bytes: usize,
}

impl AttemptTable {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// No attempt that expires at or before this may start.
    pub(super) const fn floor(&self) -> Time {
        self.floor
    }

    /// What is known of the attempt `id`, fences that time has replaced included.
    pub(super) fn status(&self, now: Time, id: &AttemptId) -> AttemptStatus {
        match self.entries.get(&id.claim) {
            Some(entry) if entry.attempt == id.attempt => entry.status.clone(),
            Some(entry) if entry.attempt > id.attempt => AttemptStatus::Fenced,
            _ if id.expires <= self.forgotten => AttemptStatus::Forgotten,
            _ if id.expires <= now.max(self.floor) => AttemptStatus::Fenced,
            _ => AttemptStatus::Unseen,
        }
    }

    /// Whether an earlier attempt of the claim is known that is not proved to have never run.
    pub(super) fn conflicts(&self, id: &AttemptId) -> bool {
        let Some(entry) = self.entries.get(&id.claim) else {
            return false;
        };
        let ended = matches!(
            entry.status,
            AttemptStatus::Fenced | AttemptStatus::Finished(Completion::NotRun(_))
        );
        entry.attempt < id.attempt && !ended
    }

    /// Stores that `id` will never start.
    pub(super) fn fence(&mut self, id: &AttemptId) {
        self.put(id, id.expires, AttemptStatus::Fenced);
    }

    /// Stores that `id` runs.
    pub(super) fn start(&mut self, id: &AttemptId) {
        self.put(id, Time::MAX, AttemptStatus::Started);
    }

    /// Stores how `attempt` of `id` ended, for `hold` longer than copies of it may arrive.
    /// Returns whether it was running.
    pub(super) fn finish(
        &mut self,
        now: Time,
        id: &ClaimId,
        attempt: u32,
        completion: &Completion,
        hold: Duration,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if entry.attempt != attempt || entry.status != AttemptStatus::Started {
            return false;
        }
        self.ends.remove(&(entry.until, id.clone()));
        entry.until = entry.expires.max(now) + hold;
        entry.status = AttemptStatus::Finished(completion.clone());
        self.answer_bytes += held(&entry.status);
        self.ends.insert((entry.until, id.clone()));
        true
    }

    /// Drops what has ended by `now`.
    pub(super) fn expire(&mut self, now: Time) {
        while self.ends.first().is_some_and(|(until, _)| *until <= now) {
            self.drop_first();
        }
    }

    /// Drops one entry before its end. Returns whether there was one that does not run.
    pub(super) fn evict(&mut self) -> bool {
        let idle = self.ends.first().is_some_and(|(until, _)| *until < Time::MAX);
        if idle {
            self.drop_first();
        }
        idle
    }

    /// Keeps only the digest of the oldest body.
    pub(super) fn shrink(&mut self) -> bool {
        let oldest = self
            .ends
            .iter()
            .map(|(_, id)| id)
            .find(|id| self.entries.get(id).is_some_and(|e| held(&e.status) > 0));
        let Some(entry) = oldest.and_then(|id| self.entries.get_mut(id)) else {
            return false;
        };
        let AttemptStatus::Finished(Completion::Answered(answer)) = &mut entry.status else {
            return false;
        };
        self.answer_bytes -= answer.body_bytes();
        *answer = answer.without_body();
        true
    }

    fn put(&mut self, id: &AttemptId, until: Time, status: AttemptStatus) {
        self.remove(&id.claim);
        let entry = Entry { attempt: id.attempt, expires: id.expires, until, status };
        self.ends.insert((until, id.claim.clone()));
        self.entries.insert(id.claim.clone(), entry);
    }

    fn remove(&mut self, id: &ClaimId) -> Option<Entry> {
        let entry = self.entries.remove(id)?;
        self.ends.remove(&(entry.until, id.clone()));
        self.answer_bytes -= held(&entry.status);
        Some(entry)
    }

    fn drop_first(&mut self) {
        let Some((_, id)) = self.ends.first().cloned() else {
            return;
        };
        let Some(entry) = self.remove(&id) else {
            return;
        };
        self.floor = self.floor.max(entry.expires);
        if entry.status != AttemptStatus::Fenced {
            self.forgotten = self.forgotten.max(entry.expires);
        }
    }
}

fn held(status: &AttemptStatus) -> usize {
    match status {
        AttemptStatus::Finished(Completion::Answered(answer)) => Answer::body_bytes(answer),
        _ => 0,
    }
}
