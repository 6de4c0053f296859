//! Decides which requests start at the agent's endpoint.

use {
    super::{
        attempts::{Attempt, AttemptId, AttemptStatus, AttemptTable},
        slots::{ConnectionSource, Result, Slots},
    },
    crate::claim::{ClaimId, Completion, Incarnation},
    bronzespool_core::{Capacity, Code, Time},
    std::time::Duration,
};

/// Limits of an [`Admission`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AdmissionLimits {
    /// Longest time from now to the `expires` of an attempt. Entries use a shorter time, so that
    /// the drift between two clocks does not matter.
    pub expiry_max: Duration,
    /// Time for which an outcome is kept after the last copy of its attempt may arrive.
    pub outcome_time: Duration,
    /// Maximum number of attempts in memory; must be above the number of slots.
    pub attempts_max: usize,
    /// Maximum size of all answers in memory in bytes.
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

/// Decision on a copy of a protected request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StartDecision {
    /// The attempt starts here and now; no other copy of it will start.
    Run(ConnectionSource),
    /// The attempt does not start, and no other copy of it will. The exceptions are
    /// [`Code::IncarnationGone`] and [`Code::MessageCorrupt`], which apply to this copy alone.
    Refused(Code),
    /// Another copy of the attempt came first; this is the attempt's status.
    Duplicate(AttemptStatus),
}

/// Admission to one endpoint, by one incarnation of its agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Admission {
    incarnation: Incarnation,
    limits: AdmissionLimits,
    slots: Slots,
    attempts: AttemptTable,
    session_end: Time,
    draining: bool,
    center_drained: bool,
}

impl Admission {
    /// An admission without a session: it refuses all work until [`Admission::set_session_end`] is
    /// called.
    pub fn new(incarnation: Incarnation, capacity: &Capacity, limits: AdmissionLimits) -> Self {
        let slots = Slots::new(capacity);
        let attempts = AttemptTable::default();
        Self {
            incarnation,
            limits,
            slots,
            attempts,
            session_end: Time::ZERO,
            draining: false,
            center_drained: false,
        }
    }

    /// Incarnation of this agent.
    pub const fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Slots and connections in use.
    pub const fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Number of attempts in memory.
    pub fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Size of all answers in memory in bytes.
    pub const fn answer_bytes(&self) -> usize {
        self.attempts.answer_bytes()
    }

    /// Sets the end of the session with control, by the local clock.
    pub const fn set_session_end(&mut self, until: Time) {
        self.session_end = until;
    }

    /// Refuses new work from now on. Running requests continue.
    pub const fn drain(&mut self) {
        self.draining = true;
    }

    /// Accepts new work again.
    pub const fn resume(&mut self) {
        self.draining = false;
    }

    /// Whether new work is refused.
    pub const fn draining(&self) -> bool {
        self.draining
    }

    /// Sets whether the data centre of the endpoint is drained. Independent of
    /// [`Admission::drain`]; each of them alone refuses new work.
    pub const fn set_center_drained(&mut self, drained: bool) {
        self.center_drained = drained;
    }

    /// Whether no request is running.
    pub const fn idle(&self) -> bool {
        self.slots.running() == 0
    }

    /// Decides whether a copy of a protected request starts. A refused attempt is fenced.
    pub fn start(&mut self, now: Time, attempt: &Attempt) -> StartDecision {
        let id = &attempt.id;
        if id.target != self.incarnation {
            return StartDecision::Refused(Code::IncarnationGone);
        }
        if self.expires_too_late(now, id) {
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
        match self.try_start(now, attempt) {
            Ok(source) => {
                self.attempts.start(id);
                StartDecision::Run(source)
            }
            Err(code) => {
                self.store_fence(id);
                StartDecision::Refused(code)
            }
        }
    }

    /// Status of an attempt.
    pub fn status(&self, now: Time, id: &AttemptId) -> AttemptStatus {
        if id.target != self.incarnation || self.expires_too_late(now, id) {
            return AttemptStatus::Forgotten;
        }
        self.attempts.status(now, id)
    }

    /// Fences an attempt: if it has not started, it never will. Never returns
    /// [`AttemptStatus::Unseen`].
    pub fn fence(&mut self, now: Time, id: &AttemptId) -> AttemptStatus {
        self.attempts.expire(now);
        let status = self.status(now, id);
        if status != AttemptStatus::Unseen {
            return status;
        }
        self.store_fence(id);
        AttemptStatus::Fenced
    }

    /// Records the end of a started attempt and releases its slots. `reuse` says that the
    /// connection to the endpoint stays open. Returns whether the attempt was running.
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
        while self.attempts.answer_bytes() > self.limits.answer_bytes
            && self.attempts.drop_oldest_body()
        {}
        true
    }

    /// Admits an unprotected request. It is not recorded as an attempt: only the session,
    /// draining, the slots and the connections are checked.
    pub fn admit_unprotected(&mut self, now: Time, slots: u32) -> Result<ConnectionSource> {
        self.check_open(now)?;
        self.slots.acquire(slots)
    }

    /// Records the end of an unprotected request.
    pub const fn finish_unprotected(&mut self, slots: u32, reuse: bool) {
        self.slots.release(slots, reuse);
    }

    /// Records that an idle connection to the endpoint was closed.
    pub const fn close_idle(&mut self) {
        self.slots.close_idle();
    }

    /// Whether `expires` is further ahead than the limit allows for any attempt claimed so far.
    fn expires_too_late(&self, now: Time, id: &AttemptId) -> bool {
        id.expires > now + self.limits.expiry_max
    }

    fn check_open(&self, now: Time) -> Result<()> {
        if self.draining {
            return Err(Code::Draining);
        }
        if self.center_drained {
            return Err(Code::CenterDrained);
        }
        if now >= self.session_end {
            return Err(Code::NoSession);
        }
        Ok(())
    }

    fn try_start(&mut self, now: Time, attempt: &Attempt) -> Result<ConnectionSource> {
        self.check_open(now)?;
        if self.attempts.conflicts(&attempt.id) {
            return Err(Code::Internal);
        }
        if !self.make_room() || attempt.id.expires <= self.attempts.start_watermark() {
            return Err(Code::Overloaded);
        }
        self.slots.acquire(attempt.slots)
    }

    /// Stores a fence, unless an earlier attempt that may run holds the entry of the claim. In that
    /// case the later attempt is refused for as long as this entry exists.
    fn store_fence(&mut self, id: &AttemptId) {
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
