//! Decides at the agent which requests start.

use {
    super::{
        attempts::{Attempt, AttemptId, AttemptStatus, AttemptTable},
        slots::{ConnectionSource, Result, Slots},
    },
    crate::claim::{ClaimId, Completion, Incarnation},
    bronzespool_core::{Capacity, Code, Time},
    std::time::Duration,
};

/// Bounds of an [`Admission`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AdmissionLimits {
    /// Longest span from now to an attempt's `expires`. Entries use a shorter one, so that the
    /// drift between two clocks doesn't matter.
    pub expiry_max: Duration,
    /// Time for which an outcome is kept after copies of its attempt may arrive.
    pub outcome_time: Duration,
    /// Attempts remembered at most; above the number of slots.
    pub attempts_max: usize,
    /// Answers held in all in bytes.
    pub answer_bytes: usize,
}

impl Default for AdmissionLimits {
    fn default() -> Self {
        Self {
            expiry_max: Duration::from_secs(600),
            outcome_time: Duration::from_secs(3_600),
            attempts_max: 20_000,
            answer_bytes: 16 << 20,
        }
    }
}

/// What happens to a copy of a protected request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StartDecision {
    /// It is started now, here, for the only time.
    Run(ConnectionSource),
    /// It is not started. No other copy of the attempt will be either, unless the code is
    /// [`Code::IncarnationGone`] or [`Code::MessageCorrupt`], which hold for this copy alone.
    Refused(Code),
    /// Another copy came first.
    Duplicate(AttemptStatus),
}

/// The check before one endpoint, in one incarnation of its agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Admission {
    incarnation: Incarnation,
    limits: AdmissionLimits,
    slots: Slots,
    attempts: AttemptTable,
    session_end: Time,
    draining: bool,
}

impl Admission {
    /// An admission without a session: it refuses all work until [`Admission::set_session_end`].
    pub fn new(incarnation: Incarnation, capacity: &Capacity, limits: AdmissionLimits) -> Self {
        let slots = Slots::new(capacity);
        let attempts = AttemptTable::default();
        Self { incarnation, limits, slots, attempts, session_end: Time::ZERO, draining: false }
    }

    /// The incarnation that this agent is.
    pub const fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Slots and connections in use.
    pub const fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Attempts remembered.
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Bytes of answers held.
    pub const fn answer_bytes(&self) -> usize {
        self.attempts.answer_bytes()
    }

    /// The session with control is valid until `until` on the own clock.
    pub const fn set_session_end(&mut self, until: Time) {
        self.session_end = until;
    }

    /// Refuses new work from now on; what runs goes on.
    pub const fn drain(&mut self) {
        self.draining = true;
    }

    /// Takes new work again.
    pub const fn resume(&mut self) {
        self.draining = false;
    }

    /// Whether new work is refused.
    pub const fn draining(&self) -> bool {
        self.draining
    }

    /// Whether nothing runs.
    pub const fn idle(&self) -> bool {
        self.slots.running() == 0
    }

    /// Decides on a copy of a protected request. A refused attempt is fenced.
    pub fn start(&mut self, now: Time, attempt: &Attempt) -> StartDecision {
        let id = &attempt.id;
        if id.target != self.incarnation {
            return StartDecision::Refused(Code::IncarnationGone);
        }
        if self.invalid(now, id) {
            return StartDecision::Refused(Code::MessageCorrupt);
        }
        self.attempts.expire(now);
        match self.attempts.status(now, id) {
            AttemptStatus::Unseen => {}
            AttemptStatus::Fenced if id.expires <= now => {
                return StartDecision::Refused(Code::DeadlinePassed);
            }
            AttemptStatus::Fenced => return StartDecision::Refused(Code::Fenced),
            status => return StartDecision::Duplicate(status),
        }
        match self.check(now, attempt) {
            Ok(source) => {
                self.attempts.start(id);
                StartDecision::Run(source)
            }
            Err(code) => {
                self.fence_unseen(id);
                StartDecision::Refused(code)
            }
        }
    }

    /// What is known of an attempt.
    pub fn status(&self, now: Time, id: &AttemptId) -> AttemptStatus {
        if id.target != self.incarnation || self.invalid(now, id) {
            return AttemptStatus::Forgotten;
        }
        self.attempts.status(now, id)
    }

    /// Makes sure that an attempt which has not started never will. Never returns
    /// [`AttemptStatus::Unseen`].
    pub fn fence(&mut self, now: Time, id: &AttemptId) -> AttemptStatus {
        self.attempts.expire(now);
        let status = self.status(now, id);
        if status != AttemptStatus::Unseen {
            return status;
        }
        self.fence_unseen(id);
        AttemptStatus::Fenced
    }

    /// A started attempt has ended; its slots are free. `reuse` says that the endpoint's
    /// connection stays open. Returns whether it was running.
    pub fn finish(
        &mut self,
        now: Time,
        id: &ClaimId,
        attempt: u32,
        slots: u32,
        reuse: bool,
        completion: &Completion,
    ) -> bool {
        if !self.attempts.finish(now, id, attempt, completion, self.limits.outcome_time) {
            return false;
        }
        self.slots.release(slots, reuse);
        while self.attempts.answer_bytes() > self.limits.answer_bytes && self.attempts.shrink() {}
        true
    }

    /// Admits an unprotected request, for which only slots and connections count.
    pub fn admit_unprotected(&mut self, now: Time, slots: u32) -> Result<ConnectionSource> {
        self.open(now)?;
        self.slots.acquire(slots)
    }

    /// An unprotected request has ended.
    pub const fn finish_unprotected(&mut self, slots: u32, reuse: bool) {
        self.slots.release(slots, reuse);
    }

    /// An idle connection to the endpoint was closed.
    pub const fn close_idle(&mut self) {
        self.slots.close_idle();
    }

    /// Whether the attempt expires later than any attempt claimed so far can.
    fn invalid(&self, now: Time, id: &AttemptId) -> bool {
        id.expires > now + self.limits.expiry_max
    }

    fn open(&self, now: Time) -> Result<()> {
        if self.draining {
            return Err(Code::Draining);
        }
        if now >= self.session_end {
            return Err(Code::NoSession);
        }
        Ok(())
    }

    fn check(&mut self, now: Time, attempt: &Attempt) -> Result<ConnectionSource> {
        self.open(now)?;
        if self.attempts.conflicts(&attempt.id) {
            return Err(Code::Internal);
        }
        if !self.make_room() || attempt.id.expires <= self.attempts.floor() {
            return Err(Code::Overloaded);
        }
        self.slots.acquire(attempt.slots)
    }

    /// Stores a fence, unless an earlier attempt that may run holds the entry of the claim: that
    /// one refuses the later attempt for as long as it is remembered.
    fn fence_unseen(&mut self, id: &AttemptId) {
        if self.attempts.conflicts(id) {
            return;
        }
        self.make_room();
        self.attempts.fence(id);
    }

    fn make_room(&mut self) -> bool {
        while self.attempts.len() >= self.limits.attempts_max {
            if !self.attempts.evict() {
                return false;
            }
        }
        true
    }
}
