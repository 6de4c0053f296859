//! Whether a job can ever run, known when it is submitted.
//!
//! A job is refused only if no state of the known workers could hold it: what is uncertain is let
//! into the queue. Lost and quarantined workers count, since they may come back.

use {
    crate::{
        cell::ACCELS_MAX,
        job::JobSpec,
        policy::{
            claim::claim,
            place::{GangRequest, fits_idle, idle_capacity, scopes},
        },
        state::SchedulerState,
    },
    bronzespool_core::{Code, Level},
    displaydoc::Display,
};

/// Result of the check.
pub type Result<T> = std::result::Result<T, AdmissionRefusal>;

/// Why a job is refused for good.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
/// {code}: {reason}
pub struct AdmissionRefusal {
    /// The result code.
    pub code: Code,
    /// What is missing.
    pub reason: String,
}

impl std::error::Error for AdmissionRefusal {}

fn refuse<T>(reason: String) -> Result<T> {
    Err(AdmissionRefusal { code: Code::Infeasible, reason })
}

/// Whether the workers known to `state` could ever hold the job.
///
/// # Errors
///
/// [`AdmissionRefusal`] with [`Code::Infeasible`] names what is missing.
pub fn admit(state: &SchedulerState, spec: &JobSpec) -> Result<()> {
    check_form(spec)?;
    let occupancy = state.occupancy();
    let Some(ask) = GangRequest::of(occupancy, spec) else {
        return refuse(format!(
            "no worker has {} adjacent accelerators with {} thousandths of a core and {} MiB",
            spec.need.accels, spec.need.cores, spec.need.memory
        ));
    };
    let plain = fits_idle(occupancy, &ask, &[]);
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
    let Some(ask) = ask.guaranteed(occupancy, spec) else {
        return refuse(too_large(spec));
    };
    if !fits_idle(occupancy, &ask, &[]) {
        return refuse(too_large(spec));
    }
    check_guarantee(state, spec, &ask)
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
fn check_guarantee(state: &SchedulerState, spec: &JobSpec, ask: &GangRequest) -> Result<()> {
    let order = ask.order.unwrap_or(0);
    let occupancy = state.occupancy();
    let most = |level: Level| {
        let sums = scopes(occupancy, level).into_iter().map(|scope| {
            scope.slots.iter().map(|&s| idle_capacity(occupancy, s, &scope, ask)).sum::<u64>()
        });
        sums.max().unwrap_or(0)
    };
    let shapes = state.teams().get(&spec.team).map(|team| &team.shapes);
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
        return check_single(state, spec, ask);
    }
    refuse(format!(
        "the job may not be interrupted, so it needs the guarantee of team {}, which holds {} of {} members",
        spec.team, held, ask.members
    ))
}

/// Whether the only guaranteed cell of a team could hold the job while all others still pack.
///
/// With several cells the places depend on each other, and the job is let in.
fn check_single(state: &SchedulerState, spec: &JobSpec, ask: &GangRequest) -> Result<()> {
    let cells: u32 = state.teams()[&spec.team].shapes.values().sum();
    if cells != 1 {
        return Ok(());
    }
    let idle = state.idle();
    let found = claim(&idle, &mut idle.occupancy().clone(), &spec.team, ask, &[], &[]);
    if found.is_some() {
        return Ok(());
    }
    refuse(format!(
        "the job may not be interrupted, and no cell of the guarantee of team {} holds it while the \
         guarantees of all teams pack",
        spec.team
    ))
}
