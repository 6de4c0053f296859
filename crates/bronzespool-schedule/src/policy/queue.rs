//! Who gets cells next: guarantees first, then borrowing by dominant share.

use {
    super::{
        GRANTS_MAX, Pass, Planner,
        claim::{GuaranteeClaim, claim},
        demotion, health,
        place::{
            ClusterTotals, GangRequest, Placement, dominant_share, fits_idle, free_cells, ready,
        },
        reclaim,
        reserve::{self, Shadow},
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

/// Pause before work of a team is made borrowed again for the same job.
const DEMOTE_PAUSE: Duration = Duration::from_secs(1);

/// Grants and reservations for waiting jobs.
pub(super) fn grant(planner: &mut Planner, state: &SchedulerState, now: Time) -> Vec<Record> {
    let mut pass = Pass {
        state,
        now,
        occupancy: state.occupancy().clone(),
        grants: 0,
        records: Vec::new(),
        dear: None,
    };
    health::health(&mut pass);
    reclaim::finish(&mut pass);
    if !pass.records.is_empty() {
        return pass.records;
    }
    own(planner, &mut pass);
    if pass.records.is_empty() {
        borrow(planner, &mut pass);
    }
    if pass.records.is_empty() {
        reserve::exclusive(planner, &mut pass);
    }
    pass.records
}

/// Grants on own guarantees. A claim changes what is bound, so one team claims once in a pass.
fn own(planner: &mut Planner, pass: &mut Pass<'_>) {
    let state = pass.state;
    for (team, jobs) in state.queues() {
        if !state.teams().contains_key(team) {
            continue;
        }
        let mut tried = HashSet::default();
        for job in jobs {
            if !ready(job, pass.now) {
                continue;
            }
            let Some(ask) = GangRequest::of(&pass.occupancy, &job.spec) else {
                continue;
            };
            let Some(ask) = own_ask(pass, job, ask) else {
                continue;
            };
            let class = (Some(team.clone()), ask);
            let fresh = job.failed_workers.is_empty();
            let known = planner.failed.get(&class) == Some(&state.capacity_epoch());
            if fresh && (known || !tried.insert(ask)) {
                continue;
            }
            if try_own(pass, job, &ask) || demote(planner, pass, job, &ask) {
                return;
            }
            if fresh {
                planner.failed.insert(class, state.capacity_epoch());
            }
        }
    }
}

/// What a job asks of its guarantee; none if it needs none.
fn own_ask(pass: &Pass<'_>, job: &JobState, ask: GangRequest) -> Option<GangRequest> {
    if ask.order.is_some() {
        return Some(ask);
    }
    if job.spec.preemptible() || free_cells(&pass.occupancy, &ask, &[]).is_some() {
        return None;
    }
    ask.guaranteed(&pass.occupancy, &job.spec)
}

fn try_own(pass: &mut Pass<'_>, job: &JobState, ask: &GangRequest) -> bool {
    let Some(found) = claim_for(pass, job, ask) else {
        return false;
    };
    let kept = avoided(pass, job, ask);
    if found.taken > 0
        && job.spec.preemptible()
        && !job.spec.urgent
        && let Some(choice) = free_cells(&pass.occupancy, ask, &kept)
    {
        lend(pass, job, ask, &choice);
        return true;
    }
    take(pass, job, ask, found);
    true
}

/// Makes scattered work of the job's team borrowed, if that lets the job claim its cells.
fn demote(planner: &mut Planner, pass: &mut Pass<'_>, job: &JobState, ask: &GangRequest) -> bool {
    let lately = planner.demoted.get(&job.id).is_some_and(|at| *at + DEMOTE_PAUSE > pass.now);
    if lately || (job.spec.preemptible() && free_cells(&pass.occupancy, ask, &[]).is_some()) {
        return false;
    }
    let Some(jobs) = demotion::demotable(pass.state, job, ask) else {
        return false;
    };
    planner.demoted.insert(job.id, pass.now);
    pass.push(Event::Demoted { jobs });
    true
}

/// Claims cells on other workers than those on which the job failed, if there are any.
fn claim_for(pass: &mut Pass<'_>, job: &JobState, ask: &GangRequest) -> Option<GuaranteeClaim> {
    let team = &job.spec.team;
    let avoid: Vec<u32> =
        job.failed_workers.iter().filter_map(|name| pass.occupancy.slot_of(name)).collect();
    let dear = pass.dear();
    let found = claim(pass.state, &mut pass.occupancy, team, ask, &avoid, &dear);
    if found.is_none() && !avoid.is_empty() {
        return claim(pass.state, &mut pass.occupancy, team, ask, &[], &dear);
    }
    found
}

/// Whole workers on which the job failed, by slot; none if the others could
/// not hold it.
fn avoided(pass: &Pass<'_>, job: &JobState, ask: &GangRequest) -> Vec<u64> {
    if job.failed_workers.is_empty() {
        return Vec::new();
    }
    let mut kept = vec![0; pass.occupancy.slots.len()];
    for slot in job.failed_workers.iter().filter_map(|name| pass.occupancy.slot_of(name)) {
        kept[slot as usize] = u64::MAX;
    }
    if fits_idle(&pass.occupancy, ask, &kept) { kept } else { Vec::new() }
}

/// Grants a claim, or reserves it and stops the work in its way.
fn take(pass: &mut Pass<'_>, job: &JobState, ask: &GangRequest, claim: GuaranteeClaim) {
    let choice = Placement { cells: claim.cells, cost: claim.split };
    let cells = choice.named(&pass.occupancy, ask.accels());
    let clear = reclaim::clear(&pass.occupancy, &cells, &job.spec.need);
    if clear {
        grant_cells(pass, job, cells, false, claim.bindings);
        return;
    }
    reclaim::unreserve(pass, &cells);
    let name = job.spec.job.clone();
    let bindings = claim.bindings;
    pass.push(Event::Reserved { job: name, cells: cells.clone(), borrowed: false, bindings });
    reclaim::stop_others(pass, job, &cells, StopReason::Reclaim);
}

fn grant_cells(
    pass: &mut Pass<'_>,
    job: &JobState,
    cells: Vec<Cell>,
    borrowed: bool,
    bindings: Vec<CellBinding>,
) {
    let settings = pass.state.settings();
    let lease = if borrowed { settings.borrowed_lease } else { settings.guaranteed_lease };
    let name = job.spec.job.clone();
    let attempt = job.attempts + 1;
    pass.occupancy.hold(&cells, &job.spec.need, borrowed);
    pass.grants += 1;
    pass.push(Event::Granted { job: name, attempt, cells, lease, borrowed, bindings });
}

fn lend(pass: &mut Pass<'_>, job: &JobState, ask: &GangRequest, choice: &Placement) {
    let cells = choice.named(&pass.occupancy, ask.accels());
    grant_cells(pass, job, cells, job.spec.preemptible(), Vec::new());
}

/// Lends free cells, to the team with the smallest dominant share first.
fn borrow(planner: &mut Planner, pass: &mut Pass<'_>) {
    let state = pass.state;
    let totals = ClusterTotals::of(&pass.occupancy);
    let mut queues: BTreeMap<&Team, (u64, Vec<&JobState>)> = BTreeMap::new();
    for (team, jobs) in state.queues() {
        let jobs: Vec<_> = jobs.filter(|job| ready(job, pass.now)).collect();
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

/// Lends cells to a job that may be stopped, or gives work without accelerators a place.
fn try_borrow(
    planner: &mut Planner,
    pass: &mut Pass<'_>,
    shadow: &mut Option<Shadow>,
    job: &JobState,
) -> bool {
    let Some(ask) = GangRequest::of(&pass.occupancy, &job.spec) else {
        return false;
    };
    if ask.order.is_some() && !job.spec.preemptible() {
        return false;
    }
    let class = (None, ask);
    if planner.failed.get(&class) == Some(&pass.state.capacity_epoch()) {
        return false;
    }
    let avoid = avoided(pass, job, &ask);
    let Some(choice) = free_cells(&pass.occupancy, &ask, &avoid) else {
        if avoid.is_empty() {
            planner.failed.insert(class, pass.state.capacity_epoch());
        }
        return false;
    };
    if ask.order.is_none() {
        lend(pass, job, &ask, &choice);
        return true;
    }
    if shadow.is_none() {
        *shadow = Some(reserve::shadow(pass));
    }
    let Some(kept) = shadow.as_ref().filter(|s| s.until.is_some()) else {
        lend(pass, job, &ask, &choice);
        return true;
    };
    let beside = free_cells(&pass.occupancy, &ask, &merged(&kept.masks, &avoid));
    let allowed = beside.or_else(|| reserve::backfills(pass, job, kept).then_some(choice));
    let Some(choice) = allowed else {
        return false;
    };
    lend(pass, job, &ask, &choice);
    true
}

/// Accelerators kept by either.
fn merged(a: &[u64], b: &[u64]) -> Vec<u64> {
    a.iter().zip(0..).map(|(mask, i): (&u64, usize)| mask | b.get(i).unwrap_or(&0)).collect()
}
