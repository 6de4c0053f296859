//! Backfill that knows the true run times.

use {
    crate::{
        decisions::{Action, Cluster, Fit, Input, JobId, Policy, RESTART, Slot, Space},
        policies::pool::{Misses, Pool, Run},
    },
    bronzespool_core::Time,
};

/// Best fit in the order of submission, with a reservation for the first job that does not fit, at
/// the time when the known ends of the running jobs make room for it. Later jobs start if they
/// end before that or leave its slots alone. It knows no teams: a bound for utilisation and not
/// a policy to run.
pub struct Oracle {
    pool: Pool,
}

/// Where and when the first job that does not fit will start.
struct Reservation {
    at: Time,
    slots: Vec<Slot>,
}

impl Oracle {
    /// An empty queue on `cluster`.
    pub fn new(cluster: &Cluster) -> Self {
        Self { pool: Pool::new(cluster, Fit::Best) }
    }

    /// Latest time at which a run can end.
    fn end(run: &Run) -> Time {
        run.since + run.job.actual + RESTART
    }

    fn reserve(&self, id: JobId) -> Option<Reservation> {
        let plan = self.pool.waiting[&id].plan;
        let mut space: Space = self.pool.space.clone();
        let mut runs: Vec<_> = self.pool.running.values().collect();
        runs.sort_by_key(|r| (Self::end(r), r.job.id));
        for run in runs {
            space.give(&run.slots, &run.job.plan);
            if let Some(slots) = space.place(&plan, Fit::Best, &[]) {
                return Some(Reservation { at: Self::end(run), slots });
            }
        }
        None
    }

    /// Starts a job that ends before the reservation or does not touch its slots.
    fn backfill(&mut self, now: Time, id: JobId, reservation: &Reservation) -> Option<Action> {
        if now + self.pool.waiting[&id].actual + RESTART <= reservation.at {
            return self.pool.place(now, id);
        }
        let before = self.pool.clone();
        let action = self.pool.place(now, id)?;
        let Action::Grant { slots, .. } = &action else { return None };
        let touches = |s: &Slot| {
            reservation.slots.iter().any(|r| r.worker == s.worker && r.mask & s.mask != 0)
        };
        if slots.iter().any(touches) {
            self.pool = before;
            return None;
        }
        Some(action)
    }
}

impl Policy for Oracle {
    fn name(&self) -> &'static str {
        "oracle"
    }

    fn input(&mut self, _: Time, input: Input<'_>) {
        self.pool.input(input);
    }

    fn decide(&mut self, now: Time) -> Vec<Action> {
        if !std::mem::take(&mut self.pool.dirty) {
            return Vec::new();
        }
        let mut actions = self.pool.cut();
        let mut misses = Misses::default();
        let mut reservation: Option<Reservation> = None;
        let waiting: Vec<JobId> = self.pool.waiting.keys().copied().collect();
        for id in waiting {
            let plan = self.pool.waiting[&id].plan;
            if misses.has(&plan) {
                continue;
            }
            let action = match &reservation {
                None => self.pool.place(now, id),
                Some(r) => self.backfill(now, id, r),
            };
            if let Some(action) = action {
                actions.push(action);
                continue;
            }
            if reservation.is_none() {
                reservation = self.reserve(id);
            }
            misses.add(&plan);
        }
        actions
    }
}
