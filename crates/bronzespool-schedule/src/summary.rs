//! Summary of guarantees, borrowed cells, fragmentation and utilisation.

use {
    crate::{
        fragmentation::fragmentation,
        job::JobPhase,
        policy::fit::{demand, shortfall},
        state::SchedulerState,
    },
    bronzespool_core::{Instance, Level, Shape, Team},
    serde::{Deserialize, Serialize},
};

/// Guarantee and usage of a team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamSummary {
    /// The team.
    pub team: Team,
    /// Guaranteed cells.
    pub shapes: Vec<Shape>,
    /// Guaranteed cells that are bound.
    pub bound: Vec<Shape>,
    /// Number of allocated accelerators.
    pub accels: u64,
    /// Number of these accelerators that are borrowed.
    pub borrowed: u64,
    /// Number of waiting jobs.
    pub waiting: usize,
}

/// Summary of the whole cluster.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterSummary {
    /// Teams with a guarantee or with jobs.
    pub teams: Vec<TeamSummary>,
    /// Guaranteed cells that could not be claimed now; empty in a healthy cluster.
    pub broken: Vec<Shape>,
    /// Teams with a bound cell on a worker that is not schedulable.
    pub degraded: Vec<Team>,
    /// Number of accelerators of schedulable workers.
    pub total: u64,
    /// Number of these accelerators that are allocated.
    pub used: u64,
    /// Number of these accelerators that are borrowed.
    pub lent: u64,
    /// Share of accelerators that are allocated, between 0 and 1.
    pub utilisation: f64,
    /// Share of free accelerators that the workload mix cannot use, between 0 and 1.
    pub fragmentation: f64,
    /// Number of waiting jobs.
    pub waiting: usize,
    /// Number of jobs with reserved cells on which other work is being stopped.
    pub reserved: usize,
    /// Number of jobs with allocated cells.
    pub active: usize,
    /// Lost workers.
    pub lost: Vec<Instance>,
    /// Workers in quarantine.
    pub quarantined: Vec<Instance>,
}

/// Summary of the whole cluster.
pub fn summarize(state: &SchedulerState) -> ClusterSummary {
    let occupancy = state.occupancy();
    let schedulable = || occupancy.slots.iter().filter(|slot| slot.schedulable);
    let total: u64 = schedulable().map(|slot| u64::from(slot.accels())).sum();
    let used: u64 = schedulable().map(|slot| u64::from(slot.used.count_ones())).sum();
    let count = |f: fn(&JobPhase) -> bool| state.jobs().filter(|job| f(&job.phase)).count();
    let named = |f: fn(&crate::state::Worker) -> bool| {
        let found = state.workers().iter().filter(|(_, worker)| f(worker));
        found.map(|(name, _)| name.clone()).collect()
    };
    let teams: Vec<_> = teams(state);
    ClusterSummary {
        broken: shapes(shortfall(occupancy, &demand(state))),
        degraded: degraded(state),
        total,
        used,
        lent: teams.iter().map(|team| team.borrowed).sum(),
        utilisation: if total == 0 { 0.0 } else { used as f64 / total as f64 },
        fragmentation: fragmentation(occupancy, state.workload_mix()),
        waiting: count(|phase| matches!(phase, JobPhase::Waiting { .. })),
        reserved: count(|phase| matches!(phase, JobPhase::Reserved { .. })),
        active: count(|phase| matches!(phase, JobPhase::Active(_))),
        lost: named(|worker| !worker.up && !worker.draining),
        quarantined: named(|worker| worker.quarantine.is_some()),
        teams,
    }
}

fn shapes(cells: impl IntoIterator<Item = (Level, u32)>) -> Vec<Shape> {
    cells.into_iter().map(|(level, count)| Shape::new(level, count)).collect()
}

fn teams(state: &SchedulerState) -> Vec<TeamSummary> {
    let queued = state.queues().map(|(team, _)| team.clone());
    let mut names: Vec<Team> = state.teams().keys().cloned().chain(queued).collect();
    names.extend(state.team_usages().map(|(team, _)| team.clone()));
    names.sort_unstable();
    names.dedup();
    names.into_iter().map(|team| team_summary(state, team)).collect()
}

fn team_summary(state: &SchedulerState, team: Team) -> TeamSummary {
    let guarantee = state.teams().get(&team).cloned().unwrap_or_default();
    let usage = state.team_usage(&team);
    let mut bound = std::collections::BTreeMap::new();
    for binding in &guarantee.bindings {
        *bound.entry(binding.level).or_default() += 1;
    }
    let waiting = state.queue(&team).count();
    TeamSummary {
        team,
        shapes: shapes(guarantee.shapes),
        bound: shapes(bound),
        accels: usage.accels,
        borrowed: usage.borrowed_accels,
        waiting,
    }
}

fn degraded(state: &SchedulerState) -> Vec<Team> {
    let occupancy = state.occupancy();
    let is_unschedulable =
        |&(slot, mask): &(u32, u64)| mask != 0 && !occupancy.slot(slot).schedulable;
    let degraded = state.teams().iter().filter(|(_, guarantee)| {
        guarantee
            .bindings
            .iter()
            .any(|binding| occupancy.covers(binding).iter().any(is_unschedulable))
    });
    degraded.map(|(team, _)| team.clone()).collect()
}
