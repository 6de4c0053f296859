//! First-fit FIFO with strict quotas.

use {
    crate::{
        decisions::{Action, Cluster, Fit, JobId, Policy, PolicyEvent},
        policies::baseline_state::{BaselineState, UnplacedKinds},
    },
    bronzespool_core::Time,
};

/// Baseline in which each team has a fixed quota of accelerators, in proportion to its guarantees,
/// and never uses more.
///
/// The jobs of a team start in the order of submission: a job that does not fit blocks those behind
/// it. Core-only jobs have no quota. No job is ever preempted.
pub struct Fifo {
    state: BaselineState,
    quotas: Vec<u32>,
}

impl Fifo {
    /// Policy on an empty `cluster` without jobs.
    pub fn new(cluster: &Cluster) -> Self {
        Self { state: BaselineState::new(cluster, Fit::First), quotas: quotas(cluster) }
    }
}

/// Quotas by team: all accelerators, divided in proportion to the guarantees and rounded down.
pub(crate) fn quotas(cluster: &Cluster) -> Vec<u32> {
    let guaranteed = cluster.guaranteed();
    let total: u32 = guaranteed.iter().sum();
    guaranteed.iter().map(|g| g * cluster.accels() / total).collect()
}

impl Policy for Fifo {
    fn name(&self) -> &'static str {
        "fifo-quota"
    }

    fn on_event(&mut self, _: Time, event: PolicyEvent<'_>) {
        self.state.on_event(event);
    }

    fn decide(&mut self, now: Time) -> Vec<Action> {
        if !std::mem::take(&mut self.state.changed) {
            return Vec::new();
        }
        let mut actions = self.state.stop_broken();
        let mut blocked = vec![false; self.quotas.len()];
        let mut unplaced = UnplacedKinds::default();
        let waiting: Vec<JobId> = self.state.waiting.keys().copied().collect();
        for id in waiting {
            let job = &self.state.waiting[&id];
            let (team, plan, accels) = (job.team, job.plan, job.accels());
            let over = accels > 0 && self.state.used_accels[team] + accels > self.quotas[team];
            if blocked[team] || unplaced.contains(&plan) || over {
                blocked[team] |= accels > 0;
                continue;
            }
            match self.state.place(now, id) {
                Some(grant) => actions.push(grant),
                None => {
                    unplaced.insert(&plan);
                    blocked[team] |= accels > 0;
                }
            }
        }
        actions
    }
}
