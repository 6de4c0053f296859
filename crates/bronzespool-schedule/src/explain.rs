//! Explanation of the state of a job: why it waits, when it starts at the latest, and which jobs
//! hold the cells that it could use.

use {
    crate::{
        cell::Cell,
        job::{JobPhase, JobState},
        policy::{
            claim::claim_cells,
            evict::{CostTotal, plan_eviction},
            place::{GangRequest, fits_idle, free_cells},
            predict,
        },
        record::{JobOutcome, StopReason},
        state::{
            SchedulerState,
            occupancy::{Occupancy, WorkerSlot},
        },
    },
    bronzespool_core::{Job, Team, Time},
    displaydoc::Display,
    serde::{Deserialize, Serialize},
};

/// Reason for the state of a job.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusReason {
    /// it runs
    Running,
    /// its members prepare to start
    Preparing,
    /// it is being stopped: {0:?}
    Stopping(StopReason),
    /// it ended: {0:?}
    Ended(JobOutcome),
    /// its last start failed: it is tried again after a pause
    BackingOff,
    /// its cells are chosen and are being cleared of other work
    Clearing,
    /// its own guarantee has room: it is granted with the next decision
    Grantable,
    /// its team uses the guarantee that it needs, and it may not borrow
    GuaranteeInUse,
    /// no cells are free to borrow
    NoFreeCells,
    /// cells are free, but kept for a gang that has waited longer
    KeptForGang,
    /// no known worker can hold a member
    Infeasible,
    /// the data centres {0} are drained, and the others have no room for it now
    CentersDrained(String),
}

/// A job that holds cells which the explained job could use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellHolder {
    /// Name of the holding job.
    pub job: Job,
    /// Team of the holding job.
    pub team: Team,
    /// Cells of the holding job.
    pub cells: Vec<Cell>,
    /// Whether the cells are borrowed.
    pub borrowed: bool,
    /// Time at which the holding job is expected to release the cells.
    pub until: Time,
}

/// Explanation of the state of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the job.
    pub job: Job,
    /// Reason for its state.
    pub reason: StatusReason,
    /// Latest time of its start provided that no worker is lost before, if there is such a bound.
    pub latest_start: Option<Time>,
    /// Holders of the cells that it could use, in the order in which they are expected to release
    /// them.
    pub holders: Vec<CellHolder>,
}

/// Explains the state of a job; `None` if there is no such job.
pub fn explain(state: &SchedulerState, job: &Job, now: Time) -> Option<Explanation> {
    let job = state.job(job)?;
    let (reason, latest_start, holders) = match &job.phase {
        JobPhase::Waiting { not_before } if *not_before > now => {
            (StatusReason::BackingOff, None, Vec::new())
        }
        JobPhase::Waiting { .. } => explain_waiting(state, job, now),
        JobPhase::Reserved { cells, .. } => explain_clearing(state, job, cells, now),
        JobPhase::Active(attempt) => match (attempt.stop, attempt.started) {
            (Some(stop), _) => (StatusReason::Stopping(stop.reason), None, Vec::new()),
            (None, Some(started)) => (StatusReason::Running, Some(started), Vec::new()),
            (None, None) => (
                StatusReason::Preparing,
                Some(attempt.granted + state.settings().prepare_timeout),
                Vec::new(),
            ),
        },
        JobPhase::Ended { outcome, .. } => (StatusReason::Ended(*outcome), None, Vec::new()),
    };
    Some(Explanation { job: job.spec.job.clone(), reason, latest_start, holders })
}

type ReasonParts = (StatusReason, Option<Time>, Vec<CellHolder>);

fn explain_waiting(state: &SchedulerState, job: &JobState, now: Time) -> ReasonParts {
    let occupancy = state.occupancy();
    let Some(request) = GangRequest::of(occupancy, &job.spec) else {
        return (StatusReason::Infeasible, None, Vec::new());
    };
    let own = request.guaranteed(occupancy, &job.spec);
    let claimed = own.and_then(|request| {
        claim_cells(state, &mut occupancy.clone(), &job.spec.team, &request, &[], &[])
    });
    if claimed.is_some() && (request.order.is_some() || !job.spec.preemptible()) {
        return (StatusReason::Grantable, Some(now + reclaim_bound(state)), Vec::new());
    }
    if waits_for_drains(state, job, &request) {
        let names: Vec<_> = state.drained_centers().iter().map(ToString::to_string).collect();
        let reason = StatusReason::CentersDrained(names.join(", "));
        return (reason, None, holders(state, job, &request, now));
    }
    if !job.spec.preemptible() && request.order.is_some() {
        return (StatusReason::GuaranteeInUse, None, holders(state, job, &request, now));
    }
    let reason = match free_cells(occupancy, &request, &[]) {
        Some(_) => StatusReason::KeptForGang,
        None => StatusReason::NoFreeCells,
    };
    let feasible = plan_eviction(state, occupancy, &request, CostTotal::Sum, |other| {
        other.attempt().filter(|a| a.borrowed && other.id > job.id).map(|_| 1)
    });
    let exclusive_from = job.submitted + state.settings().exclusive_age;
    let latest_start = feasible.map(|_| exclusive_from.max(now) + reclaim_bound(state));
    (reason, latest_start, holders(state, job, &request, now))
}

