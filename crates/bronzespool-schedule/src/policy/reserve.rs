//! Reservations for borrowing gangs that find no cells.
//!
//! The oldest gangs that wait get a *shadow*: the cells that are expected to be free first. Other
//! work may borrow these only if it is sure to end before. From a set age on, a gang's reservation
//! is exclusive: it takes cells from borrowed work that was submitted later.

use {
    super::{
        Pass, Planner,
        evict::{CostTotal, EvictionPlan, evict},
        place::{GangRequest, free_cells, ready},
        predict, reclaim,
    },
    crate::{
        cell,
        job::JobState,
        record::{Event, StopReason},
        state::SchedulerState,
    },
    bronzespool_core::Time,
};

/// Gangs that get a shadow at once.
const SHADOWS_MAX: usize = 2;

/// Cells kept for gangs that wait.
#[derive(Clone, Debug, Default)]
pub(super) struct Shadow {
    /// Accelerators kept, by slot.
    pub(super) masks: Vec<u64>,
    /// When the first of the gangs is expected to start.
    pub(super) until: Option<Time>,
}

/// Oldest waiting jobs that may borrow accelerators and find none free, oldest first.
pub(super) fn blocked<'a>(pass: &Pass<'a>, most: usize) -> Vec<(&'a JobState, GangRequest)> {
    let state = pass.state;
    let mut heads: Vec<&JobState> = Vec::new();
    for (_, jobs) in state.queues() {
        let able = |job: &&JobState| {
            ready(job, pass.now) && job.spec.accels() > 0 && job.spec.preemptible()
        };
        heads.extend(jobs.filter(able));
    }
    heads.sort_unstable_by_key(|job| job.id);
    let mut found = Vec::new();
    for job in heads {
        if found.len() == most {
            break;
        }
        if let Some(ask) = GangRequest::of(&pass.occupancy, &job.spec)
            && free_cells(&pass.occupancy, &ask, &[]).is_none()
        {
            found.push((job, ask));
        }
    }
    found
}

/// Shadows of the oldest blocked gangs.
pub(super) fn shadow(pass: &Pass<'_>) -> Shadow {
    let mut shadow = Shadow { masks: vec![0; pass.occupancy.slots.len()], until: None };
    for (_, ask) in blocked(pass, SHADOWS_MAX) {
        let found = evict(pass.state, &pass.occupancy, &ask, CostTotal::Max, |job| {
            let attempt = job.attempt()?;
            Some(predict::end(pass.state, job, attempt, pass.now).as_micros())
        });
        let Some(found) = found else {
            continue;
        };
        for (slot, first) in &found.choice.cells {
            shadow.masks[*slot as usize] |= cell::mask(*first, ask.accels());
        }
        let start = Time::from_micros(found.cost);
        shadow.until = Some(shadow.until.map_or(start, |until| until.min(start)));
    }
    shadow
}

/// Whether a job is sure to end before the shadows' gangs are expected to start.
pub(super) fn backfills(pass: &Pass<'_>, job: &JobState, shadow: &Shadow) -> bool {
    if job.spec.checkpoint_interval.is_some() {
        return true;
    }
    let left = predict::pessimistic(pass.state, job).saturating_sub(job.saved_progress);
    shadow.until.is_none_or(|until| pass.now + left <= until)
}

/// Makes the reservation of the oldest gang past the exclusive age, if any may have one.
pub(super) fn exclusive(planner: &mut Planner, pass: &mut Pass<'_>) {
    let state = pass.state;
    let span = state.settings().exclusive_age;
    let overdue_only = |job: &JobState| pass.now < job.submitted + span;
    for (job, ask) in blocked(pass, SHADOWS_MAX) {
        let soft = overdue_only(job);
        let key = (job.id, soft);
        if planner.evicted.get(&key) == Some(&state.capacity_epoch()) {
            continue;
        }
        let found = evict(state, &pass.occupancy, &ask, CostTotal::Sum, |victim| {
            price(pass, job, victim, soft)
        });
        match found {
            Some(found) => {
                reserve(pass, job, &ask, &found, StopReason::Reservation);
                return;
            }
            None => _ = planner.evicted.insert(key, state.capacity_epoch()),
        }
    }
}

/// What it costs to stop `victim` for `job`; none if it must not be.
fn price(pass: &Pass<'_>, job: &JobState, victim: &JobState, soft: bool) -> Option<u64> {
    let attempt = victim.attempt()?;
    if !attempt.borrowed || victim.id < job.id || !victim.spec.preemptible() {
        return None;
    }
    if attempt.stop.is_some() {
        return Some(0);
    }
    let cheap = victim.spec.checkpoint_interval.is_some();
    if soft && !cheap && !predict::is_overdue(pass.state, victim, pass.now) {
        return None;
    }
    let lost = predict::at_stake(victim, pass.now).as_secs() + STOP_COST;
    Some(lost * victim.spec.accels().max(1))
}

/// Price of any stop, in seconds of each accelerator.
const STOP_COST: u64 = 60;

/// Chooses the cells for a borrowing job and stops what holds them.
pub(super) fn reserve(
    pass: &mut Pass<'_>,
    job: &JobState,
    ask: &GangRequest,
    found: &EvictionPlan,
    reason: StopReason,
) {
    let cells = found.choice.named(&pass.occupancy, ask.accels());
    let name = job.spec.job.clone();
    pass.push(Event::Reserved {
        job: name,
        cells: cells.clone(),
        borrowed: true,
        bindings: Vec::new(),
    });
    reclaim::stop_others(pass, job, &cells, reason);
}

/// Next time after `now` at which a waiting job reaches the exclusive age.
pub(super) fn next(state: &SchedulerState, now: Time) -> Option<Time> {
    let span = state.settings().exclusive_age;
    let heads = state.queues().filter_map(|(_, mut jobs)| {
        jobs.find(|job| job.submitted + span > now && job.spec.accels() > 0)
    });
    heads.map(|job| job.submitted + span).min()
}
