//! The agent's check before its endpoint: whether an attempt may start here and now.
//!
//! [`Admission`] is the only path to the endpoint. It starts an attempt at most once, refuses
//! what is fenced, addressed to another incarnation, expired or over the endpoint's slots and
//! connections, and it remembers outcomes for those who ask again.
//!
//! Memory is bounded without weakening the check. Every attempt carries `expires`, a point on
//! the agent's clock that is fixed before the attempt is claimed, so no copy may start after it:
//!
//! - a fence is kept until `expires`; afterwards the time itself refuses every copy;
//! - an outcome is kept for a while after `expires`; when it is dropped, a watermark rises, and
//!   whoever asks about an attempt below the watermark is told [`AttemptStatus::Forgotten`], never
//!   [`AttemptStatus::Fenced`];
//! - when the memory is full, the entry that would end first is dropped early and the watermark
//!   for starts rises to its `expires`.
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
