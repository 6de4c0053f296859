//! The replicated state machine of claims.

use {
    super::{Answer, ClaimChange, ClaimId, ClaimRecord, Completion, ExpiredKeys, Incarnation},
    bronzespool_core::{Code, Digest, Instance, Time},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
};

const DAY: Duration = Duration::from_secs(24 * 60 * 60);

/// How much is remembered and for how long. Only the leader reads it: limits reach the other
/// replicas as records, so replicas may differ in their settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Retention {
    /// Time for which a claim's record and answer are kept after its last change.
    pub record_time: Duration,
    /// Time for which a key is refused after its record has expired.
    pub key_time: Duration,
    /// Records held at most; further keys are refused as overload.
    pub records_max: usize,
    /// Fingerprints held at most; further keys are refused as overload.
    pub fingerprints_max: usize,
    /// Largest body kept with a claim in bytes.
    pub answer_bytes: usize,
    /// Bodies kept in all in bytes.
    pub total_bytes: usize,
}

impl Default for Retention {
    fn default() -> Self {
        Self {
            record_time: DAY,
            key_time: 30 * DAY,
            records_max: 100_000,
            fingerprints_max: 2_000_000,
            answer_bytes: 16 << 10,
            total_bytes: 64 << 20,
        }
    }
}

/// A wish to claim a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Claim.
    pub id: ClaimId,
    /// Digest of the request's body.
    pub digest: Digest,
    /// Incarnation to run it.
    pub target: Incarnation,
    /// End of the time in which the target accepts copies, on the target's clock. It is fixed
    /// before the claim is asked for: see [`crate::admit`].
    pub expires: Time,
}

/// Where a claim stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimState {
    /// One attempt may be under way: only its target can tell.
    Open,
    /// No attempt ran; the key may be claimed again.
    Released,
    /// An attempt may have run and its outcome is not known.
    Sealed(Code),
    /// The attempt's answer.
    Done(Answer),
}

/// A claim that exists.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of the request's body.
    pub digest: Digest,
    /// Latest attempt.
    pub attempt: u32,
    /// Incarnation of the latest attempt.
    pub target: Incarnation,
    /// End of the time in which the target accepts copies, on the target's clock.
    pub expires: Time,
    /// Where it stands.
    pub state: ClaimState,
    changed: Time,
}

/// What the leader does with a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Commit this record; the key is claimed only if [`Claims::apply`] says so.
    New(ClaimRecord),
    /// The key is claimed; nothing is sent, only the target asked or fenced.
    Existing(Claim),
    /// Refused; nothing runs under this request.
    Refused(Code),
}

/// Effect of a committed record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimOutcome {
    /// The record won the key: its proposer, and no one else, may send the attempt.
    Claimed {
        /// Attempt to send.
        attempt: u32,
    },
    /// The record came second: the key belongs to this claim.
    Existing(Claim),
    /// The record may not take effect; nothing runs under it.
    Refused(Code),
    /// The claim has changed its state.
    Changed,
    /// These claims were sealed, in the order of their ids.
    Sealed(Vec<ClaimId>),
    /// So many records expired.
    Expired(usize),
    /// A duplicate or a late record: no effect.
    Stale,
}

/// All claims of protected requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claims {
    clock: Time,
    claims: BTreeMap<ClaimId, Claim>,
    open: BTreeSet<ClaimId>,
    order: VecDeque<(Time, ClaimId)>,
    gone: BTreeMap<Instance, (u64, Time)>,
    expired_keys: ExpiredKeys,
    answer_bytes: usize,
}

impl Claims {
    /// Latest log time seen.
    ///
    /// Log time never falls. A new leader starts from this value and adds the time that passes
    /// on its own monotonic clock, so log time is never ahead of the time that has truly passed.
    pub const fn clock(&self) -> Time {
        self.clock
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Number of claims without an outcome.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Number of remembered keys whose records have expired.
    pub const fn expired_keys(&self) -> usize {
        self.expired_keys.len()
    }

    /// Bytes of all answers held.
    pub const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// The claim of `id`, if its record is held.
    pub fn get(&self, id: &ClaimId) -> Option<&Claim> {
        self.claims.get(id)
    }

    /// Whether the record of `id` has expired and its key is refused.
    pub fn is_expired(&self, id: &ClaimId) -> bool {
        !self.claims.contains_key(id) && self.expired_keys.contains(&id.fingerprint())
    }

    /// Open claims of `target`, in the order of their ids.
    pub fn open_at<'a>(
        &'a self,
        target: &'a Incarnation,
    ) -> impl Iterator<Item = (&'a ClaimId, &'a Claim)> {
        self.open.iter().filter_map(move |id| {
            let claim = self.claims.get(id)?;
            (claim.target == *target).then_some((id, claim))
        })
    }

