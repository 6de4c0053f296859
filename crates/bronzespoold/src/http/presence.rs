//! Whether the caller of a request still waits for the answer.
//!
//! A process that was frozen reads requests whose callers have closed their connections since. Most are
//! carried out nevertheless; a request that could undo a later one is checked first.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Tells whether the caller of a request has closed its connection. It is an extension of each request
/// that a server hands to its handler.
#[derive(Clone, Debug, Default)]
pub struct CallerPresence {
    gone: Arc<AtomicBool>,
}

impl CallerPresence {
    /// Whether the caller has closed its connection, or was answered.
    pub fn is_gone(&self) -> bool {
        self.gone.load(Ordering::Relaxed)
    }

    /// Returns a guard whose drop tells that the caller is gone.
    pub(super) fn guard(&self) -> PresenceGuard {
        PresenceGuard { gone: Arc::clone(&self.gone) }
    }
}

/// Held for as long as the caller waits.
pub(super) struct PresenceGuard {
    gone: Arc<AtomicBool>,
}

impl Drop for PresenceGuard {
    fn drop(&mut self) {
        self.gone.store(true, Ordering::Relaxed);
    }
}
