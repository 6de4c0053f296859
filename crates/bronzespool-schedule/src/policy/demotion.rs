//! Whether a team's running work and one job more fit into its guarantee by number.
//!
//! Work that may be stopped can lie scattered over the cells that its team uses, so that a job
//! finds no block although the guarantee has room. Such work then runs on as borrowed, and the
//! guaranteed cells are free to be used elsewhere.

use {
    super::{
        claim::claim,
        place::{GangRequest, scopes},
    },
    crate::{
        job::JobState,
        state::{SchedulerState, occupancy::Occupancy},
    },
    bronzespool_core::{Job, Level},
};

/// Free accelerators of each worker in a guaranteed cell.
type Room = Vec<u32>;

/// Guaranteed cells of a team as if they were idle, by the largest places of each level.
fn rooms(state: &SchedulerState, job: &JobState) -> Vec<Room> {
    let Some(team) = state.teams().get(&job.spec.team) else {
        return Vec::new();
    };
    let mut rooms = Vec::new();
    for (&level, &count) in &team.shapes {
        let room = match level {
            Level::Block(order) => vec![1 << order],
            _ => largest(state.occupancy(), level),
        };
        rooms.extend((0..count).map(|_| room.clone()));
    }
    rooms
}

fn largest(occupancy: &Occupancy, level: Level) -> Room {
    let rooms = scopes(occupancy, level)
        .into_iter()
        .map(|scope| scope.slots.iter().map(|&s| occupancy.slot(s).accels()).collect::<Room>());
    rooms.max_by_key(|room| room.iter().sum::<u32>()).unwrap_or_default()
}

/// Takes a gang out of the smallest room that holds all its members.
fn pack(rooms: &mut [Room], members: u32, accels: u32) -> bool {
    let holds = |room: &&mut Room| room.iter().map(|free| free / accels).sum::<u32>() >= members;
    let best = rooms.iter_mut().filter(holds).min_by_key(|room| room.iter().sum::<u32>());
    let Some(room) = best else {
        return false;
    };
    let mut left = members;
    for free in room.iter_mut() {
        let here = left.min(*free / accels);
        *free -= here * accels;
        left -= here;
    }
    true
}

/// Whether the team's running work and the job fit into the guarantee at once.
fn fits(state: &SchedulerState, job: &JobState, ask: &GangRequest) -> bool {
    let mut rooms = rooms(state, job);
    let running = state.running(&job.spec.team).filter(|other| other.spec.accels() > 0);
    let whole = running
        .filter(|other| other.attempt().is_some_and(|a| a.stop.is_none()))
        .all(|other| pack(&mut rooms, other.spec.members, other.spec.need.accels));
    whole && pack(&mut rooms, ask.members, ask.accels())
}

/// Work of the team that must run on as borrowed, so that the job can claim its cells.
pub(super) fn demotable(
    state: &SchedulerState,
    job: &JobState,
    ask: &GangRequest,
) -> Option<Vec<Job>> {
    if ask.order.is_none() || !fits(state, job, ask) {
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
    let mut scratch = after.occupancy().clone();
    claim(&after, &mut scratch, &job.spec.team, ask, &[], &[]).map(|_| jobs)
}
