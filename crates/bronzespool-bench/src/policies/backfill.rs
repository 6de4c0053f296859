//! Count-based quotas with backfill.

use {
    crate::{
        decisions::{Action, Cluster, Fit, JobId, Policy, PolicyEvent},
        policies::{
            baseline_state::{BaselineState, RunningJob, UnplacedKinds},
            fifo::quotas,
        },
    },
    bronzespool_core::Time,
};

/// Baseline in which each team has a quota of accelerators and may borrow free ones beyond it.
///
/// Jobs within the quota are placed first. If one does not fit, the youngest jobs of teams over
/// their quota are preempted until enough accelerators are free, counted without regard to their
/// topology, and that many are withheld from borrowers. Any other job that fits starts, whatever
/// waits before it.
pub struct Backfill {
    state: BaselineState,
    quotas: Vec<u32>,
}

impl Backfill {
    /// Policy on an empty `cluster` without jobs.
    pub fn new(cluster: &Cluster) -> Self {
        Self { state: BaselineState::new(cluster, Fit::First), quotas: quotas(cluster) }
    }

    fn within_quota(&self, id: JobId) -> bool {
        let job = &self.state.waiting[&id];
        self.state.used_accels[job.team] + job.accels() <= self.quotas[job.team]
    }

    /// Stops the youngest jobs of teams over their quota until `needed_accels` accelerators are
    /// free, those of jobs already stopping included. Protected jobs are never stopped.
    fn reclaim(&mut self, needed_accels: u32, actions: &mut Vec<Action>) {
        let stopping = |r: &&RunningJob| r.stopping;
        let accels = |r: &RunningJob| r.job.accels();
        let being_freed: u32 = self.state.running.values().filter(stopping).map(accels).sum();
        let mut free = self.state.capacity.free() + being_freed;
        let mut runs: Vec<_> = self.state.running.values().filter(|r| !r.stopping).collect();
        runs.retain(|r| !r.job.plan.protected && r.job.accels() > 0);
        runs.sort_by_key(|r| (std::cmp::Reverse(r.started_at), r.job.id));
        let order: Vec<_> = runs.iter().map(|r| (r.job.id, r.job.team, r.job.accels())).collect();
        for (id, team, accels) in order {
            if free >= needed_accels {
                return;
            }
            if self.state.used_accels[team] > self.quotas[team] {
                actions.extend(self.state.stop(id));
                free += accels;
            }
        }
    }
}

impl Policy for Backfill {
    fn name(&self) -> &'static str {
        "count-backfill"
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
        let mut needed_accels = 0;
        for guaranteed_pass in [true, false] {
            let waiting: Vec<JobId> = self.state.waiting.keys().copied().collect();
            for id in waiting {
                let plan = self.state.waiting[&id].plan;
                let within_quota = self.within_quota(id);
                if within_quota != guaranteed_pass {
                    continue;
                }
                let accels = plan.gang * plan.accels;
                let reserved = !within_quota
                    && accels > 0
                    && self.state.capacity.free() < needed_accels + accels;
                if reserved {
                    continue;
                }
                let grant = if unplaced.contains(&plan) { None } else { self.state.place(now, id) };
                match grant {
                    Some(grant) => actions.push(grant),
                    None => {
                        unplaced.insert(&plan);
                        needed_accels += if within_quota { accels } else { 0 };
                    }
                }
            }
        }
        if needed_accels > 0 {
            self.reclaim(needed_accels, &mut actions);
        }
        actions
    }
}
