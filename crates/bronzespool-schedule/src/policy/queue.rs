//! Grants to waiting jobs: first on guarantees, then borrowed cells by dominant share.

use {
    super::{
        DecisionPass, GRANTS_MAX, Planner,
        claim::{GuaranteeClaim, claim_cells},
        demotion, health,
        place::{
            ClusterTotals, GangRequest, Placement, dominant_share, fits_idle, free_cells, is_ready,
        },
        reclaim,
        reserve::{self, ShadowReservations},
    },
    crate::{
        cell::{Cell, CellBinding},
        job::JobState,
        record::{Event, Record, StopReason},
        state::SchedulerState,
    },
    bronzespool_core::{HashSet, Team, Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Shortest time between two demotions for the same job.
const DEMOTION_INTERVAL: Duration = Duration::from_secs(1);

/// Records that grant or reserve cells for waiting jobs.
pub(super) fn plan_grants(planner: &mut Planner, state: &SchedulerState, now: Time) -> Vec<Record> {
    let mut pass = DecisionPass {
        state,
        now,
        occupancy: state.occupancy().clone(),
        grants: 0,
        records: Vec::new(),
        costly: None,
    };
    health::update_quarantine(&mut pass);
    reclaim::advance_reservations(&mut pass);
    if !pass.records.is_empty() {
        return pass.records;
    }
    grant_guaranteed(planner, &mut pass);
    if pass.records.is_empty() {
        lend_free_cells(planner, &mut pass);
    }
    if pass.records.is_empty() {
        reserve::reserve_exclusive(planner, &mut pass);
    }
    pass.records
}

/// Grants cells on a team's guarantee, to one job in a pass, since a claim changes the bindings on
/// which the next one depends.
fn grant_guaranteed(planner: &mut Planner, pass: &mut DecisionPass<'_>) {
    let state = pass.state;
    for (team, jobs) in state.queues() {
        if !state.teams().contains_key(team) {
            continue;
        }
        let mut tried = HashSet::default();
        for job in jobs {
            if !is_ready(job, pass.now) {
                continue;
            }
            let Some(request) = GangRequest::of(&pass.occupancy, &job.spec) else {
                continue;
            };
            let Some(request) = guaranteed_request(pass, job, request) else {
                continue;
            };
            let class = (Some(team.clone()), request);
            // A job that has failed avoids some workers, so the result for its class may differ.
            let never_failed = job.failed_workers.is_empty();
            let blocked = planner.unplaceable.get(&class) == Some(&state.capacity_epoch());
            if never_failed && (blocked || !tried.insert(request)) {
                continue;
            }
            if try_guaranteed(pass, job, &request) || try_demotion(planner, pass, job, &request) {
                return;
            }
            if never_failed {
                planner.unplaceable.insert(class, state.capacity_epoch());
            }
        }
    }
}

/// Request of a job to its team's guarantee; `None` if the job does not need the guarantee.
fn guaranteed_request(
    pass: &DecisionPass<'_>,
    job: &JobState,
    request: GangRequest,
) -> Option<GangRequest> {
    if request.order.is_some() {
        return Some(request);
    }
    if job.spec.preemptible() || free_cells(&pass.occupancy, &request, &[]).is_some() {
        return None;
    }
    request.guaranteed(&pass.occupancy, &job.spec)
}

fn try_guaranteed(pass: &mut DecisionPass<'_>, job: &JobState, request: &GangRequest) -> bool {
    let Some(found) = claim_for_job(pass, job, request) else {
        return false;
    };
    let excluded = failed_worker_masks(pass, job, request);
    if found.reclaimed > 0
        && job.spec.preemptible()
        && !job.spec.urgent
        && let Some(placement) = free_cells(&pass.occupancy, request, &excluded)
    {
        grant_free_cells(pass, job, request, &placement);
        return true;
    }
    grant_or_reserve(pass, job, request, found);
    true
}

/// Makes scattered work of the job's team borrowed, if the job can claim cells after that.
fn try_demotion(
    planner: &mut Planner,
    pass: &mut DecisionPass<'_>,
    job: &JobState,
    request: &GangRequest,
) -> bool {
    let recent =
        planner.last_demotions.get(&job.id).is_some_and(|at| *at + DEMOTION_INTERVAL > pass.now);
    if recent || (job.spec.preemptible() && free_cells(&pass.occupancy, request, &[]).is_some()) {
        return false;
    }
    let Some(jobs) = demotion::jobs_to_demote(pass.state, job, request) else {
        return false;
    };
    planner.last_demotions.insert(job.id, pass.now);
    pass.push(Event::Demoted { jobs });
    true
}

/// Claims cells for a job, if possible on other workers than those on which it failed.
fn claim_for_job(
    pass: &mut DecisionPass<'_>,
    job: &JobState,
    request: &GangRequest,
) -> Option<GuaranteeClaim> {
    let team = &job.spec.team;
    let avoided: Vec<u32> =
        job.failed_workers.iter().filter_map(|name| pass.occupancy.slot_of(name)).collect();
    let costly = pass.costly();
    let found = claim_cells(pass.state, &mut pass.occupancy, team, request, &avoided, &costly);
    if found.is_none() && !avoided.is_empty() {
        return claim_cells(pass.state, &mut pass.occupancy, team, request, &[], &costly);
    }
    found
}

/// Mask for each slot that excludes the workers on which the job failed; empty if the other workers
/// could not hold the job.
fn failed_worker_masks(pass: &DecisionPass<'_>, job: &JobState, request: &GangRequest) -> Vec<u64> {
    if job.failed_workers.is_empty() {
        return Vec::new();
    }
    let mut excluded = vec![0; pass.occupancy.slots.len()];
    for slot in job.failed_workers.iter().filter_map(|name| pass.occupancy.slot_of(name)) {
        excluded[slot as usize] = u64::MAX;
    }
    if fits_idle(&pass.occupancy, request, &excluded) { excluded } else { Vec::new() }
}

/// Grants the claimed cells, or reserves them and stops the work on them.
fn grant_or_reserve(
    pass: &mut DecisionPass<'_>,
    job: &JobState,
    request: &GangRequest,
    claim: GuaranteeClaim,
) {
    let placement = Placement { cells: claim.cells, cost: claim.split };
    let cells = placement.to_cells(&pass.occupancy, request.accels());
    let is_clear = reclaim::is_clear(&pass.occupancy, &cells, &job.spec.need);
    if is_clear {
        grant_cells(pass, job, cells, false, claim.bindings);
        return;
    }
    reclaim::cancel_overlapping(pass, &cells);
    let name = job.spec.job.clone();
    let bindings = claim.bindings;
    pass.push(Event::Reserved { job: name, cells: cells.clone(), borrowed: false, bindings });
    reclaim::stop_holders(pass, job, &cells, StopReason::Reclaim);
}

fn grant_cells(
    pass: &mut DecisionPass<'_>,
    job: &JobState,
    cells: Vec<Cell>,
    borrowed: bool,
    bindings: Vec<CellBinding>,
) {
    let settings = pass.state.settings();
    let lease = if borrowed { settings.borrowed_lease } else { settings.guaranteed_lease };
    let name = job.spec.job.clone();
    let attempt = job.attempts + 1;
    pass.occupancy.reserve(&cells, &job.spec.need, borrowed);
    pass.grants += 1;
    pass.push(Event::Granted { job: name, attempt, cells, lease, borrowed, bindings });
}

fn grant_free_cells(
    pass: &mut DecisionPass<'_>,
    job: &JobState,
    request: &GangRequest,
    placement: &Placement,
) {
    let cells = placement.to_cells(&pass.occupancy, request.accels());
    grant_cells(pass, job, cells, job.spec.preemptible(), Vec::new());
}

/// Lends free cells, each time to the team with the smallest dominant share.
fn lend_free_cells(planner: &mut Planner, pass: &mut DecisionPass<'_>) {
    let state = pass.state;
    let totals = ClusterTotals::of(&pass.occupancy);
    let mut queues: BTreeMap<&Team, (u64, Vec<&JobState>)> = BTreeMap::new();
    for (team, jobs) in state.queues() {
        let jobs: Vec<_> = jobs.filter(|job| is_ready(job, pass.now)).collect();
        queues.insert(team, (dominant_share(state, team, &totals), jobs));
    }
    let mut shadow = None;
    while pass.grants < GRANTS_MAX {
        let next = queues.iter().filter(|(_, (_, jobs))| !jobs.is_empty());
        let Some((&team, _)) = next.min_by_key(|(_, (share, jobs))| (*share, jobs[0].id)) else {
            return;
        };
        let (share, jobs) = queues.get_mut(team).expect("found above");
        let found = jobs.iter().position(|job| try_borrow(planner, pass, &mut shadow, job));
        match found {
            Some(at) => {
                let job = jobs[at];
                jobs.drain(..=at);
                let part = job.spec.accels() * 1_000_000 / totals.accels.max(1);
                let cores = u64::from(job.spec.need.cores) * u64::from(job.spec.members);
                *share += part.max(cores * 1_000_000 / totals.cores.max(1));
            }
            None => jobs.clear(),
        }
    }
}

/// Lends free cells to a preemptible job, or grants a worker to a job without accelerators.
fn try_borrow(
    planner: &mut Planner,
    pass: &mut DecisionPass<'_>,
    shadow: &mut Option<ShadowReservations>,
    job: &JobState,
) -> bool {
    let Some(request) = GangRequest::of(&pass.occupancy, &job.spec) else {
        return false;
    };
    if request.order.is_some() && !job.spec.preemptible() {
        return false;
    }
    let class = (None, request);
    if planner.unplaceable.get(&class) == Some(&pass.state.capacity_epoch()) {
        return false;
    }
    let avoided = failed_worker_masks(pass, job, &request);
    let Some(placement) = free_cells(&pass.occupancy, &request, &avoided) else {
        if avoided.is_empty() {
            planner.unplaceable.insert(class, pass.state.capacity_epoch());
        }
        return false;
    };
    if request.order.is_none() {
        grant_free_cells(pass, job, &request, &placement);
        return true;
    }
    if shadow.is_none() {
        *shadow = Some(reserve::shadow_reservations(pass));
    }
    let Some(reserved) = shadow.as_ref().filter(|s| s.expected_start.is_some()) else {
        grant_free_cells(pass, job, &request, &placement);
        return true;
    };
    let outside = free_cells(&pass.occupancy, &request, &merge_masks(&reserved.masks, &avoided));
    let allowed =
        outside.or_else(|| reserve::can_backfill(pass, job, reserved).then_some(placement));
    let Some(placement) = allowed else {
        return false;
    };
    grant_free_cells(pass, job, &request, &placement);
    true
}

/// Union of two masks for each slot.
fn merge_masks(a: &[u64], b: &[u64]) -> Vec<u64> {
    a.iter().zip(0..).map(|(mask, i): (&u64, usize)| mask | b.get(i).unwrap_or(&0)).collect()
}
