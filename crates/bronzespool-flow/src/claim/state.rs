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

/// How many claims, keys and answers are kept, and for how long. Only the leader reads it: its
/// effects reach the other replicas as records, so the settings of replicas may differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Retention {
    /// Time for which a claim and its answer are kept after the last change.
    pub record_time: Duration,
    /// Time for which a key is refused after its claim has expired.
    pub key_time: Duration,
    /// Maximum number of claims; further keys are refused with [`Code::Overloaded`].
    pub records_max: usize,
    /// Maximum number of fingerprints, counting the claims that will become one; further keys are
    /// refused with [`Code::Overloaded`].
    pub fingerprints_max: usize,
    /// Maximum size of a body kept with a claim in bytes.
    pub answer_bytes: usize,
    /// Maximum size of all bodies in bytes.
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

/// A request to claim a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// Id of the claim.
    pub id: ClaimId,
    /// Digest of the request's body.
    pub digest: Digest,
    /// Incarnation that will run the attempt.
    pub target: Incarnation,
    /// Time on the target's clock from which the target accepts no copy. It is fixed before the
    /// claim is requested; see [`crate::admit`].
    pub expires: Time,
}

/// State of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimState {
    /// An attempt may be running; only its target can tell.
    Open,
    /// No attempt has run; the key may be claimed again.
    Released,
    /// An attempt may have run, and its outcome is unknown for this reason.
    Sealed(Code),
    /// The attempt ran and gave this answer.
    Done(Answer),
}

/// The claim of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Digest of the request's body.
    pub digest: Digest,
    /// Number of the latest attempt.
    pub attempt: u32,
    /// Incarnation that may run the latest attempt.
    pub target: Incarnation,
    /// Time on the target's clock from which the target accepts no copy.
    pub expires: Time,
    /// State of the claim.
    pub state: ClaimState,
    changed_at: Time,
}

/// Decision of the leader on a [`ClaimRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// The key may be claimed: commit this record. Only the outcome of [`Claims::apply`] tells
    /// whether it is.
    New(ClaimRecord),
    /// The key is claimed already. Nothing may be sent; the target may only be asked for the status
    /// or told to fence the attempt.
    Existing(Claim),
    /// The request is refused; nothing runs for it.
    Refused(Code),
}

/// Outcome of applying a committed record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimOutcome {
    /// The record has claimed the key: its proposer, and no other process, may send the attempt.
    Claimed {
        /// Number of the attempt to send.
        attempt: u32,
    },
    /// Another record came first, and the key belongs to this claim.
    Existing(Claim),
    /// The record is refused; nothing runs for it.
    Refused(Code),
    /// The claim has changed its state.
    Changed,
    /// These claims were sealed, ordered by their ids.
    Sealed(Vec<ClaimId>),
    /// These claims were released, ordered by their ids.
    Released(Vec<ClaimId>),
    /// Number of claims that expired.
    Expired(usize),
    /// The record is a duplicate or late, and has no effect.
    Stale,
}

/// The claims of all protected requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claims {
    clock: Time,
    claims: BTreeMap<ClaimId, Claim>,
    open_claims: BTreeSet<ClaimId>,
    /// All changes of state in log order. An item is outdated once its claim has changed again.
    by_change: VecDeque<(Time, ClaimId)>,
    /// Highest ended incarnation of each instance, and when an end was last recorded there.
    ended_incarnations: BTreeMap<Instance, (u64, Time)>,
    expired_keys: ExpiredKeys,
    answer_bytes: usize,
}

impl Claims {
    /// Latest log time applied.
    ///
    /// Log time never decreases. A new leader starts from this value and adds the time that passes
    /// on its own monotonic clock, so log time never runs ahead of the time that has really passed.
    pub const fn clock(&self) -> Time {
        self.clock
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Number of open claims.
    pub fn open(&self) -> usize {
        self.open_claims.len()
    }

    /// Number of keys that are refused because their claims have expired.
    pub const fn expired_keys(&self) -> usize {
        self.expired_keys.len()
    }

    /// Size of all bodies held in bytes.
    pub const fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// The claim of `id`, unless there is none or it has expired.
    pub fn get(&self, id: &ClaimId) -> Option<&Claim> {
        self.claims.get(id)
    }

    /// Whether the claim of `id` has expired and its key is refused.
    pub fn is_expired(&self, id: &ClaimId) -> bool {
        !self.claims.contains_key(id) && self.expired_keys.contains(&id.fingerprint())
    }

    /// Open claims of `target`, ordered by their ids.
    pub fn open_at<'a>(
        &'a self,
        target: &'a Incarnation,
    ) -> impl Iterator<Item = (&'a ClaimId, &'a Claim)> {
        self.open_claims.iter().filter_map(move |id| {
            let claim = self.claims.get(id)?;
            (claim.target == *target).then_some((id, claim))
        })
    }

