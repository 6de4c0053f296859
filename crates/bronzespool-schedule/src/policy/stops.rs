//! When the leases of a stopped attempt have ended.
//!
//! The deadline in the record of a stop counts from the decision. Until the record is applied, hubs
//! renew sessions from the state before it, and a hub whose log lags does so for longer. The planner
//! therefore counts again from the time at which it first saw the stop applied, and waits until
//! every session has the stop or has ended. The same holds for the longer lease of an attempt that
//! was made borrowed. A planner without this memory, as that of a new leader,
//! counts from its own first decision.

use {
    crate::{
        job::{Attempt, JobNumber, JobState, PendingStop},
        settings::PolicySettings,
        state::SchedulerState,
    },
    bronzespool_core::{HashMap, Time},
    std::time::Duration,
};

/// Interval at which the sessions are checked for a stop that they have not reached.
const REACH_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How far the agents' sessions have followed the log. The default is for states that agents follow
/// at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Delivery {
    /// Log index of the state that is decided on.
    pub applied: u64,
    /// Log index that every open session has reached.
    pub reached: u64,
    /// Longest time for which a borrowed member runs after its session has reached the stop or has
    /// ended.
    pub settle_time: Duration,
}

/// A change of an attempt that was seen applied.
#[derive(Clone, Copy, Debug)]
struct SeenChange {
    attempt: u32,
    /// Time at which it was first seen.
    at: Time,
    /// Log index of the state in which it was first seen.
    index: u64,
    /// Time at which it was first known that every session has the change or has ended.
    reached: Option<Time>,
}

type SeenChanges = HashMap<JobNumber, SeenChange>;

/// The stops in progress and the attempts that were made borrowed, as one planner has seen them.
#[derive(Clone, Debug, Default)]
pub(super) struct Stops {
    delivery: Delivery,
    /// Time of the last decision.
    checked: Time,
    stops: SeenChanges,
    demotions: SeenChanges,
}

impl Stops {
    pub(super) const fn set_delivery(&mut self, delivery: Delivery) {
        self.delivery = delivery;
    }

    /// Notes the changes that are new in the state and those that all sessions have reached;
    /// forgets the attempts that have ended.
    pub(super) fn observe(&mut self, state: &SchedulerState, now: Time) {
        self.checked = now;
        self.stops = self.seen(&self.stops, state.stopping(), now);
        self.demotions = self.seen(&self.demotions, state.demoted_attempts(), now);
    }

    fn seen<'a>(
        &self,
        before: &SeenChanges,
        attempts: impl Iterator<Item = (&'a JobState, &'a Attempt)>,
        now: Time,
    ) -> SeenChanges {
        let Delivery { applied, reached, .. } = self.delivery;
        let changes = attempts.map(|(job, attempt)| {
            let known = before.get(&job.id).filter(|c| c.attempt == attempt.number).copied();
            let new =
                SeenChange { attempt: attempt.number, at: now, index: applied, reached: None };
            let mut change = known.unwrap_or(new);
            if change.reached.is_none() && reached >= change.index {
                change.reached = Some(now);
            }
            (job.id, change)
        });
        changes.collect()
    }

    /// Time at which the last lease of a stopped attempt has ended; `None` until all sessions have
    /// reached the stop.
    pub(super) fn leases_end(
        &self,
        settings: &PolicySettings,
        job: &JobState,
        attempt: &Attempt,
        stop: PendingStop,
    ) -> Option<Time> {
        let Some(seen) = self.stops.get(&job.id).filter(|_| attempt.started.is_some()) else {
            return Some(stop.deadline);
        };
        let mut end = stop.deadline.max(self.lease_end(settings, seen, attempt.lease)?);
        if let Some(demotion) = self.demotions.get(&job.id) {
            end = end.max(self.lease_end(settings, demotion, settings.guaranteed_lease)?);
        }
        Some(end)
    }

    /// End of the last lease of this duration that was granted before a change; `None` until all
    /// sessions have reached the change.
    fn lease_end(
        &self,
        settings: &PolicySettings,
        change: &SeenChange,
        lease: Duration,
    ) -> Option<Time> {
        let grace = lease.saturating_sub(settings.borrowed_lease);
        let settled = change.reached? + self.delivery.settle_time + grace;
        Some(settled.max(change.at + lease) + settings.clock_error_max)
    }

    /// Time at which a job with the timer `due` is to be looked at.
    pub(super) fn next_look(&self, state: &SchedulerState, job: &JobState, due: Time) -> Time {
        let Some((attempt, stop)) = job.attempt().and_then(|a| Some((a, a.stop?))) else {
            return due;
        };
        if due != stop.deadline {
            return due;
        }
        let checked = self.checked + REACH_CHECK_INTERVAL;
        self.leases_end(state.settings(), job, attempt, stop).unwrap_or(due.max(checked))
    }
}
