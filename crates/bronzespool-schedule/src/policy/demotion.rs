//! Demotion of preemptible work from its team's guarantee to borrowed cells.
//!
//! Preemptible work may be scattered over the bound cells of its team, so that a job finds no free
//! block although the guarantee has enough accelerators. Such work is then made borrowed and
//! continues to run, and the guaranteed cells can be bound elsewhere.

use {
    super::{
        claim::claim_cells,
        place::{GangRequest, scopes},
    },
    crate::{
        job::JobState,
        state::{SchedulerState, occupancy::Occupancy},
    },
    bronzespool_core::{Job, Level},
};

/// Number of free accelerators on each worker of a guaranteed cell.
type FreeAccels = Vec<u32>;

/// All guaranteed cells of the job's team as if they were idle, each as large as the largest domain
/// of its level.
fn idle_cells(state: &SchedulerState, job: &JobState) -> Vec<FreeAccels> {
    let Some(team) = state.teams().get(&job.spec.team) else {
        return Vec::new();
    };
    let mut cells = Vec::new();
    for (&level, &count) in &team.shapes {
        let cell = match level {
            Level::Block(order) => vec![1 << order],
            _ => largest_domain(state.occupancy(), level),
        };
        cells.extend((0..count).map(|_| cell.clone()));
    }
    cells
}

fn largest_domain(occupancy: &Occupancy, level: Level) -> FreeAccels {
    let cells = scopes(occupancy, level).into_iter().map(|scope| {
        scope.slots.iter().map(|&s| occupancy.slot(s).accels()).collect::<FreeAccels>()
    });
    cells.max_by_key(|cell| cell.iter().sum::<u32>()).unwrap_or_default()
}

/// Takes the accelerators of a gang out of the smallest cell that holds all of its members.
fn pack_gang(cells: &mut [FreeAccels], members: u32, accels: u32) -> bool {
    let fits =
        |cell: &&mut FreeAccels| cell.iter().map(|free| free / accels).sum::<u32>() >= members;
    let best = cells.iter_mut().filter(fits).min_by_key(|cell| cell.iter().sum::<u32>());
    let Some(cell) = best else {
        return false;
    };
    let mut left = members;
    for free in cell.iter_mut() {
        let here = left.min(*free / accels);
        *free -= here * accels;
        left -= here;
    }
    true
}

/// Whether the running work of the team and the job together fit into the guarantee, counting only
/// accelerators of workers and not the blocks in which they are free.
fn fits_by_count(state: &SchedulerState, job: &JobState, request: &GangRequest) -> bool {
    let mut cells = idle_cells(state, job);
    let running = state.running(&job.spec.team).filter(|other| other.spec.accels() > 0);
    let all_packed = running
        .filter(|other| other.attempt().is_some_and(|a| a.stop.is_none()))
        .all(|other| pack_gang(&mut cells, other.spec.members, other.spec.need.accels));
    all_packed && pack_gang(&mut cells, request.members, request.accels())
}

/// Jobs of the team to make borrowed so that the job can claim cells; `None` if that does not help.
pub(super) fn jobs_to_demote(
    state: &SchedulerState,
    job: &JobState,
    request: &GangRequest,
) -> Option<Vec<Job>> {
    if request.order.is_none() || !fits_by_count(state, job, request) {
        return None;
    }
    let own = state.running(&job.spec.team).filter(|other| {
        let runs = other.attempt().is_some_and(|a| !a.borrowed && a.stop.is_none());
        runs && other.spec.preemptible() && other.spec.accels() > 0
    });
    let jobs: Vec<Job> = own.map(|other| other.spec.job.clone()).collect();
    if jobs.is_empty() {
        return None;
    }
    let after = state.demoted(&jobs);
    let mut occupancy = after.occupancy().clone();
    claim_cells(&after, &mut occupancy, &job.spec.team, request, &[], &[]).map(|_| jobs)
}
