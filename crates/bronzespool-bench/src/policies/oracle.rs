//! Backfill with knowledge of the true run times.

use {
    crate::{
        decisions::{
            Action, Cluster, Fit, FreeCapacity, JobId, Policy, PolicyEvent, RESTART_SETUP, Slot,
        },
        policies::baseline_state::{BaselineState, RunningJob, UnplacedKinds},
    },
    bronzespool_core::Time,
};

/// Best fit in the order of submission, with a reservation for the first job that does not fit.
///
/// The reservation begins when enough running jobs have ended, by their true run times. A later job
/// is backfilled if it ends before that or does not use the reserved slots. Teams and guarantees
/// are ignored: the result is a reference for utilisation and not a usable policy.
pub struct Oracle {
    state: BaselineState,
}

/// Slots and start time of the first job that does not fit.
struct Reservation {
    at: Time,
    slots: Vec<Slot>,
}

impl Oracle {
    /// Policy on an empty `cluster` without jobs.
    pub fn new(cluster: &Cluster) -> Self {
        Self { state: BaselineState::new(cluster, Fit::Best) }
    }

    /// Latest time at which a running job can end: it may include the set-up time of a restart.
    fn end(run: &RunningJob) -> Time {
        run.started_at + run.job.actual + RESTART_SETUP
    }

    /// Finds slots for a waiting job by releasing the running jobs in the order of their ends.
    fn reserve(&self, id: JobId) -> Option<Reservation> {
        let plan = self.state.waiting[&id].plan;
        let mut capacity: FreeCapacity = self.state.capacity.clone();
        let mut runs: Vec<_> = self.state.running.values().collect();
        runs.sort_by_key(|r| (Self::end(r), r.job.id));
        for run in runs {
            capacity.release(&run.slots, &run.job.plan);
            if let Some(slots) = capacity.place(&plan, Fit::Best, &[]) {
                return Some(Reservation { at: Self::end(run), slots });
            }
        }
        None
    }

    /// Places a job if it ends before the reservation begins or does not use the reserved slots.
    fn backfill(&mut self, now: Time, id: JobId, reservation: &Reservation) -> Option<Action> {
        if now + self.state.waiting[&id].actual + RESTART_SETUP <= reservation.at {
            return self.state.place(now, id);
        }
        let saved = self.state.clone();
        let action = self.state.place(now, id)?;
        let Action::Grant { slots, .. } = &action else { return None };
        let touches = |s: &Slot| {
            reservation.slots.iter().any(|r| r.worker == s.worker && r.mask & s.mask != 0)
        };
        if slots.iter().any(touches) {
            self.state = saved;
            return None;
        }
        Some(action)
    }
}

impl Policy for Oracle {
    fn name(&self) -> &'static str {
        "oracle"
    }

    fn on_event(&mut self, _: Time, event: PolicyEvent<'_>) {
        self.state.on_event(event);
    }

    fn decide(&mut self, now: Time) -> Vec<Action> {
        if !std::mem::take(&mut self.state.changed) {
            return Vec::new();
        }
        let mut actions = self.state.stop_broken();
        let mut unplaced = UnplacedKinds::default();
        let mut reservation: Option<Reservation> = None;
        let waiting: Vec<JobId> = self.state.waiting.keys().copied().collect();
        for id in waiting {
            let plan = self.state.waiting[&id].plan;
            if unplaced.contains(&plan) {
                continue;
            }
            let action = match &reservation {
                None => self.state.place(now, id),
                Some(r) => self.backfill(now, id, r),
            };
            if let Some(action) = action {
                actions.push(action);
                continue;
            }
            if reservation.is_none() {
                reservation = self.reserve(id);
            }
            unplaced.insert(&plan);
        }
        actions
    }
}
