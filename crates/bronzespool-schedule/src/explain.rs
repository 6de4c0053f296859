//! Why a job waits, what for, until when at the latest, and who holds what it could use.

use {
    crate::{
        book::{Book, grid::Grid},
        cell::Cell,
        job::{JobState, Phase},
        policy::{
            claim::claim,
            evict::{Total, evict},
            place::{Ask, free_cells},
            predict,
        },
        record::{JobOutcome, StopReason},
    },
    bronzespool_core::{Job, Team, Time},
    displaydoc::Display,
    serde::{Deserialize, Serialize},
};

/// Why a job stands where it stands.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// it runs
    Runs,
    /// its members prepare to start
    Prepares,
    /// it is being stopped: {0:?}
    Stops(StopReason),
    /// it ended: {0:?}
    Ended(JobOutcome),
    /// its last start failed: it is tried again after a pause
    Pauses,
    /// its cells are chosen and are being cleared of other work
    Clears,
    /// its own guarantee has room: it is granted with the next decision
    Granted,
    /// its team uses the guarantee that it needs, and it may not borrow
    GuaranteeUsed,
    /// no cells are free to borrow
    NoCells,
    /// cells are free, but kept for a gang that has waited longer
    Kept,
    /// no known worker can hold a member
    Infeasible,
}

/// Work that holds cells which the job could use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
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
    pub reason: Reason,
    /// When it starts at the latest, if that is bounded and no worker is lost meanwhile.
    pub latest: Option<Time>,
    /// Who holds what it could use, those expected to leave first in front.
    pub holders: Vec<Holder>,
}

/// Explains the state of a job; none if the book does not know it.
pub fn explain(book: &Book, job: &Job, now: Time) -> Option<Explanation> {
    let job = book.job(job)?;
    let (reason, latest, holders) = match &job.phase {
        Phase::Waiting { after } if *after > now => (Reason::Pauses, None, Vec::new()),
        Phase::Waiting { .. } => waiting(book, job, now),
        Phase::Reserved { cells, .. } => clearing(book, job, cells, now),
        Phase::Active(attempt) => match (attempt.stop, attempt.started) {
            (Some(stop), _) => (Reason::Stops(stop.reason), None, Vec::new()),
            (None, Some(started)) => (Reason::Runs, Some(started), Vec::new()),
            (None, None) => {
                (Reason::Prepares, Some(attempt.granted + book.settings().prepare), Vec::new())
            }
        },
        Phase::Ended { outcome, .. } => (Reason::Ended(*outcome), None, Vec::new()),
    };
    Some(Explanation { job: job.spec.job.clone(), reason, latest, holders })
}

type Parts = (Reason, Option<Time>, Vec<Holder>);

fn waiting(book: &Book, job: &JobState, now: Time) -> Parts {
    let grid = book.grid();
    let Some(ask) = Ask::of(grid, &job.spec) else {
        return (Reason::Infeasible, None, Vec::new());
    };
    let own = ask.guaranteed(grid, &job.spec);
    let claimed = own.and_then(|ask| claim(book, &mut grid.clone(), &job.spec.team, &ask, &[]));
    if claimed.is_some() && (ask.order.is_some() || !job.spec.preemptible()) {
        return (Reason::Granted, Some(now + reclaim_bound(book)), Vec::new());
    }
    if !job.spec.preemptible() && ask.order.is_some() {
        return (Reason::GuaranteeUsed, None, holders(book, job, &ask, now));
    }
    let reason = match free_cells(grid, &ask, &[]) {
        Some(_) => Reason::Kept,
        None => Reason::NoCells,
    };
    let feasible = evict(book, grid, &ask, Total::Sum, |other| {
        other.attempt().filter(|a| a.borrowed && other.id > job.id).map(|_| 1)
    });
    let age = job.submitted + book.settings().exclusive;
    let latest = feasible.map(|_| age.max(now) + reclaim_bound(book));
    (reason, latest, holders(book, job, &ask, now))
}

/// Longest time from a stop to the end of the last lease, and to prepare after it.
fn reclaim_bound(book: &Book) -> std::time::Duration {
    let settings = book.settings();
    settings.grace + settings.lease + settings.clock_bound + settings.prepare
}

/// Who holds the cells that are expected to be free first.
fn holders(book: &Book, job: &JobState, ask: &Ask, now: Time) -> Vec<Holder> {
    let found = evict(book, book.grid(), ask, Total::Max, |other| {
        let attempt = other.attempt().filter(|_| other.id != job.id)?;
        Some(predict::end(book, other, attempt, now).as_micros())
    });
    let victims = found.map(|found| found.victims).unwrap_or_default();
    let jobs = victims.into_iter().filter_map(|id| book.job_at(id));
    sorted(jobs.filter_map(|other| holder(book, other, now)).collect())
}

fn sorted(mut holders: Vec<Holder>) -> Vec<Holder> {
    holders.sort_by(|a, b| (a.until, &a.job).cmp(&(b.until, &b.job)));
    holders
}

fn holder(book: &Book, other: &JobState, now: Time) -> Option<Holder> {
    let attempt = other.attempt()?;
    Some(Holder {
        job: other.spec.job.clone(),
        team: other.spec.team.clone(),
        cells: attempt.cells.clone(),
        borrowed: attempt.borrowed,
        until: predict::end(book, other, attempt, now),
    })
}

fn clearing(book: &Book, job: &JobState, cells: &[Cell], now: Time) -> Parts {
    let found = on_cells(book, book.grid(), cells);
    let others = found.into_iter().filter(|other| other.id != job.id);
    let others: Vec<_> = others.filter_map(|other| holder(book, other, now)).collect();
    let last = others.iter().map(|holder| holder.until).max().unwrap_or(now);
    (Reason::Clears, Some(last.max(now) + book.settings().prepare), sorted(others))
}

fn on_cells<'a>(book: &'a Book, grid: &Grid, cells: &[Cell]) -> Vec<&'a JobState> {
    let mut ids = std::collections::BTreeSet::new();
    for held in cells {
        let Some(slot) = grid.slot(&held.instance) else {
            continue;
        };
        for &(id, member) in &grid.at(slot).tasks {
            let attempt = book.job_at(id).and_then(JobState::attempt);
            let cell = attempt.map(|a| &a.cells[member as usize]);
            if cell.is_some_and(|cell| cell.mask() & held.mask() != 0) {
                ids.insert(id);
            }
        }
    }
    ids.into_iter().filter_map(|id| book.job_at(id)).collect()
}