/// Whether a job that cannot be placed now could be if no data centre were drained, or whether the
/// other data centres could not hold it even if they were idle.
fn waits_for_drains(state: &SchedulerState, job: &JobState, request: &GangRequest) -> bool {
    if state.drained_centers().is_empty() {
        return false;
    }
    let occupancy = state.occupancy();
    let may_borrow = job.spec.preemptible() || request.order.is_none();
    if may_borrow && free_cells(occupancy, request, &[]).is_some() {
        return false;
    }
    let is_drained = |slot: &WorkerSlot| state.is_center_drained(&slot.instance);
    let excluded: Vec<_> =
        occupancy.slots.iter().map(|slot| if is_drained(slot) { u64::MAX } else { 0 }).collect();
    if !fits_idle(occupancy, request, &excluded) {
        return true;
    }
    let mut open = state.undrained_occupancy();
    if may_borrow && free_cells(&open, request, &[]).is_some() {
        return true;
    }
    let own = request.guaranteed(&open, &job.spec);
    own.is_some_and(|own| claim_cells(state, &mut open, &job.spec.team, &own, &[], &[]).is_some())
}

/// Longest time from a stop until the last lease has expired and the next job is prepared.
fn reclaim_bound(state: &SchedulerState) -> std::time::Duration {
    let settings = state.settings();
    settings.grace + settings.borrowed_lease + settings.clock_error_max + settings.prepare_timeout
}

/// Holders of the cells that are expected to be free first.
fn holders(
    state: &SchedulerState,
    job: &JobState,
    request: &GangRequest,
    now: Time,
) -> Vec<CellHolder> {
    let found = plan_eviction(state, state.occupancy(), request, CostTotal::Max, |other| {
        let attempt = other.attempt().filter(|_| other.id != job.id)?;
        Some(predict::expected_end(state, other, attempt, now).as_micros())
    });
    let victims = found.map(|found| found.victims).unwrap_or_default();
    let jobs = victims.into_iter().filter_map(|id| state.job_by_number(id));
    sort_holders(jobs.filter_map(|other| holder(state, other, now)).collect())
}

fn sort_holders(mut holders: Vec<CellHolder>) -> Vec<CellHolder> {
    holders.sort_by(|a, b| (a.until, &a.job).cmp(&(b.until, &b.job)));
    holders
}

fn holder(state: &SchedulerState, other: &JobState, now: Time) -> Option<CellHolder> {
    let attempt = other.attempt()?;
    Some(CellHolder {
        job: other.spec.job.clone(),
        team: other.spec.team.clone(),
        cells: attempt.cells.clone(),
        borrowed: attempt.borrowed,
        until: predict::expected_end(state, other, attempt, now),
    })
}

fn explain_clearing(
    state: &SchedulerState,
    job: &JobState,
    cells: &[Cell],
    now: Time,
) -> ReasonParts {
    let found = jobs_on_cells(state, state.occupancy(), cells);
    let others = found.into_iter().filter(|other| other.id != job.id);
    let others: Vec<_> = others.filter_map(|other| holder(state, other, now)).collect();
    let last = others.iter().map(|holder| holder.until).max().unwrap_or(now);
    (
        StatusReason::Clearing,
        Some(last.max(now) + state.settings().prepare_timeout),
        sort_holders(others),
    )
}

fn jobs_on_cells<'a>(
    state: &'a SchedulerState,
    occupancy: &Occupancy,
    cells: &[Cell],
) -> Vec<&'a JobState> {
    let mut ids = std::collections::BTreeSet::new();
    for chosen in cells {
        let Some(slot) = occupancy.slot_of(&chosen.instance) else {
            continue;
        };
        for &(id, member) in &occupancy.slot(slot).tasks {
            let attempt = state.job_by_number(id).and_then(JobState::attempt);
            let cell = attempt.map(|a| &a.cells[member as usize]);
            if cell.is_some_and(|cell| cell.mask() & chosen.mask() != 0) {
                ids.insert(id);
            }
        }
    }
    ids.into_iter().filter_map(|id| state.job_by_number(id)).collect()
}
