//! The attempts that an agent keeps track of.

use {
    crate::claim::{Answer, ClaimId, Completion, Incarnation},
    bronzespool_core::{Digest, Time},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Identifies one attempt, as in its claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// Claim of the attempt.
    pub claim: ClaimId,
    /// Number of the attempt.
    pub attempt: u32,
    /// The only incarnation that may start it.
    pub target: Incarnation,
    /// Time on the target's clock from which no copy is accepted.
    pub expires: Time,
}

/// One copy of a protected request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// The attempt.
    pub id: AttemptId,
    /// Digest of the request's body.
    pub digest: Digest,
    /// Number of slots that the request takes.
    pub slots: u32,
}

/// What an agent knows of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptStatus {
    /// It has not started, but may start if a copy arrives.
    Unseen,
    /// It has not started and never will.
    Fenced,
    /// It is running.
    Started,
    /// It has ended with this completion.
    Finished(Completion),
    /// It may have run, and this agent does not know: the entry was dropped, or never existed here.
    Forgotten,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AttemptEntry {
    attempt: u32,
    expires: Time,
    kept_until: Time,
    status: AttemptStatus,
}

/// The latest attempt of each claim. The admission bounds the number of entries and the size of
/// their answers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct AttemptTable {
    entries: BTreeMap<ClaimId, AttemptEntry>,
    /// Claims ordered by the `kept_until` of their entries.
    by_end: BTreeSet<(Time, ClaimId)>,
    /// Latest `expires` of the entries dropped so far.
    start_watermark: Time,
    /// The same for dropped entries that were not fences.
    forgotten_watermark: Time,
    answer_bytes: usize,
}

impl AttemptTable {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// Attempts that expire at or before this time may not start.
    pub(super) const fn start_watermark(&self) -> Time {
        self.start_watermark
    }

    /// Status of the attempt `id`. An expired attempt without an entry counts as fenced, since no
    /// copy of it may start.
    pub(super) fn status(&self, now: Time, id: &AttemptId) -> AttemptStatus {
        match self.entries.get(&id.claim) {
            Some(entry) if entry.attempt == id.attempt => entry.status.clone(),
            Some(entry) if entry.attempt > id.attempt => AttemptStatus::Fenced,
            _ if id.expires <= self.forgotten_watermark => AttemptStatus::Forgotten,
            _ if id.expires <= now.max(self.start_watermark) => AttemptStatus::Fenced,
            _ => AttemptStatus::Unseen,
        }
    }

    /// Whether the table holds an earlier attempt of the claim that may have run.
    pub(super) fn conflicts(&self, id: &AttemptId) -> bool {
        let Some(entry) = self.entries.get(&id.claim) else {
            return false;
        };
        let not_run = matches!(
            entry.status,
            AttemptStatus::Fenced | AttemptStatus::Finished(Completion::NotRun(_))
        );
        entry.attempt < id.attempt && !not_run
    }

    /// Records that `id` will never start.
    pub(super) fn fence(&mut self, id: &AttemptId) {
        self.insert(id, id.expires, AttemptStatus::Fenced);
    }

    /// Records that `id` is running.
    pub(super) fn start(&mut self, id: &AttemptId) {
        self.insert(id, Time::MAX, AttemptStatus::Started);
    }

    /// Records how `attempt` of `id` ended, and keeps that for `outcome_time` after the last copy
    /// may arrive. Returns whether the attempt was running.
    pub(super) fn finish(
        &mut self,
        now: Time,
        id: &ClaimId,
        attempt: u32,
        completion: &Completion,
        outcome_time: Duration,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        if entry.attempt != attempt || entry.status != AttemptStatus::Started {
            return false;
        }
        self.by_end.remove(&(entry.kept_until, id.clone()));
        entry.kept_until = entry.expires.max(now) + outcome_time;
        entry.status = AttemptStatus::Finished(completion.clone());
        self.answer_bytes += answer_bytes(&entry.status);
        self.by_end.insert((entry.kept_until, id.clone()));
        true
    }

    /// Drops the entries that are kept until `now` or earlier.
    pub(super) fn expire(&mut self, now: Time) {
        while self.by_end.first().is_some_and(|(kept_until, _)| *kept_until <= now) {
            self.remove_first();
        }
    }

    /// Drops the entry with the earliest `kept_until`, unless all attempts are running. Returns
    /// whether an entry was dropped.
    pub(super) fn evict(&mut self) -> bool {
        let evictable = self.by_end.first().is_some_and(|(kept_until, _)| *kept_until < Time::MAX);
        if evictable {
            self.remove_first();
        }
        evictable
    }

    /// Replaces the oldest body by its digest. Returns false if no body is left.
    pub(super) fn drop_oldest_body(&mut self) -> bool {
        let oldest = self
            .by_end
            .iter()
            .map(|(_, id)| id)
            .find(|id| self.entries.get(id).is_some_and(|e| answer_bytes(&e.status) > 0));
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

    fn insert(&mut self, id: &AttemptId, kept_until: Time, status: AttemptStatus) {
        self.remove(&id.claim);
        let entry = AttemptEntry { attempt: id.attempt, expires: id.expires, kept_until, status };
        self.by_end.insert((kept_until, id.claim.clone()));
        self.entries.insert(id.claim.clone(), entry);
    }

    fn remove(&mut self, id: &ClaimId) -> Option<AttemptEntry> {
        let entry = self.entries.remove(id)?;
        self.by_end.remove(&(entry.kept_until, id.clone()));
        self.answer_bytes -= answer_bytes(&entry.status);
        Some(entry)
    }

    fn remove_first(&mut self) {
        let Some((_, id)) = self.by_end.first().cloned() else {
            return;
        };
        let Some(entry) = self.remove(&id) else {
            return;
        };
        self.start_watermark = self.start_watermark.max(entry.expires);
        if entry.status != AttemptStatus::Fenced {
            self.forgotten_watermark = self.forgotten_watermark.max(entry.expires);
        }
    }
}

fn answer_bytes(status: &AttemptStatus) -> usize {
    match status {
        AttemptStatus::Finished(Completion::Answered(answer)) => Answer::body_bytes(answer),
        _ => 0,
    }
}
