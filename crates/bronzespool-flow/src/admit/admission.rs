//! Decides at the agent which requests start.

use {
    super::{
        memory::{Attempt, AttemptId, Memory, Status},
        slots::{Lane, Result, Slots},
    },
    crate::claim::{ClaimId, Completion, Incarnation},
    bronzespool_core::{Capacity, Code, Time},
    std::time::Duration,
};

/// Bounds of an [`Admission`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Limits {
    /// Longest span from now to an attempt's `expires`. Entries use a shorter one, so that the
    /// drift between two clocks doesn't matter.
    pub life: Duration,
    /// Time for which an outcome is kept after copies of its attempt may arrive.
    pub hold: Duration,
    /// Attempts remembered at most; above the number of slots.
    pub entries: usize,
    /// Answers held in all in bytes.
    pub bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            life: Duration::from_secs(600),
            hold: Duration::from_secs(3_600),
            entries: 20_000,
            bytes: 16 << 20,
        }
    }
}

/// What happens to a copy of a protected request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Start {
    /// It is started now, here, for the only time.
    Run(Lane),
    /// It is not started. No other copy of the attempt will be either, unless the code is
    /// [`Code::IncarnationGone`] or [`Code::MessageCorrupt`], which hold for this copy alone.
    Refused(Code),
    /// Another copy came first.
    Known(Status),
}

/// The check before one endpoint, in one incarnation of its agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Admission {
    own: Incarnation,
    limits: Limits,
    slots: Slots,
    memory: Memory,
    session: Time,
    draining: bool,
}

impl Admission {
    /// An admission without a session: it refuses all work until [`Admission::session`].
    pub fn new(own: Incarnation, capacity: &Capacity, limits: Limits) -> Self {
        let slots = Slots::new(capacity);
        let memory = Memory::default();
        Self { own, limits, slots, memory, session: Time::ZERO, draining: false }
    }

    /// The incarnation that this agent is.
    pub const fn own(&self) -> &Incarnation {
        &self.own
    }

    /// Slots and connections in use.
    pub const fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Attempts remembered.
    pub fn remembered(&self) -> usize {
        self.memory.len()
    }

    /// Bytes of answers held.
    pub const fn bytes(&self) -> usize {
        self.memory.bytes()
    }

    /// The session with control is valid until `until` on the own clock.
    pub const fn session(&mut self, until: Time) {
        self.session = until;
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
    pub fn start(&mut self, now: Time, attempt: &Attempt) -> Start {
        let name = &attempt.name;
        if name.target != self.own {
            return Start::Refused(Code::IncarnationGone);
        }
        if self.invalid(now, name) {
            return Start::Refused(Code::MessageCorrupt);
        }
        self.memory.expire(now);
        match self.memory.status(now, name) {
            Status::Unseen => {}
            Status::Fenced if name.expires <= now => return Start::Refused(Code::DeadlinePassed),
            Status::Fenced => return Start::Refused(Code::Fenced),
            known => return Start::Known(known),
        }
        match self.check(now, attempt) {
            Ok(lane) => {
                self.memory.start(name);
                Start::Run(lane)
            }
            Err(code) => {
                self.fence_unseen(name);
                Start::Refused(code)
            }
        }
    }

    /// What is known of an attempt.
    pub fn ask(&self, now: Time, name: &AttemptId) -> Status {
        if name.target != self.own || self.invalid(now, name) {
            return Status::Forgotten;
        }
        self.memory.status(now, name)
    }

    /// Makes sure that an attempt which has not started never will. Never returns
    /// [`Status::Unseen`].
    pub fn fence(&mut self, now: Time, name: &AttemptId) -> Status {
        self.memory.expire(now);
        let status = self.ask(now, name);
        if status != Status::Unseen {
            return status;
        }
        self.fence_unseen(name);
        Status::Fenced
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
        if !self.memory.finish(now, id, attempt, completion, self.limits.hold) {
            return false;
        }
        self.slots.give(slots, reuse);
        while self.memory.bytes() > self.limits.bytes && self.memory.shrink() {}
        true
    }

    /// Admits an unprotected request, for which only slots and connections count.
    pub fn enter(&mut self, now: Time, slots: u32) -> Result<Lane> {
        self.open(now)?;
        self.slots.take(slots)
    }

    /// An unprotected request has ended.
    pub const fn leave(&mut self, slots: u32, reuse: bool) {
        self.slots.give(slots, reuse);
    }

    /// An idle connection to the endpoint was closed.
    pub const fn close_idle(&mut self) {
        self.slots.close_idle();
    }

    /// Whether the attempt expires later than any attempt claimed so far can.
    fn invalid(&self, now: Time, name: &AttemptId) -> bool {
        name.expires > now + self.limits.life
    }

    fn open(&self, now: Time) -> Result<()> {
        if self.draining {
            return Err(Code::Draining);
        }
        if now >= self.session {
            return Err(Code::NoSession);
        }
        Ok(())
    }

    fn check(&mut self, now: Time, attempt: &Attempt) -> Result<Lane> {
        self.open(now)?;
        if self.memory.conflicts(&attempt.name) {
            return Err(Code::Internal);
        }
        if !self.make_room() || attempt.name.expires <= self.memory.floor() {
            return Err(Code::Overloaded);
        }
        self.slots.take(attempt.slots)
    }

    /// Stores a fence, unless an earlier attempt that may run holds the entry of the claim: that
    /// one refuses the later attempt for as long as it is remembered.
    fn fence_unseen(&mut self, name: &AttemptId) {
        if self.memory.conflicts(name) {
            return;
        }
        self.make_room();
        self.memory.fence(name);
    }

    fn make_room(&mut self) -> bool {
        while self.memory.len() >= self.limits.entries {
            if !self.memory.evict() {
                return false;
            }
        }
        true
    }
}
