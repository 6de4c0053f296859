//! Durable claims of idempotency keys: the replicated part of at-most-once execution.
//!
//! [`Claims`] is a deterministic state machine. The leader asks [`Claims::request`] what holds
//! for a key and, if it is new, proposes the returned [`ClaimRecord`]. Only the result of
//! [`Claims::apply`] for the committed record tells whether the claim was won: two proposals for
//! one key may be in the log at once, and the first one wins.
//!
//! A key moves through these states:
//!
//! | state | reached by | left by |
//! |---|---|---|
//! | open | `Claimed` | `Settled`, `Released`, `Lost`, `Gone` |
//! | released | `Released`: the attempt never ran and never will | `Claimed` with the next attempt |
//! | sealed | `Lost` or `Gone`: the attempt may have run | `Settled`, when the answer turns up late |
//! | done | `Settled` | – |
//!
//! Every state ends by `Expired`. The key is then remembered by its fingerprint and refused, also
//! after a release: if attempts were counted from 1 again, a late release of the first count
//! would free an attempt of the second one that runs.

mod expired_keys;
mod id;
mod record;
mod state;

pub use self::{
    expired_keys::ExpiredKeys,
    id::{ClaimId, Fingerprint, Incarnation},
    record::{Answer, AnswerBody, ClaimChange, ClaimRecord, Completion},
    state::{Claim, ClaimOutcome, ClaimRequest, ClaimState, Claims, Decision, Retention},
};
