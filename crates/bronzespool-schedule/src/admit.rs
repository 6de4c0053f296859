//! Whether a job can ever run, known when it is submitted.
//!
//! A job is refused only if no state of the known workers could hold it: what is uncertain is let
//! into the queue. Lost and quarantined workers count, since they may come back.

use {
    crate::{
        book::Book,
        cell::ACCELS_MAX,
        job::JobSpec,
        policy::{
            claim::claim,
            place::{Ask, fits_idle, idle_capacity, scopes},
        },
    },
    bronzespool_core::{Code, Level},
    displaydoc::Display,
};

/// Result of the check.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Why a job is refused for good.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
/// {code}: {reason}
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// What is missing.
    pub reason: String,
}

impl std::error::Error for Refusal {}

fn refuse<T>(reason: String) -> Result<T> {
    Err(Refusal { code: Code::Infeasible, reason })
}

/// Whether the workers known to `book` could ever hold the job.
///
/// # Errors
///
/// [`Refusal`] with [`Code::Infeasible`] names what is missing.
pub fn admit(book: &Book, spec: &JobSpec) -> Result<()> {
    check_form(spec)?;
    let grid = book.grid();
    let Some(ask) = Ask::of(grid, spec) else {
        return refuse(format!(
            "no worker has {} adjacent accelerators with {} thousandths of a core and {} MiB",
            spec.need.accels, spec.need.cores, spec.need.memory
        ));
    };
    let plain = fits_idle(grid, &ask, &[]);
    if ask.order.is_none() && plain {
        return Ok(());
    }
    if ask.order.is_some() && !plain {
        return refuse(format!(
            "no {} holds {} members of {} accelerators",
            spec.adjacent,
            spec.members,
            ask.accels()
        ));
    }
    if spec.preemptible() {
        return if plain { Ok(()) } else { refuse(too_large(spec)) };
    }
    let Some(ask) = ask.guaranteed(grid, spec) else {
        return refuse(too_large(spec));
    };
    if !fits_idle(grid, &ask, &[]) {
        return refuse(too_large(spec));
    }
    check_guarantee(book, spec, &ask)
}

fn check_form(spec: &JobSpec) -> Result<()> {
    if spec.members == 0 {
        return refuse("a gang needs at least one member".to_owned());
    }
    let accels = spec.need.accels;
    if accels != 0 && (!accels.is_power_of_two() || accels > ACCELS_MAX) {
        return refuse(format!("{accels} accelerators are no power of two up to {ACCELS_MAX}"));
    }
    Ok(())
}

fn too_large(spec: &JobSpec) -> String {
    format!(
        "no {} holds {} members of {} thousandths of a core and {} MiB",
        spec.adjacent, spec.members, spec.need.cores, spec.need.memory
    )
}

/// Whether the team's guarantee has enough cells for work that may not be interrupted.
fn check_guarantee(book: &Book, spec: &JobSpec, ask: &Ask) -> Result<()> {
    let order = ask.order.unwrap_or(0);
    let grid = book.grid();
    let most = |level: Level| {
        let sums = scopes(grid, level).into_iter().map(|scope| {
            scope.slots.iter().map(|&s| idle_capacity(grid, s, &scope, ask)).sum::<u64>()
        });
        sums.max().unwrap_or(0)
    };
    let shapes = book.teams().get(&spec.team).map(|team| &team.shapes);
    let held: u64 = shapes
        .into_iter()
        .flatten()
        .map(|(&level, &count)| {
            let each = match level {
                Level::Block(outer) if outer < order => 0,
                Level::Block(outer) => 1 << (outer - order),
                _ => most(level),
            };
            each * u64::from(count)
        })
        .sum();
    if held >= u64::from(ask.members) {
        return check_single(book, spec, ask);
    }
    refuse(format!(
        "the job may not be interrupted, so it needs the guarantee of team {}, which holds {} of {} members",
        spec.team, held, ask.members
    ))
}

/// Whether the only guaranteed cell of a team could hold the job while all others still pack.
///
/// With several cells the places depend on each other, and the job is let in.
fn check_single(book: &Book, spec: &JobSpec, ask: &Ask) -> Result<()> {
    let cells: u32 = book.teams()[&spec.team].shapes.values().sum();
    if cells != 1 {
        return Ok(());
    }
    let idle = book.idle();
    let found = claim(&idle, &mut idle.grid().clone(), &spec.team, ask, &[]);
    if found.is_some() {
        return Ok(());
    }
    refuse(format!(
        "the job may not be interrupted, and no cell of the guarantee of team {} holds it while the \
         guarantees of all teams pack",
        spec.team
    ))
}
