//! First-fit FIFO with strict quotas.

use {
    crate::{
        decisions::{Action, Cluster, Fit, Input, JobId, Policy},
        policies::pool::{Misses, Pool},
    },
    bronzespool_core::Time,
};

/// Each team owns a fixed count of accelerators, its share of all by its guarantees, and never
/// uses more. Within a team jobs start in the order of submission: a job that does not fit holds up
/// those behind it. Core-only jobs have no quota. Nothing is ever stopped.
pub struct Fifo {
    pool: Pool,
    quotas: Vec<u32>,
}

impl Fifo {
    /// An empty queue on `cluster`.
    pub fn new(cluster: &Cluster) -> Self {
        Self { pool: Pool::new(cluster, Fit::First), quotas: quotas(cluster) }
    }
}

/// All accelerators, divided by the guarantees.
pub(crate) fn quotas(cluster: &Cluster) -> Vec<u32> {
    let guaranteed = cluster.guaranteed();
    let total: u32 = guaranteed.iter().sum();
    guaranteed.iter().map(|g| g * cluster.accels() / total).collect()
}

impl Policy for Fifo {
    fn name(&self) -> &'static str {
        "fifo-quota"
    }

    fn input(&mut self, _: Time, input: Input<'_>) {
        self.pool.input(input);
    }

    fn decide(&mut self, now: Time) -> Vec<Action> {
        if !std::mem::take(&mut self.pool.dirty) {
            return Vec::new();
        }
        let mut actions = self.pool.cut();
        let mut blocked = vec![false; self.quotas.len()];
        let mut misses = Misses::default();
        let waiting: Vec<JobId> = self.pool.waiting.keys().copied().collect();
        for id in waiting {
            let job = &self.pool.waiting[&id];
            let (team, plan, accels) = (job.team, job.plan, job.accels());
            let over = accels > 0 && self.pool.used[team] + accels > self.quotas[team];
            if blocked[team] || misses.has(&plan) || over {
                blocked[team] |= accels > 0;
                continue;
            }
            match self.pool.place(now, id) {
                Some(grant) => actions.push(grant),
                None => {
                    misses.add(&plan);
                    blocked[team] |= accels > 0;
                }
            }
        }
        actions
    }
}