    /// Decides on `request` at log time `now`, without changing the claims.
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
        if let Err(code) = self.check_claimable(&request.id, &request.target, attempt) {
            return Decision::Refused(code);
        }
        if attempt == 1 && self.is_full(retention) {
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

    /// The record that stores how `attempt` of `id` ended, or `None` if it would change nothing.
    pub fn complete(
        &self,
        retention: &Retention,
        now: Time,
        id: &ClaimId,
        attempt: u32,
        completion: &Completion,
    ) -> Option<ClaimRecord> {
        let claim = self.claims.get(id)?;
        if claim.attempt != attempt || !accepts_completion(&claim.state, completion) {
            return None;
        }
        let id = id.clone();
        let change = match completion {
            Completion::Answered(answer) => {
                ClaimChange::Answered { id, attempt, answer: self.bound_answer(retention, answer) }
            }
            Completion::NotRun(_) => ClaimChange::Released { id, attempt },
            Completion::Unknown(code) => ClaimChange::OutcomeUnknown { id, attempt, code: *code },
        };
        Some(ClaimRecord { at: now.max(self.clock), change })
    }

    /// The record that expires claims and keys past their retention at log time `now`, or `None` if
    /// no claim is due.
    pub fn expire(&self, retention: &Retention, now: Time) -> Option<ClaimRecord> {
        let now = now.max(self.clock);
        let records_before = now - retention.record_time;
        let (oldest, _) = self.by_change.front()?;
        let due = *oldest < records_before;
        let change = ClaimChange::Expired { records_before, keys_before: now - retention.key_time };
        due.then_some(ClaimRecord { at: now, change })
    }

    /// Applies a committed record. The outcome is the same on every replica.
    pub fn apply(&mut self, record: &ClaimRecord) -> ClaimOutcome {
        self.clock = self.clock.max(record.at);
        match &record.change {
            ClaimChange::Claimed { id, digest, target, attempt, expires } => {
                self.apply_claim(id, *digest, target, *attempt, *expires)
            }
            ClaimChange::Answered { id, attempt, answer } => {
                self.set_state(id, *attempt, &ClaimState::Done(answer.clone()))
            }
            ClaimChange::Released { id, attempt } => {
                self.set_state(id, *attempt, &ClaimState::Released)
            }
            ClaimChange::OutcomeUnknown { id, attempt, code } => {
                self.set_state(id, *attempt, &ClaimState::Sealed(*code))
            }
            ClaimChange::IncarnationGone(incarnation) => self.end_incarnation(incarnation),
            ClaimChange::IncarnationLeft(incarnation) => self.release_incarnation(incarnation),
            ClaimChange::Expired { records_before, keys_before } => {
                self.expire_before(*records_before, *keys_before)
            }
        }
    }

    fn is_full(&self, retention: &Retention) -> bool {
        self.claims.len() >= retention.records_max
            || self.expired_keys.len() + self.claims.len() >= retention.fingerprints_max
    }

    fn bound_answer(&self, retention: &Retention, answer: &Answer) -> Answer {
        let bytes = answer.body_bytes();
        if bytes <= retention.answer_bytes && self.answer_bytes + bytes <= retention.total_bytes {
            return answer.clone();
        }
        answer.without_body()
    }

    /// Whether `attempt` may be claimed at `target`, regardless of an existing claim of `id`.
    fn check_claimable(
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
        self.ended_incarnations
            .get(&target.instance)
            .is_some_and(|(number, _)| target.number <= *number)
    }

    fn apply_claim(
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
        if let Err(code) = self.check_claimable(id, target, next) {
            return ClaimOutcome::Refused(code);
        }
        if attempt != next {
            return ClaimOutcome::Refused(Code::Fenced);
        }
        let (changed_at, state) = (self.clock, ClaimState::Open);
        let claim = Claim { digest, attempt, target: target.clone(), expires, state, changed_at };
        self.claims.insert(id.clone(), claim);
        self.open_claims.insert(id.clone());
        self.by_change.push_back((changed_at, id.clone()));
        ClaimOutcome::Claimed { attempt }
    }

    fn set_state(&mut self, id: &ClaimId, attempt: u32, next: &ClaimState) -> ClaimOutcome {
        let Some(claim) = self.claims.get_mut(id) else {
            return ClaimOutcome::Stale;
        };
        if claim.attempt != attempt || !can_move_to(&claim.state, next) {
            return ClaimOutcome::Stale;
        }
        if let ClaimState::Done(answer) = next {
            self.answer_bytes += answer.body_bytes();
        }
        claim.state = next.clone();
        claim.changed_at = self.clock;
        self.open_claims.remove(id);
        self.by_change.push_back((self.clock, id.clone()));
        ClaimOutcome::Changed
    }

    fn end_incarnation(&mut self, incarnation: &Incarnation) -> ClaimOutcome {
        self.record_end(incarnation);
        let targets_ended = |target: &Incarnation| {
            target.instance == incarnation.instance && target.number <= incarnation.number
        };
        ClaimOutcome::Sealed(self.close_claims(targets_ended, &ClaimState::Sealed(Code::Sealed)))
    }

    /// Releases the open claims of an incarnation that has stopped as planned. An earlier
    /// incarnation of the instance may have lost an outcome, so its claims are not released.
    fn release_incarnation(&mut self, incarnation: &Incarnation) -> ClaimOutcome {
        self.record_end(incarnation);
        ClaimOutcome::Released(self.close_claims(|t| t == incarnation, &ClaimState::Released))
    }

    fn record_end(&mut self, incarnation: &Incarnation) {
        let ended = self.ended_incarnations.entry(incarnation.instance.clone()).or_default();
        *ended = (ended.0.max(incarnation.number), self.clock);
    }

    /// Moves the open claims whose target `matches` to the state `next`, and returns their ids.
    fn close_claims(
        &mut self,
        matches: impl Fn(&Incarnation) -> bool,
        next: &ClaimState,
    ) -> Vec<ClaimId> {
        let is_closed = |id: &&ClaimId| self.claims.get(id).is_some_and(|c| matches(&c.target));
        let ids: Vec<_> = self.open_claims.iter().filter(is_closed).cloned().collect();
        for id in &ids {
            let attempt = self.claims.get(id).map_or(0, |c| c.attempt);
            self.set_state(id, attempt, next);
        }
        ids
    }

    fn expire_before(&mut self, records_before: Time, keys_before: Time) -> ClaimOutcome {
        let mut count = 0;
        while self.by_change.front().is_some_and(|(at, _)| *at < records_before) {
            let Some((at, id)) = self.by_change.pop_front() else {
                break;
            };
            if self.claims.get(&id).is_none_or(|c| c.changed_at != at) {
                continue;
            }
            self.expire_claim(&id);
            count += 1;
        }
        self.expired_keys.drop_before(keys_before);
        self.ended_incarnations.retain(|_, (_, at)| *at >= keys_before);
        ClaimOutcome::Expired(count)
    }

    fn expire_claim(&mut self, id: &ClaimId) {
        let Some(claim) = self.claims.remove(id) else {
            return;
        };
        self.open_claims.remove(id);
        if let ClaimState::Done(answer) = claim.state {
            self.answer_bytes -= answer.body_bytes();
        }
        self.expired_keys.insert(self.clock, id.fingerprint());
    }
}

/// Whether `completion` may change a claim in `state`.
const fn accepts_completion(state: &ClaimState, completion: &Completion) -> bool {
    match state {
        ClaimState::Open => true,
        ClaimState::Sealed(_) => matches!(completion, Completion::Answered(_)),
        ClaimState::Released | ClaimState::Done(_) => false,
    }
}

/// Whether a claim in state `from` may move to the state `next`.
const fn can_move_to(from: &ClaimState, next: &ClaimState) -> bool {
    match from {
        ClaimState::Open => !matches!(next, ClaimState::Open),
        ClaimState::Sealed(_) => matches!(next, ClaimState::Done(_)),
        ClaimState::Released | ClaimState::Done(_) => false,
    }
}
