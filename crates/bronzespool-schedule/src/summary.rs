//! Guarantees, what is lent, fragmentation and utilisation at one time.

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

/// Guarantee of one team and what it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamSummary {
    /// The team.
    pub team: Team,
    /// Guaranteed shapes.
    pub shapes: Vec<Shape>,
    /// Guaranteed cells in use.
    pub bound: Vec<Shape>,
    /// Accelerators held in all.
    pub accels: u64,
    /// Accelerators of these that are borrowed.
    pub borrowed: u64,
    /// Jobs that wait.
    pub waiting: usize,
}

/// State of the whole system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClusterSummary {
    /// Teams with a guarantee, work or both.
    pub teams: Vec<TeamSummary>,
    /// Guaranteed cells that could not be claimed now: none in health.
    pub broken: Vec<Shape>,
    /// Teams whose guaranteed cells in use have lost a worker.
    pub degraded: Vec<Team>,
    /// Accelerators of reachable workers.
    pub total: u64,
    /// Accelerators held by work.
    pub used: u64,
    /// Accelerators of these that are borrowed.
    pub lent: u64,
    /// Share of accelerators held, between 0 and 1.
    pub utilisation: f64,
    /// Share of free accelerators that the mix of shapes cannot use, between 0 and 1.
    pub fragmentation: f64,
    /// Jobs that wait.
    pub waiting: usize,
    /// Jobs whose cells are being cleared.
    pub reserved: usize,
    /// Jobs that hold cells.
    pub active: usize,
    /// Workers that are lost.
    pub lost: Vec<Instance>,
    /// Workers in quarantine.
    pub quarantined: Vec<Instance>,
}

/// State of the whole system.
pub fn summarize(state: &SchedulerState) -> ClusterSummary {
    let occupancy = state.occupancy();
    let open = || occupancy.slots.iter().filter(|slot| slot.schedulable);
    let total: u64 = open().map(|slot| u64::from(slot.accels())).sum();
    let used: u64 = open().map(|slot| u64::from(slot.used.count_ones())).sum();
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
    let is_lost = |&(slot, mask): &(u32, u64)| mask != 0 && !occupancy.slot(slot).schedulable;
    let lost = state.teams().iter().filter(|(_, guarantee)| {
        guarantee.bindings.iter().any(|binding| occupancy.covers(binding).iter().any(is_lost))
    });
    lost.map(|(team, _)| team.clone()).collect()
}