    /// Decides on `request` at log time `now`.
    pub fn decide(&self, retention: &Retention, now: Time, request: &ClaimRequest) -> Decision {
        let attempt = match self.claims.get(&request.id) {
            Some(claim) if claim.digest != request.digest => {
                return Decision::Refused(Code::KeyReused);
            }
            Some(claim) if claim.state != ClaimState::Released => {
                return Decision::Existing(claim.clone());
            }
            Some(claim) => claim.attempt + 1,
            None => 1,
        };
        if let Err(code) = self.admits(&request.id, &request.target, attempt) {
            return Decision::Refused(code);
        }
        if attempt == 1 && self.full(retention) {
            return Decision::Refused(Code::Overloaded);
        }
        Decision::New(ClaimRecord {
            at: now.max(self.clock),
            change: ClaimChange::Claimed {
                id: request.id.clone(),
                digest: request.digest,
                target: request.target.clone(),
                attempt,
                expires: request.expires,
            },
        })
    }

    /// The record that stores how `attempt` of `id` ended, unless it is already known.
    pub fn complete(
        &self,
        retention: &Retention,
        now: Time,
        id: &ClaimId,
        attempt: u32,
        completion: &Completion,
    ) -> Option<ClaimRecord> {
        let claim = self.claims.get(id)?;
        if claim.attempt != attempt || !accepts(&claim.state, completion) {
            return None;
        }
        let id = id.clone();
        let change = match completion {
            Completion::Answered(answer) => {
                ClaimChange::Answered { id, attempt, answer: self.bounded(retention, answer) }
            }
            Completion::NotRun(_) => ClaimChange::Released { id, attempt },
            Completion::Unknown(code) => ClaimChange::OutcomeUnknown { id, attempt, code: *code },
        };
        Some(ClaimRecord { at: now.max(self.clock), change })
    }

    /// The record that expires what is past `retention` at log time `now`, if there is any.
    pub fn expire(&self, retention: &Retention, now: Time) -> Option<ClaimRecord> {
        let now = now.max(self.clock);
        let records_before = now - retention.record_time;
        let (oldest, _) = self.order.front()?;
        let due = *oldest < records_before;
        let change = ClaimChange::Expired { records_before, keys_before: now - retention.key_time };
        due.then_some(ClaimRecord { at: now, change })
    }

    /// Applies a committed record. The result is the same on every replica.
    pub fn apply(&mut self, record: &ClaimRecord) -> ClaimOutcome {
        self.clock = self.clock.max(record.at);
        match &record.change {
            ClaimChange::Claimed { id, digest, target, attempt, expires } => {
                self.claim(id, *digest, target, *attempt, *expires)
            }
            ClaimChange::Answered { id, attempt, answer } => {
                self.change(id, *attempt, &ClaimState::Done(answer.clone()))
            }
            ClaimChange::Released { id, attempt } => {
                self.change(id, *attempt, &ClaimState::Released)
            }
            ClaimChange::OutcomeUnknown { id, attempt, code } => {
                self.change(id, *attempt, &ClaimState::Sealed(*code))
            }
            ClaimChange::IncarnationGone(incarnation) => self.seal(incarnation),
            ClaimChange::Expired { records_before, keys_before } => {
                self.drop_before(*records_before, *keys_before)
            }
        }
    }

    fn full(&self, retention: &Retention) -> bool {
        self.claims.len() >= retention.records_max
            || self.expired_keys.len() + self.claims.len() >= retention.fingerprints_max
    }

    fn bounded(&self, retention: &Retention, answer: &Answer) -> Answer {
        let held = answer.body_bytes();
        if held <= retention.answer_bytes && self.answer_bytes + held <= retention.total_bytes {
            return answer.clone();
        }
        answer.without_body()
    }

    /// Whether attempt `attempt` may be claimed at `target`, other claims of `id` aside.
    fn admits(
        &self,
        id: &ClaimId,
        target: &Incarnation,
        attempt: u32,
    ) -> std::result::Result<(), Code> {
        if self.is_gone(target) {
            return Err(Code::IncarnationGone);
        }
        if attempt == 1 && self.expired_keys.contains(&id.fingerprint()) {
            return Err(Code::KeyExpired);
        }
        Ok(())
    }

