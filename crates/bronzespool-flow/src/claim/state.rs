//! The replicated state machine of claims.

use {
    super::{Answer, Change, ClaimId, Completion, Incarnation, Record, Used},
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
pub struct Horizon {
    /// Time for which a claim's record and answer are kept after its last change.
    pub keep: Duration,
    /// Time for which a key is refused after its record has expired.
    pub used: Duration,
    /// Records held at most; further keys are refused as overload.
    pub records: usize,
    /// Fingerprints held at most; further keys are refused as overload.
    pub prints: usize,
    /// Largest body kept with a claim in bytes.
    pub answer: usize,
    /// Bodies kept in all in bytes.
    pub answers: usize,
}

impl Default for Horizon {
    fn default() -> Self {
        Self {
            keep: DAY,
            used: 30 * DAY,
            records: 100_000,
            prints: 2_000_000,
            answer: 16 << 10,
            answers: 64 << 20,
        }
    }
}

/// A wish to claim a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
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
pub enum State {
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
pub struct Existing {
    /// Digest of the request's body.
    pub digest: Digest,
    /// Latest attempt.
    pub attempt: u32,
    /// Incarnation of the latest attempt.
    pub target: Incarnation,
    /// End of the time in which the target accepts copies, on the target's clock.
    pub expires: Time,
    /// Where it stands.
    pub state: State,
    changed: Time,
}

/// What the leader does with a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Decision {
    /// Commit this record; the key is claimed only if [`Claims::apply`] says so.
    New(Record),
    /// The key is claimed; nothing is sent, only the target asked or fenced.
    Existing(Existing),
    /// Refused; nothing runs under this request.
    Refused(Code),
}

/// Effect of a committed record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Applied {
    /// The record won the key: its proposer, and no one else, may send the attempt.
    Claimed {
        /// Attempt to send.
        attempt: u32,
    },
    /// The record came second: the key belongs to this claim.
    Existing(Existing),
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
    claims: BTreeMap<ClaimId, Existing>,
    open: BTreeSet<ClaimId>,
    order: VecDeque<(Time, ClaimId)>,
    gone: BTreeMap<Instance, (u64, Time)>,
    used: Used,
    bytes: usize,
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
    pub const fn used(&self) -> usize {
        self.used.len()
    }

    /// Bytes of all answers held.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// The claim of `id`, if its record is held.
    pub fn get(&self, id: &ClaimId) -> Option<&Existing> {
        self.claims.get(id)
    }

    /// Open claims of `target`, in the order of their ids.
    pub fn open_at<'a>(
        &'a self,
        target: &'a Incarnation,
    ) -> impl Iterator<Item = (&'a ClaimId, &'a Existing)> {
        self.open.iter().filter_map(move |id| {
            let claim = self.claims.get(id)?;
            (claim.target == *target).then_some((id, claim))
        })
    }

    /// Decides on `request` at log time `now`.
    pub fn request(&self, horizon: &Horizon, now: Time, request: &Request) -> Decision {
        let attempt = match self.claims.get(&request.id) {
            Some(claim) if claim.digest != request.digest => {
                return Decision::Refused(Code::KeyReused);
            }
            Some(claim) if claim.state != State::Released => {
                return Decision::Existing(claim.clone());
            }
            Some(claim) => claim.attempt + 1,
            None => 1,
        };
        if let Err(code) = self.admits(&request.id, &request.target, attempt) {
            return Decision::Refused(code);
        }
        if attempt == 1 && self.full(horizon) {
            return Decision::Refused(Code::Overloaded);
        }
        Decision::New(Record {
            at: now.max(self.clock),
            change: Change::Claimed {
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
        horizon: &Horizon,
        now: Time,
        id: &ClaimId,
        attempt: u32,
        completion: &Completion,
    ) -> Option<Record> {
        let claim = self.claims.get(id)?;
        if claim.attempt != attempt || !accepts(&claim.state, completion) {
            return None;
        }
        let id = id.clone();
        let change = match completion {
            Completion::Answered(answer) => {
                Change::Settled { id, attempt, answer: self.bounded(horizon, answer) }
            }
            Completion::NotRun(_) => Change::Released { id, attempt },
            Completion::Lost(code) => Change::Lost { id, attempt, code: *code },
        };
        Some(Record { at: now.max(self.clock), change })
    }

    /// The record that expires what is past `horizon` at log time `now`, if there is any.
    pub fn expire(&self, horizon: &Horizon, now: Time) -> Option<Record> {
        let now = now.max(self.clock);
        let records = now - horizon.keep;
        let (oldest, _) = self.order.front()?;
        let due = *oldest < records;
        let change = Change::Expired { records, used: now - horizon.used };
        due.then_some(Record { at: now, change })
    }

    /// Applies a committed record. The result is the same on every replica.
    pub fn apply(&mut self, record: &Record) -> Applied {
        self.clock = self.clock.max(record.at);
        match &record.change {
            Change::Claimed { id, digest, target, attempt, expires } => {
                self.claim(id, *digest, target, *attempt, *expires)
            }
            Change::Settled { id, attempt, answer } => {
                self.change(id, *attempt, &State::Done(answer.clone()))
            }
            Change::Released { id, attempt } => self.change(id, *attempt, &State::Released),
            Change::Lost { id, attempt, code } => self.change(id, *attempt, &State::Sealed(*code)),
            Change::Gone(incarnation) => self.seal(incarnation),
            Change::Expired { records, used } => self.drop_before(*records, *used),
        }
    }

    fn full(&self, horizon: &Horizon) -> bool {
        self.claims.len() >= horizon.records
            || self.used.len() + self.claims.len() >= horizon.prints
    }

    fn bounded(&self, horizon: &Horizon, answer: &Answer) -> Answer {
        let held = answer.held();
        if held <= horizon.answer && self.bytes + held <= horizon.answers {
            return answer.clone();
        }
        answer.shrunk()
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
        if attempt == 1 && self.used.contains(&id.fingerprint()) {
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
    ) -> Applied {
        let next = match self.claims.get(id) {
            Some(claim) if claim.digest != digest => return Applied::Refused(Code::KeyReused),
            Some(claim) if claim.state != State::Released => {
                return Applied::Existing(claim.clone());
            }
            Some(claim) => claim.attempt + 1,
            None => 1,
        };
        if let Err(code) = self.admits(id, target, next) {
            return Applied::Refused(code);
        }
        if attempt != next {
            return Applied::Refused(Code::Fenced);
        }
        let (changed, state) = (self.clock, State::Open);
        let claim = Existing { digest, attempt, target: target.clone(), expires, state, changed };
        self.claims.insert(id.clone(), claim);
        self.open.insert(id.clone());
        self.order.push_back((changed, id.clone()));
        Applied::Claimed { attempt }
    }

    fn change(&mut self, id: &ClaimId, attempt: u32, next: &State) -> Applied {
        let Some(claim) = self.claims.get_mut(id) else {
            return Applied::Stale;
        };
        if claim.attempt != attempt || !follows(&claim.state, next) {
            return Applied::Stale;
        }
        if let State::Done(answer) = next {
            self.bytes += answer.held();
        }
        claim.state = next.clone();
        claim.changed = self.clock;
        self.open.remove(id);
        self.order.push_back((self.clock, id.clone()));
        Applied::Changed
    }

    fn seal(&mut self, incarnation: &Incarnation) -> Applied {
        let gone = self.gone.entry(incarnation.instance.clone()).or_default();
        *gone = (gone.0.max(incarnation.number), self.clock);
        let ended = |c: &Existing| {
            c.target.instance == incarnation.instance && c.target.number <= incarnation.number
        };
        let ids: Vec<_> =
            self.open.iter().filter(|id| self.claims.get(id).is_some_and(ended)).cloned().collect();
        for id in &ids {
            let attempt = self.claims.get(id).map_or(0, |c| c.attempt);
            self.change(id, attempt, &State::Sealed(Code::Sealed));
        }
        Applied::Sealed(ids)
    }

    fn drop_before(&mut self, records: Time, used: Time) -> Applied {
        let mut count = 0;
        while self.order.front().is_some_and(|(at, _)| *at < records) {
            let Some((at, id)) = self.order.pop_front() else {
                break;
            };
            if self.claims.get(&id).is_none_or(|c| c.changed != at) {
                continue;
            }
            self.drop_record(&id);
            count += 1;
        }
        self.used.forget(used);
        self.gone.retain(|_, (_, at)| *at >= used);
        Applied::Expired(count)
    }

    fn drop_record(&mut self, id: &ClaimId) {
        let Some(claim) = self.claims.remove(id) else {
            return;
        };
        self.open.remove(id);
        if let State::Done(answer) = claim.state {
            self.bytes -= answer.held();
        }
        self.used.insert(self.clock, id.fingerprint());
    }
}

/// Whether `completion` may still change a claim in `state`.
const fn accepts(state: &State, completion: &Completion) -> bool {
    match state {
        State::Open => true,
        State::Sealed(_) => matches!(completion, Completion::Answered(_)),
        State::Released | State::Done(_) => false,
    }
}

/// Whether a claim in state `from` may move to `next`.
const fn follows(from: &State, next: &State) -> bool {
    match from {
        State::Open => !matches!(next, State::Open),
        State::Sealed(_) => matches!(next, State::Done(_)),
        State::Released | State::Done(_) => false,
    }
}
