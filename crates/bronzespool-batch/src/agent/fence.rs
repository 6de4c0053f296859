//! Fencing tokens of the calls to a worker.

use {crate::id::WorkerIncarnation, bronzespool_core::Time};

/// Number of the lower bits of a token, which hold the leader's term.
const TERM_BITS: u32 = 32;
/// Most restarts that a token counts. Tokens stay below `2^53`, up to which all whole numbers are
/// exact in JSON.
const RESTARTS_MAX: u64 = (1 << 20) - 1;

/// The fencing tokens of one process of the agent.
///
/// A worker that starts again under its name has seen no token, and a late call for its former
/// incarnation names it too. Above the leader's term, a token therefore counts the restarts under
/// one name that the process knows of: from the first call for the next incarnation on, the worker
/// rejects those for the former one. The token of a worker that has not started again is the term.
///
/// The next process of the agent begins its count anew, so the worker may reject its calls. That
/// looks as if another leader had given orders. But if orders of the same term answer a poll that
/// was sent after the rejection, there was no later leader then, and the process counts one more
/// restart.
#[derive(Clone, Debug, Default)]
pub(super) struct Fence {
    /// Highest term of a leader whose orders were taken.
    term: u64,
    restarts: u64,
    /// The incarnation that checked in or answered last.
    latest: Option<WorkerIncarnation>,
    /// Whether the incarnation before the latest one had the same name.
    follows_former: bool,
    /// When the worker rejected a call with the current token.
    rejected_at: Option<Time>,
}

impl Fence {
    /// Returns the token for calls by the orders of a term.
    pub(super) fn token(&self, term: u64) -> u64 {
        let limit = (1 << TERM_BITS) - 1;
        (self.restarts.min(RESTARTS_MAX) << TERM_BITS) | term.min(limit)
    }

    /// Returns the token for calls without orders.
    pub(super) fn current_token(&self) -> u64 {
        self.token(self.term)
    }

    /// Notes that a worker incarnation has checked in or answered.
    pub(super) fn note_incarnation(&mut self, incarnation: &WorkerIncarnation) {
        let Some(former) = self.latest.replace(incarnation.clone()) else { return };
        if former != *incarnation {
            self.follows_former = former.worker == incarnation.worker;
            self.restarts += u64::from(self.follows_former);
        }
    }

    /// Whether no other incarnation has checked in or answered since this one.
    pub(super) fn is_latest(&self, incarnation: &WorkerIncarnation) -> bool {
        self.latest.as_ref() == Some(incarnation)
    }

    /// Whether this is the latest incarnation, and this process has seen one of the same name before.
    pub(super) fn is_next(&self, incarnation: &WorkerIncarnation) -> bool {
        self.follows_former && self.is_latest(incarnation)
    }

    /// Notes that the worker has rejected a token. Returns whether it is the current one: a lower
    /// one tells nothing of the current orders.
    pub(super) fn reject(&mut self, now: Time, token: u64) -> bool {
        let is_current = token >= self.current_token();
        if is_current {
            self.rejected_at = Some(now);
        }
        is_current
    }

    /// Whether the worker has rejected the current token, and no orders have come since.
    pub(super) const fn is_rejected(&self) -> bool {
        self.rejected_at.is_some()
    }

    /// Whether orders of a term count, which answer a poll that was sent at `sent`.
    pub(super) fn admit(&mut self, sent: Time, term: u64) -> bool {
        if term < self.term {
            return false;
        }
        if term == self.term
            && let Some(at) = self.rejected_at
        {
            if sent <= at {
                return false;
            }
            self.restarts += 1;
        }
        self.term = term;
        self.rejected_at = None;
        true
    }

    /// Whether orders of this term are the newest and have not been rejected.
    pub(super) const fn is_current(&self, term: u64) -> bool {
        term >= self.term && !self.is_rejected()
    }
}
