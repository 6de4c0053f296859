//! Reclaim of reserved cells from borrowed work.

use {
    super::{DecisionPass, lifecycle},
    crate::{
        cell::Cell,
        job::{JobNumber, JobPhase, JobState},
        record::{Event, StopReason},
        state::occupancy::Occupancy,
    },
    bronzespool_core::{HashMap, Need, Time},
    std::collections::BTreeSet,
};

/// Whether the cells are neither allocated nor reserved, and the workers have free cores and memory
/// for the members.
pub(super) fn is_clear(occupancy: &Occupancy, cells: &[Cell], need: &Need) -> bool {
    let mut counts: HashMap<u32, u64> = HashMap::default();
    for chosen in cells {
        let Some(slot) = occupancy.slot_of(&chosen.instance) else {
            return false;
        };
        if occupancy.slot(slot).used & chosen.mask() != 0
            || occupancy.slot(slot).reserved & chosen.mask() != 0
        {
            return false;
        }
        *counts.entry(slot).or_default() += 1;
    }
    counts.iter().all(|(&slot, &count)| has_room(occupancy, slot, need, count))
}

fn has_room(occupancy: &Occupancy, slot: u32, need: &Need, count: u64) -> bool {
    let worker = occupancy.slot(slot);
    worker.cores_used + worker.cores_reserved + u64::from(need.cores) * count <= worker.cores
        && worker.memory_used + worker.memory_reserved + need.memory * count <= worker.memory
}

/// Grants the reservations whose cells are clear, stops the work on the cells of the others, and
/// cancels those that cannot be cleared.
pub(super) fn advance_reservations(pass: &mut DecisionPass<'_>) {
    let state = pass.state;
    for job in state.reserved() {
        let JobPhase::Reserved { cells, borrowed, .. } = &job.phase else {
            continue;
        };
        let schedulable = |c: &Cell| {
            pass.occupancy.slot_of(&c.instance).is_some_and(|s| pass.occupancy.slot(s).schedulable)
        };
        if !cells.iter().all(schedulable) {
            cancel_reservation(pass, job, pass.now);
            continue;
        }
        pass.occupancy.unreserve(cells, &job.spec.need, *borrowed);
        if is_clear(&pass.occupancy, cells, &job.spec.need) {
            grant(pass, job, cells, *borrowed);
        } else {
            stop_blockers(pass, job, cells, *borrowed);
        }
        pass.occupancy.reserve(cells, &job.spec.need, *borrowed);
    }
}

fn grant(pass: &mut DecisionPass<'_>, job: &JobState, cells: &[Cell], borrowed: bool) {
    let settings = pass.state.settings();
    let lease = if borrowed { settings.borrowed_lease } else { settings.guaranteed_lease };
    pass.push(Event::Granted {
        job: job.spec.job.clone(),
        attempt: job.attempts + 1,
        cells: cells.to_vec(),
        lease,
        borrowed,
        bindings: Vec::new(),
    });
}

/// Stops work that was placed on the cells after the reservation. Cancels the reservation if there
/// is nothing to stop and nothing is stopping on these workers.
fn stop_blockers(pass: &mut DecisionPass<'_>, job: &JobState, cells: &[Cell], borrowed: bool) {
    let reason = if borrowed { StopReason::Reservation } else { StopReason::Reclaim };
    let before = pass.records.len();
    stop_holders(pass, job, cells, reason);
    let is_stopping = |id: &JobNumber| {
        let attempt = pass.state.job_by_number(*id).and_then(JobState::attempt);
        attempt.is_some_and(|a| a.stop.is_some())
    };
    let slots = cells.iter().filter_map(|c| pass.occupancy.slot_of(&c.instance));
    let mut tasks = slots.flat_map(|s| pass.occupancy.slot(s).tasks.iter());
    if pass.records.len() == before && !tasks.any(|(id, _)| is_stopping(id)) {
        cancel_reservation(pass, job, pass.now + pass.state.settings().retry_backoff);
    }
}

fn cancel_reservation(pass: &mut DecisionPass<'_>, job: &JobState, not_before: Time) {
    pass.push(Event::Unreserved { job: job.spec.job.clone(), not_before });
}