    fn is_gone(&self, target: &Incarnation) -> bool {
        self.gone.get(&target.instance).is_some_and(|(number, _)| target.number <= *number)
    }

    fn claim(
        &mut self,
        id: &ClaimId,
        digest: Digest,
        target: &Incarnation,
        attempt: u32,
        expires: Time,
    ) -> ClaimOutcome {
        let next = match self.claims.get(id) {
            Some(claim) if claim.digest != digest => return ClaimOutcome::Refused(Code::KeyReused),
            Some(claim) if claim.state != ClaimState::Released => {
                return ClaimOutcome::Existing(claim.clone());
            }
            Some(claim) => claim.attempt + 1,
            None => 1,
        };
        if let Err(code) = self.admits(id, target, next) {
            return ClaimOutcome::Refused(code);
        }
        if attempt != next {
            return ClaimOutcome::Refused(Code::Fenced);
        }
        let (changed, state) = (self.clock, ClaimState::Open);
        let claim = Claim { digest, attempt, target: target.clone(), expires, state, changed };
        self.claims.insert(id.clone(), claim);
        self.open.insert(id.clone());
        self.order.push_back((changed, id.clone()));
        ClaimOutcome::Claimed { attempt }
    }

    fn change(&mut self, id: &ClaimId, attempt: u32, next: &ClaimState) -> ClaimOutcome {
        let Some(claim) = self.claims.get_mut(id) else {
            return ClaimOutcome::Stale;
        };
        if claim.attempt != attempt || !follows(&claim.state, next) {
            return ClaimOutcome::Stale;
        }
        if let ClaimState::Done(answer) = next {
            self.answer_bytes += answer.body_bytes();
        }
        claim.state = next.clone();
        claim.changed = self.clock;
        self.open.remove(id);
        self.order.push_back((self.clock, id.clone()));
        ClaimOutcome::Changed
    }

    fn seal(&mut self, incarnation: &Incarnation) -> ClaimOutcome {
        let gone = self.gone.entry(incarnation.instance.clone()).or_default();
        *gone = (gone.0.max(incarnation.number), self.clock);
        let ended = |c: &Claim| {
            c.target.instance == incarnation.instance && c.target.number <= incarnation.number
        };
        let ids: Vec<_> =
            self.open.iter().filter(|id| self.claims.get(id).is_some_and(ended)).cloned().collect();
        for id in &ids {
            let attempt = self.claims.get(id).map_or(0, |c| c.attempt);
            self.change(id, attempt, &ClaimState::Sealed(Code::Sealed));
        }
        ClaimOutcome::Sealed(ids)
    }

    fn drop_before(&mut self, records_before: Time, keys_before: Time) -> ClaimOutcome {
        let mut count = 0;
        while self.order.front().is_some_and(|(at, _)| *at < records_before) {
            let Some((at, id)) = self.order.pop_front() else {
                break;
            };
            if self.claims.get(&id).is_none_or(|c| c.changed != at) {
                continue;
            }
            self.drop_record(&id);
            count += 1;
        }
        self.expired_keys.forget(keys_before);
        self.gone.retain(|_, (_, at)| *at >= keys_before);
        ClaimOutcome::Expired(count)
    }

    fn drop_record(&mut self, id: &ClaimId) {
        let Some(claim) = self.claims.remove(id) else {
            return;
        };
        self.open.remove(id);
        if let ClaimState::Done(answer) = claim.state {
            self.answer_bytes -= answer.body_bytes();
        }
        self.expired_keys.insert(self.clock, id.fingerprint());
    }
}

/// Whether `completion` may still change a claim in `state`.
const fn accepts(state: &ClaimState, completion: &Completion) -> bool {
    match state {
        ClaimState::Open => true,
        ClaimState::Sealed(_) => matches!(completion, Completion::Answered(_)),
        ClaimState::Released | ClaimState::Done(_) => false,
    }
}

/// Whether a claim in state `from` may move to `next`.
const fn follows(from: &ClaimState, next: &ClaimState) -> bool {
    match from {
        ClaimState::Open => !matches!(next, ClaimState::Open),
        ClaimState::Sealed(_) => matches!(next, ClaimState::Done(_)),
        ClaimState::Released | ClaimState::Done(_) => false,
    }
}
