//! Turns that steps of a service take, one at a time.

use {
    crate::id::StepId,
    bronzespool_core::{HashMap, Time},
    std::{sync::Arc, time::Duration},
};

/// How long turns last and how they follow each other.
#[derive(Clone, Copy, Debug)]
pub(super) struct TurnTimes {
    /// Shortest time from the end of a turn to the next one of the service.
    pub(super) interval: Duration,
    /// Longest turn of a step that finds no place.
    pub(super) longest: Duration,
}

/// The latest turn of a service.
#[derive(Clone, Copy, Debug)]
struct Turn {
    /// The step that has it; none once it is over.
    step: Option<StepId>,
    since: Time,
}

/// The latest turn of each service.
#[derive(Clone, Debug, Default)]
pub(super) struct Turns {
    by_service: HashMap<Arc<str>, Turn>,
}

impl Turns {
    /// Whether a step has the turn of a service.
    pub(super) fn has(&self, service: &Arc<str>, step: StepId) -> bool {
        self.by_service.get(service).is_some_and(|t| t.step == Some(step))
    }

    /// Whether a step has had the turn of a service for so long that others come before it.
    pub(super) fn has_passed(
        &self,
        service: &Arc<str>,
        step: StepId,
        times: &TurnTimes,
        now: Time,
    ) -> bool {
        let turn = self.by_service.get(service).filter(|t| t.step == Some(step));
        turn.is_some_and(|t| now.since(t.since) >= times.longest)
    }

    /// Gives the turn of a service to the step that is `next`, if the latest one is over.
    pub(super) fn give(
        &mut self,
        service: &Arc<str>,
        next: StepId,
        waits: impl FnOnce(StepId) -> bool,
        times: &TurnTimes,
        now: Time,
    ) {
        let is_over = |turn: &Turn| match turn.step {
            Some(holder) if waits(holder) => now.since(turn.since) >= times.longest,
            _ => now.since(turn.since) >= times.interval,
        };
        if self.by_service.get(service).is_none_or(is_over) {
            self.by_service.insert(Arc::clone(service), Turn { step: Some(next), since: now });
        }
    }

    /// Notes that a step has started a group, which ends its turn.
    pub(super) fn end(&mut self, service: &Arc<str>, step: StepId, now: Time) {
        if let Some(turn) = self.by_service.get_mut(service)
            && turn.step == Some(step)
        {
            *turn = Turn { step: None, since: now };
        }
    }
}
