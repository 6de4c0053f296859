//! Why a job waits, what for, until when at the latest, and who holds what it could use.

use {
    crate::{
        cell::Cell,
        job::{JobPhase, JobState},
        policy::{
            claim::claim,
            evict::{CostTotal, evict},
            place::{GangRequest, free_cells},
            predict,
        },
        record::{JobOutcome, StopReason},
        state::{SchedulerState, occupancy::Occupancy},
    },
    bronzespool_core::{Job, Team, Time},
    displaydoc::Display,
    serde::{Deserialize, Serialize},
};

/// Why a job stands where it stands.
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
}

/// Work that holds cells which the job could use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellHolder {
    /// The job that holds them.
    pub job: Job,
    /// Its team.
    pub team: Team,
    /// Cells that it holds.
    pub cells: Vec<Cell>,
    /// Whether it borrows them.
    pub borrowed: bool,
    /// When it is expected to leave them.
    pub until: Time,
}

/// Why a job waits and what for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The job.
    pub job: Job,
    /// Why it stands where it stands.
    pub reason: StatusReason,
    /// When it starts at the latest, if that is bounded and no worker is lost meanwhile.
    pub latest_start: Option<Time>,
    /// Who holds what it could use, those expected to leave first in front.
    pub holders: Vec<CellHolder>,
}

/// Explains the state of a job; none if the book does not know it.
pub fn explain(state: &SchedulerState, job: &Job, now: Time) -> Option<Explanation> {
    let job = state.job(job)?;
    let (reason, latest_start, holders) = match &job.phase {
        JobPhase::Waiting { not_before } if *not_before > now => {
            (StatusReason::BackingOff, None, Vec::new())
        }
        JobPhase::Waiting { .. } => waiting(state, job, now),
        JobPhase::Reserved { cells, .. } => clearing(state, job, cells, now),
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

type Parts = (StatusReason, Option<Time>, Vec<CellHolder>);

fn waiting(state: &SchedulerState, job: &JobState, now: Time) -> Parts {
    let occupancy = state.occupancy();
    let Some(ask) = GangRequest::of(occupancy, &job.spec) else {
        return (StatusReason::Infeasible, None, Vec::new());
    };
    let own = ask.guaranteed(occupancy, &job.spec);
    let claimed =
        own.and_then(|ask| claim(state, &mut occupancy.clone(), &job.spec.team, &ask, &[], &[]));
    if claimed.is_some() && (ask.order.is_some() || !job.spec.preemptible()) {
        return (StatusReason::Grantable, Some(now + reclaim_bound(state)), Vec::new());
    }
    if !job.spec.preemptible() && ask.order.is_some() {
        return (StatusReason::GuaranteeInUse, None, holders(state, job, &ask, now));
    }
    let reason = match free_cells(occupancy, &ask, &[]) {
        Some(_) => StatusReason::KeptForGang,
        None => StatusReason::NoFreeCells,
    };
    let feasible = evict(state, occupancy, &ask, CostTotal::Sum, |other| {
        other.attempt().filter(|a| a.borrowed && other.id > job.id).map(|_| 1)
    });
    let age = job.submitted + state.settings().exclusive_age;
    let latest_start = feasible.map(|_| age.max(now) + reclaim_bound(state));
    (reason, latest_start, holders(state, job, &ask, now))
}

/// Longest time from a stop to the end of the last lease, and to prepare after it.
fn reclaim_bound(state: &SchedulerState) -> std::time::Duration {
    let settings = state.settings();
    settings.grace + settings.borrowed_lease + settings.clock_error_max + settings.prepare_timeout
}

/// Who holds the cells that are expected to be free first.
fn holders(
    state: &SchedulerState,
    job: &JobState,
    ask: &GangRequest,
    now: Time,
) -> Vec<CellHolder> {
    let found = evict(state, state.occupancy(), ask, CostTotal::Max, |other| {
        let attempt = other.attempt().filter(|_| other.id != job.id)?;
        Some(predict::end(state, other, attempt, now).as_micros())
    });
    let victims = found.map(|found| found.victims).unwrap_or_default();
    let jobs = victims.into_iter().filter_map(|id| state.job_at(id));
    sorted(jobs.filter_map(|other| holder(state, other, now)).collect())
}

fn sorted(mut holders: Vec<CellHolder>) -> Vec<CellHolder> {
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
        until: predict::end(state, other, attempt, now),
    })
}

fn clearing(state: &SchedulerState, job: &JobState, cells: &[Cell], now: Time) -> Parts {
    let found = on_cells(state, state.occupancy(), cells);
    let others = found.into_iter().filter(|other| other.id != job.id);
    let others: Vec<_> = others.filter_map(|other| holder(state, other, now)).collect();
    let last = others.iter().map(|holder| holder.until).max().unwrap_or(now);
    (StatusReason::Clearing, Some(last.max(now) + state.settings().prepare_timeout), sorted(others))
}

fn on_cells<'a>(
    state: &'a SchedulerState,
    occupancy: &Occupancy,
    cells: &[Cell],
) -> Vec<&'a JobState> {
    let mut ids = std::collections::BTreeSet::new();
    for held in cells {
        let Some(slot) = occupancy.slot_of(&held.instance) else {
            continue;
        };
        for &(id, member) in &occupancy.slot(slot).tasks {
            let attempt = state.job_at(id).and_then(JobState::attempt);
            let cell = attempt.map(|a| &a.cells[member as usize]);
            if cell.is_some_and(|cell| cell.mask() & held.mask() != 0) {
                ids.insert(id);
            }
        }
    }
    ids.into_iter().filter_map(|id| state.job_at(id)).collect()
}