/// Cancels the borrowed reservations that overlap the cells.
pub(super) fn cancel_overlapping(pass: &mut DecisionPass<'_>, wanted: &[Cell]) {
    let state = pass.state;
    for job in state.reserved() {
        let JobPhase::Reserved { cells, borrowed: true, .. } = &job.phase else {
            continue;
        };
        if cells.iter().any(|held| wanted.iter().any(|cell| overlap(held, cell))) {
            cancel_reservation(pass, job, pass.now);
        }
    }
}

fn overlap(a: &Cell, b: &Cell) -> bool {
    a.instance == b.instance && a.mask() & b.mask() != 0
}

/// Stops the borrowed work on the cells. Also stops borrowed work without accelerators on the same
/// workers, as far as the job needs its cores and memory.
pub(super) fn stop_holders(
    pass: &mut DecisionPass<'_>,
    job: &JobState,
    cells: &[Cell],
    reason: StopReason,
) {
    let mut victims = BTreeSet::new();
    let mut counts: HashMap<u32, u64> = HashMap::default();
    for chosen in cells {
        let Some(slot) = pass.occupancy.slot_of(&chosen.instance) else {
            continue;
        };
        *counts.entry(slot).or_default() += 1;
        for &(id, member) in &pass.occupancy.slot(slot).tasks {
            let attempt = pass.state.job_by_number(id).and_then(JobState::attempt);
            let cell = attempt.map(|a| &a.cells[member as usize]);
            if cell.is_some_and(|cell| cell.mask() & chosen.mask() != 0) {
                victims.insert(id);
            }
        }
    }
    let mut slots: Vec<_> = counts.into_iter().collect();
    slots.sort_unstable();
    for (slot, count) in slots {
        add_victims(pass, job, slot, count, &mut victims);
    }
    for id in victims {
        stop_victim(pass, id, job, reason);
    }
}

/// Adds borrowed work without accelerators to the victims, newest first, until there are enough
/// cores and memory.
fn add_victims(
    pass: &DecisionPass<'_>,
    job: &JobState,
    slot: u32,
    count: u64,
    victims: &mut BTreeSet<JobNumber>,
) {
    let worker = pass.occupancy.slot(slot);
    let mut cores =
        worker.cores_used + worker.cores_reserved + u64::from(job.spec.need.cores) * count;
    let mut memory = worker.memory_used + worker.memory_reserved + job.spec.need.memory * count;
    let usage_of = |id: JobNumber, member: u32| {
        let victim = pass.state.job_by_number(id)?;
        let attempt = victim.attempt()?;
        let need = attempt.need(&victim.spec.need, member as usize);
        Some((need, attempt.borrowed, attempt.cells[member as usize].accels))
    };
    for &(id, member) in &worker.tasks {
        if victims.contains(&id)
            && let Some((need, _, _)) = usage_of(id, member)
        {
            cores = cores.saturating_sub(u64::from(need.cores));
            memory = memory.saturating_sub(need.memory);
        }
    }
    for &(id, member) in worker.tasks.iter().rev() {
        if cores <= worker.cores && memory <= worker.memory {
            return;
        }
        if let Some((need, true, 0)) = usage_of(id, member)
            && victims.insert(id)
        {
            cores = cores.saturating_sub(u64::from(need.cores));
            memory = memory.saturating_sub(need.memory);
        }
    }
}

fn stop_victim(
    pass: &mut DecisionPass<'_>,
    id: JobNumber,
    claimant: &JobState,
    reason: StopReason,
) {
    let state = pass.state;
    let Some(victim) = state.job_by_number(id) else {
        return;
    };
    let Some(attempt) = victim.attempt() else {
        return;
    };
    let grace =
        if claimant.spec.urgent { state.settings().urgent_grace } else { state.settings().grace };
    if !attempt.borrowed && reason != StopReason::Move {
        return;
    }
    if let Some(stop) = attempt.stop
        && stop.deadline <= attempt.leases_end(pass.now, grace, state.settings())
    {
        return;
    }
    let event = lifecycle::stop_event(state, victim, attempt, reason, grace, pass.now);
    pass.push(event);
}
