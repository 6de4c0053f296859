//! Reservations for borrowing gangs that find no free cells.
//!
//! The oldest blocked gangs get a *shadow reservation* of the cells that are expected to be free
//! first. Other work may borrow these cells only as a backfill that is sure to end before. From the
//! exclusive age on, the reservation of a gang is exclusive: it preempts borrowed work that was
//! submitted later.

use {
    super::{
        DecisionPass, Planner,
        evict::{CostTotal, EvictionPlan, plan_eviction},
        place::{GangRequest, free_cells, is_ready},
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

/// Number of gangs that get a shadow reservation at the same time.
const SHADOWS_MAX: usize = 2;

/// Cells reserved for blocked gangs.
#[derive(Clone, Debug, Default)]
pub(super) struct ShadowReservations {
    /// Mask of the reserved accelerators of each slot.
    pub(super) masks: Vec<u64>,
    /// Time at which the first of the gangs is expected to start.
    pub(super) expected_start: Option<Time>,
}

/// The oldest waiting jobs that may borrow accelerators but find no free cells, oldest first.
pub(super) fn blocked_gangs<'a>(
    pass: &DecisionPass<'a>,
    limit: usize,
) -> Vec<(&'a JobState, GangRequest)> {
    let state = pass.state;
    let mut candidates: Vec<&JobState> = Vec::new();
    for (_, jobs) in state.queues() {
        let may_borrow = |job: &&JobState| {
            is_ready(job, pass.now) && job.spec.accels() > 0 && job.spec.preemptible()
        };
        candidates.extend(jobs.filter(may_borrow));
    }
    candidates.sort_unstable_by_key(|job| job.id);
    let mut found = Vec::new();
    for job in candidates {
        if found.len() == limit {
            break;
        }
        if let Some(request) = GangRequest::of(&pass.occupancy, &job.spec)
            && free_cells(&pass.occupancy, &request, &[]).is_none()
        {
            found.push((job, request));
        }
    }
    found
}

/// Shadow reservations of the oldest blocked gangs.
pub(super) fn shadow_reservations(pass: &DecisionPass<'_>) -> ShadowReservations {
    let mut shadow =
        ShadowReservations { masks: vec![0; pass.occupancy.slots.len()], expected_start: None };
    for (_, request) in blocked_gangs(pass, SHADOWS_MAX) {
        let plan = plan_eviction(pass.state, &pass.occupancy, &request, CostTotal::Max, |job| {
            let attempt = job.attempt()?;
            Some(predict::expected_end(pass.state, job, attempt, pass.now).as_micros())
        });
        let Some(plan) = plan else {
            continue;
        };
        for (slot, first) in &plan.placement.cells {
            shadow.masks[*slot as usize] |= cell::mask(*first, request.accels());
        }
        let start = Time::from_micros(plan.cost);
        shadow.expected_start = Some(shadow.expected_start.map_or(start, |first| first.min(start)));
    }
    shadow
}

/// Whether a job may borrow cells of the shadow reservations: it makes checkpoints, or it is sure
/// to end before the gangs are expected to start.
pub(super) fn can_backfill(
    pass: &DecisionPass<'_>,
    job: &JobState,
    shadow: &ShadowReservations,
) -> bool {
    if job.spec.checkpoint_interval.is_some() {
        return true;
    }
    let left = predict::pessimistic_runtime(pass.state, job).saturating_sub(job.saved_progress);
    shadow.expected_start.is_none_or(|start| pass.now + left <= start)
}

/// Reserves cells for the oldest blocked gang that may preempt other work for them, if any.
pub(super) fn reserve_exclusive(planner: &mut Planner, pass: &mut DecisionPass<'_>) {
    let state = pass.state;
    let span = state.settings().exclusive_age;
    let is_before_exclusive = |job: &JobState| pass.now < job.submitted + span;
    for (job, request) in blocked_gangs(pass, SHADOWS_MAX) {
        let before_exclusive = is_before_exclusive(job);
        let key = (job.id, before_exclusive);
        if planner.unevictable.get(&key) == Some(&state.capacity_epoch()) {
            continue;
        }
        let plan = plan_eviction(state, &pass.occupancy, &request, CostTotal::Sum, |victim| {
            stop_cost(pass, job, victim, before_exclusive)
        });
        match plan {
            Some(plan) => {
                reserve_cells(pass, job, &request, &plan, StopReason::Reservation);
                return;
            }
            None => _ = planner.unevictable.insert(key, state.capacity_epoch()),
        }
    }
}

/// Cost of stopping `victim` for `job`; `None` if it must not be stopped.
///
/// Before the exclusive age, only work that makes checkpoints or is overdue may be stopped.
fn stop_cost(
    pass: &DecisionPass<'_>,
    job: &JobState,
    victim: &JobState,
    before_exclusive: bool,
) -> Option<u64> {
    let attempt = victim.attempt()?;
    if !attempt.borrowed || victim.id < job.id || !victim.spec.preemptible() {
        return None;
    }
    if attempt.stop.is_some() {
        return Some(0);
    }
    let checkpoints = victim.spec.checkpoint_interval.is_some();
    if before_exclusive && !checkpoints && !predict::is_overdue(pass.state, victim, pass.now) {
        return None;
    }
    let lost = predict::unsaved_runtime(victim, pass.now).as_secs() + STOP_COST_SECS;
    Some(lost * victim.spec.accels().max(1))
}

/// Fixed cost of a stop, in seconds for each accelerator.
const STOP_COST_SECS: u64 = 60;

/// Reserves the cells of an eviction plan for a borrowing job and stops the work on them.
pub(super) fn reserve_cells(
    pass: &mut DecisionPass<'_>,
    job: &JobState,
    request: &GangRequest,
    plan: &EvictionPlan,
    reason: StopReason,
) {
    let cells = plan.placement.to_cells(&pass.occupancy, request.accels());
    let name = job.spec.job.clone();
    pass.push(Event::Reserved {
        job: name,
        cells: cells.clone(),
        borrowed: true,
        bindings: Vec::new(),
    });
    reclaim::stop_holders(pass, job, &cells, reason);
}

/// Next time after `now` at which a waiting job reaches the exclusive age.
pub(super) fn next_exclusive(state: &SchedulerState, now: Time) -> Option<Time> {
    let span = state.settings().exclusive_age;
    let next_jobs = state.queues().filter_map(|(_, mut jobs)| {
        jobs.find(|job| job.submitted + span > now && job.spec.accels() > 0)
    });
    next_jobs.map(|job| job.submitted + span).min()
}
