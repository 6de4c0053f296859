//! Permits of the external advice service, which names the workers that may run a step.

use {
    crate::id::{StepId, WorkerIncarnation},
    bronzespool_core::{HashMap, Time},
    std::{sync::Arc, time::Duration},
};

/// Time until a start order reaches its worker; a permit that expires sooner is not used.
pub(super) const ORDER_DELAY: Duration = Duration::from_millis(400);

/// Time that is subtracted from the validity of a permit, as the validity begins before the answer
/// is read.
pub(super) const PERMIT_MARGIN: Duration = Duration::from_millis(100);

/// Returns the time for which a permit may be used that is valid for `validity`. It counts from the
/// question on, which was `asked` this long ago, as the service may have issued the permit at once. Where
/// nothing would be left, it counts from the answer on: the permit is not used at all otherwise.
pub fn usable_time(validity: Duration, asked: Duration) -> Duration {
    let left = validity.saturating_sub(asked + PERMIT_MARGIN);
    if left > ORDER_DELAY { left } else { validity.saturating_sub(PERMIT_MARGIN) }
}

/// A permit for the tasks of a step on one worker incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Permit {
    value: Arc<str>,
    /// When it expires.
    until: Time,
}

/// The permits. This state is not replicated: each new leader starts without it.
#[derive(Clone, Debug, Default)]
pub struct Permits {
    /// Shared with the views of the cluster, of which each plan has its own.
    permits: Arc<HashMap<(StepId, WorkerIncarnation), Permit>>,
}

impl Permits {
    /// Records permits for a step, which expire at `until`.
    pub fn record(
        &mut self,
        step: StepId,
        until: Time,
        permits: impl IntoIterator<Item = (WorkerIncarnation, Arc<str>)>,
    ) {
        let known = Arc::make_mut(&mut self.permits);
        for (incarnation, value) in permits {
            known.insert((step, incarnation), Permit { value, until });
        }
    }

    /// Removes a permit that the worker has refused.
    pub fn revoke(&mut self, step: StepId, incarnation: &WorkerIncarnation) {
        Arc::make_mut(&mut self.permits).remove(&(step, incarnation.clone()));
    }

    /// Removes the permits that have expired.
    pub fn expire(&mut self, now: Time) {
        Arc::make_mut(&mut self.permits).retain(|_, permit| now < permit.until);
    }

    /// Returns the permit for a step on a worker if it stays valid for the time that an order
    /// takes.
    pub fn get(
        &self,
        step: StepId,
        incarnation: &WorkerIncarnation,
        now: Time,
    ) -> Option<&Arc<str>> {
        let permit = self.permits.get(&(step, incarnation.clone()))?;
        (now + ORDER_DELAY < permit.until).then_some(&permit.value)
    }
}
