//! Durable claims of idempotency keys: the replicated part of at-most-once execution.
//!
//! [`Claims`] is a deterministic state machine. The leader calls [`Claims::decide`] for a request
//! and, if its key is new, proposes the returned [`ClaimRecord`]. Only the outcome of
//! [`Claims::apply`] for the committed record tells whether the request has claimed the key: two
//! proposals for one key may be in the log at the same time, and the first one wins.
//!
//! A claim has these states:
//!
//! | state | entered by | left by |
//! |---|---|---|
//! | open | `Claimed` | `Answered`, `Released`, `OutcomeUnknown`, `IncarnationGone` |
//! | released | `Released`: the attempt never ran and never will | `Claimed`, the next attempt |
//! | sealed | `OutcomeUnknown`, `IncarnationGone`: the attempt may have run | a late `Answered` |
//! | done | `Answered` | – |
//!
//! `Expired` ends every state. From then on only the fingerprint of the key is kept, and the key
//! is refused, also if the claim was released. A new claim of the key would count its attempts
//! from 1 again, and a late `Released` for attempt 1 of the expired claim could release attempt 1
//! of the new claim while it runs.

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
