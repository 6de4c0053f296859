//! Admission at the agent: decides whether an attempt may start at the agent's endpoint.
//!
//! [`Admission`] is the only path to the endpoint. It starts an attempt at most once. It refuses
//! attempts that are fenced, addressed to another incarnation, expired, or beyond the slots and
//! connections of the endpoint, and it keeps outcomes for callers that ask again.
//!
//! The memory for attempts is bounded without weakening the check. Every attempt carries
//! `expires`, a time on the agent's clock that is fixed before the attempt is claimed. No copy
//! may start after it:
//!
//! - a fence is kept until `expires`; after that, every copy is refused because it has expired;
//! - an outcome is kept for some time after `expires`; when it is dropped, a watermark rises, and
//!   the status of an attempt below the watermark is [`AttemptStatus::Forgotten`], never
//!   [`AttemptStatus::Fenced`];
//! - when the memory is full, the entry that would be dropped next is dropped early, and the
//!   watermark for starts rises to its `expires`.
//!
//! A caller of the agent computes `expires` with [`PeerClock`].

mod admission;
mod attempts;
mod clock;
mod slots;

pub use self::{
    admission::{Admission, AdmissionLimits, StartDecision},
    attempts::{Attempt, AttemptId, AttemptStatus},
    clock::PeerClock,
    slots::{ConnectionSource, Slots},
};
