//! Count-based quotas with plain backfill.

use {
    crate::{
        decisions::{Action, Cluster, Fit, Input, JobId, Policy},
        policies::{
            fifo::quotas,
            pool::{Misses, Pool, Run},
        },
    },
    bronzespool_core::Time,
};

/// Each team is promised a count of accelerators and may borrow what is free. A job within the
/// count goes first and stops the youngest borrowers until enough accelerators are free, in number
/// and not in shape; that many are kept from borrowers. Any other job that fits starts, whatever
/// waits before it.
pub struct Backfill {
    pool: Pool,
    quotas: Vec<u32>,
}

impl Backfill {
    /// An empty queue on `cluster`.
    pub fn new(cluster: &Cluster) -> Self {
        Self { pool: Pool::new(cluster, Fit::First), quotas: quotas(cluster) }
    }

    fn within(&self, id: JobId) -> bool {
        let job = &self.pool.waiting[&id];
        self.pool.used[job.team] + job.accels() <= self.quotas[job.team]
    }

    /// Stops the youngest jobs of teams over their count until `wanted` accelerators are free.
    fn reclaim(&mut self, wanted: u32, actions: &mut Vec<Action>) {
        let stopping = |r: &&Run| r.stopping;
        let accels = |r: &Run| r.job.accels();
        let coming: u32 = self.pool.running.values().filter(stopping).map(accels).sum();
        let mut free = self.pool.space.free() + coming;
        let mut runs: Vec<_> = self.pool.running.values().filter(|r| !r.stopping).collect();
        runs.retain(|r| !r.job.plan.protected && r.job.accels() > 0);
        runs.sort_by_key(|r| (std::cmp::Reverse(r.since), r.job.id));
        let order: Vec<_> = runs.iter().map(|r| (r.job.id, r.job.team, r.job.accels())).collect();
        for (id, team, accels) in order {
            if free >= wanted {
                return;
            }
            if self.pool.used[team] > self.quotas[team] {
                actions.extend(self.pool.stop(id));
                free += accels;
            }
        }
    }
}

impl Policy for Backfill {
    fn name(&self) -> &'static str {
        "count-backfill"
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
        let mut wanted = 0;
        for first in [true, false] {
            let waiting: Vec<JobId> = self.pool.waiting.keys().copied().collect();
            for id in waiting {
                let plan = self.pool.waiting[&id].plan;
                let within = self.within(id);
                if within != first {
                    continue;
                }
                let accels = plan.gang * plan.accels;
                let kept = !within && accels > 0 && self.pool.space.free() < wanted + accels;
                if kept {
                    continue;
                }
                let grant = if misses.has(&plan) { None } else { self.pool.place(now, id) };
                match grant {
                    Some(grant) => actions.push(grant),
                    None => {
                        misses.add(&plan);
                        wanted += if within { accels } else { 0 };
                    }
                }
            }
        }
        if wanted > 0 {
            self.reclaim(wanted, &mut actions);
        }
        actions
    }
}
