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
    pub id: ClaimId,
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
    pub name: AttemptId,
    /// Digest of the body.
    pub digest: Digest,
    /// Slots that it takes.
    pub slots: u32,
}

/// What an agent knows of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Status {
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
    status: Status,
}

/// Attempts by claim, bounded in number and in bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Memory {
    entries: BTreeMap<ClaimId, Entry>,
    ends: BTreeSet<(Time, ClaimId)>,
    floor: Time,
    forgotten: Time,
    bytes: usize,
}

impl Memory {
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(super) const fn bytes(&self) -> usize {
        self.bytes
    }

    /// No attempt that expires at or before this may start.
    pub(super) const fn floor(&self) -> Time {
        self.floor
    }

    /// What is known of the attempt `name`, fences that time has replaced included.
    pub(super) fn status(&self, now: Time, name: &AttemptId) -> Status {
        match self.entries.get(&name.id) {
            Some(entry) if entry.attempt == name.attempt => entry.status.clone(),
            Some(entry) if entry.attempt > name.attempt => Status::Fenced,
            _ if name.expires <= self.forgotten => Status::Forgotten,
            _ if name.expires <= now.max(self.floor) => Status::Fenced,
            _ => Status::Unseen,
        }
    }

    /// Whether an earlier attempt of the claim is known that is not proved to have never run.
    pub(super) fn conflicts(&self, name: &AttemptId) -> bool {
        let Some(entry) = self.entries.get(&name.id) else {
            return false;
        };
        let ended =
            matches!(entry.status, Status::Fenced | Status::Finished(Completion::NotRun(_)));
        entry.attempt < name.attempt && !ended
    }

    /// Stores that `name` will never start.
    pub(super) fn fence(&mut self, name: &AttemptId) {
        self.put(name, name.expires, Status::Fenced);
    }

    /// Stores that `name` runs.
    pub(super) fn start(&mut self, name: &AttemptId) {
        self.put(name, Time::MAX, Status::Started);
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
        if entry.attempt != attempt || entry.status != Status::Started {
            return false;
        }
        self.ends.remove(&(entry.until, id.clone()));
        entry.until = entry.expires.max(now) + hold;
        entry.status = Status::Finished(completion.clone());
        self.bytes += held(&entry.status);
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
        let Status::Finished(Completion::Answered(answer)) = &mut entry.status else {
            return false;
        };
        self.bytes -= answer.body_bytes();
        *answer = answer.without_body();
        true
    }

    fn put(&mut self, name: &AttemptId, until: Time, status: Status) {
        self.remove(&name.id);
        let entry = Entry { attempt: name.attempt, expires: name.expires, until, status };
        self.ends.insert((until, name.id.clone()));
        self.entries.insert(name.id.clone(), entry);
    }

    fn remove(&mut self, id: &ClaimId) -> Option<Entry> {
        let entry = self.entries.remove(id)?;
        self.ends.remove(&(entry.until, id.clone()));
        self.bytes -= held(&entry.status);
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
        if entry.status != Status::Fenced {
            self.forgotten = self.forgotten.max(entry.expires);
        }
    }
}

fn held(status: &Status) -> usize {
    match status {
        Status::Finished(Completion::Answered(answer)) => Answer::body_bytes(answer),
        _ => 0,
    }
}
