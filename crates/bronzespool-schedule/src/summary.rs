//! Guarantees, what is lent, fragmentation and utilisation at one time.

use {
    crate::{
        book::Book,
        job::Phase,
        mix::fragmentation,
        policy::fit::{demand, shortfall},
    },
    bronzespool_core::{Instance, Level, Shape, Team},
    serde::{Deserialize, Serialize},
};

/// Guarantee of one team and what it holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamSummary {
    /// The team.
    pub team: Team,
    /// Guaranteed shapes.
    pub shapes: Vec<Shape>,
    /// Guaranteed cells in use.
    pub bound: Vec<Shape>,
    /// Accelerators held in all.
    pub accels: u64,
    /// Accelerators of these that are borrowed.
    pub borrowed: u64,
    /// Jobs that wait.
    pub waiting: usize,
}

/// State of the whole system.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Teams with a guarantee, work or both.
    pub teams: Vec<TeamSummary>,
    /// Guaranteed cells that could not be claimed now: none in health.
    pub broken: Vec<Shape>,
    /// Teams whose guaranteed cells in use have lost a worker.
    pub degraded: Vec<Team>,
    /// Accelerators of reachable workers.
    pub total: u64,
    /// Accelerators held by work.
    pub used: u64,
    /// Accelerators of these that are borrowed.
    pub lent: u64,
    /// Share of accelerators held, between 0 and 1.
    pub utilisation: f64,
    /// Share of free accelerators that the mix of shapes cannot use, between 0 and 1.
    pub fragmentation: f64,
    /// Jobs that wait.
    pub waiting: usize,
    /// Jobs whose cells are being cleared.
    pub reserved: usize,
    /// Jobs that hold cells.
    pub active: usize,
    /// Workers that are lost.
    pub lost: Vec<Instance>,
    /// Workers in quarantine.
    pub quarantined: Vec<Instance>,
}

/// State of the whole system.
pub fn summary(book: &Book) -> Summary {
    let grid = book.grid();
    let open = || grid.slots.iter().filter(|slot| slot.open);
    let total: u64 = open().map(|slot| u64::from(slot.accels())).sum();
    let used: u64 = open().map(|slot| u64::from(slot.used.count_ones())).sum();
    let count = |f: fn(&Phase) -> bool| book.jobs().filter(|job| f(&job.phase)).count();
    let named = |f: fn(&crate::book::Worker) -> bool| {
        let found = book.workers().iter().filter(|(_, worker)| f(worker));
        found.map(|(name, _)| name.clone()).collect()
    };
    let teams: Vec<_> = teams(book);
    Summary {
        broken: shapes(shortfall(grid, &demand(book))),
        degraded: degraded(book),
        total,
        used,
        lent: teams.iter().map(|team| team.borrowed).sum(),
        utilisation: if total == 0 { 0.0 } else { used as f64 / total as f64 },
        fragmentation: fragmentation(grid, book.mix()),
        waiting: count(|phase| matches!(phase, Phase::Waiting { .. })),
        reserved: count(|phase| matches!(phase, Phase::Reserved { .. })),
        active: count(|phase| matches!(phase, Phase::Active(_))),
        lost: named(|worker| !worker.up && !worker.leaving),
        quarantined: named(|worker| worker.quarantine.is_some()),
        teams,
    }
}

fn shapes(cells: impl IntoIterator<Item = (Level, u32)>) -> Vec<Shape> {
    cells.into_iter().map(|(level, count)| Shape::new(level, count)).collect()
}

fn teams(book: &Book) -> Vec<TeamSummary> {
    let queued = book.queues().map(|(team, _)| team.clone());
    let mut names: Vec<Team> = book.teams().keys().cloned().chain(queued).collect();
    names.extend(book.ledgers().map(|(team, _)| team.clone()));
    names.sort_unstable();
    names.dedup();
    names.into_iter().map(|team| team_summary(book, team)).collect()
}

fn team_summary(book: &Book, team: Team) -> TeamSummary {
    let state = book.teams().get(&team).cloned().unwrap_or_default();
    let ledger = book.ledger(&team);
    let mut bound = std::collections::BTreeMap::new();
    for bind in &state.binds {
        *bound.entry(bind.level).or_default() += 1;
    }
    let waiting = book.queue(&team).count();
    TeamSummary {
        team,
        shapes: shapes(state.shapes),
        bound: shapes(bound),
        accels: ledger.accels,
        borrowed: ledger.lent,
        waiting,
    }
}

fn degraded(book: &Book) -> Vec<Team> {
    let grid = book.grid();
    let is_lost = |&(slot, mask): &(u32, u64)| mask != 0 && !grid.at(slot).open;
    let lost = book
        .teams()
        .iter()
        .filter(|(_, state)| state.binds.iter().any(|bind| grid.covers(bind).iter().any(is_lost)));
    lost.map(|(team, _)| team.clone()).collect()
}
