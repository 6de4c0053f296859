//! Admission control, which refuses jobs at submission that can never run.
//!
//! A job is refused only if the known workers could not hold it in any state; if that is uncertain,
//! the job is queued. Lost and quarantined workers count, since they may come back.

use {
    crate::{
        cell::ACCELS_MAX,
        job::JobSpec,
        policy::{
            claim::claim_cells,
            place::{GangRequest, fits_idle, idle_capacity, scopes},
        },
        state::SchedulerState,
    },
    bronzespool_core::{Code, Level},
    displaydoc::Display,
};

/// Result of the check.
pub type Result<T> = std::result::Result<T, AdmissionRefusal>;

/// Permanent refusal of a job.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
/// {code}: {reason}
pub struct AdmissionRefusal {
    /// The result code.
    pub code: Code,
    /// The resources that are missing, in words.
    pub reason: String,
}

impl std::error::Error for AdmissionRefusal {}

fn refuse<T>(reason: String) -> Result<T> {
    Err(AdmissionRefusal { code: Code::Infeasible, reason })
}

/// Checks whether the known workers could ever hold the job.
///
/// # Errors
///
/// [`AdmissionRefusal`] with [`Code::Infeasible`] and the resources that are missing.
pub fn admit(state: &SchedulerState, spec: &JobSpec) -> Result<()> {
    check_shape(spec)?;
    let occupancy = state.occupancy();
    let Some(request) = GangRequest::of(occupancy, spec) else {
        return refuse(format!(
            "no worker has {} adjacent accelerators with {} thousandths of a core and {} MiB",
            spec.need.accels, spec.need.cores, spec.need.memory
        ));
    };
    let fits = fits_idle(occupancy, &request, &[]);
    if request.order.is_none() && fits {
        return Ok(());
    }
    if request.order.is_some() && !fits {
        return refuse(format!(
            "no {} holds {} members of {} accelerators",
            spec.adjacent,
            spec.members,
            request.accels()
        ));
    }
    if spec.preemptible() {
        return if fits { Ok(()) } else { refuse(too_large(spec)) };
    }
    let Some(request) = request.guaranteed(occupancy, spec) else {
        return refuse(too_large(spec));
    };
    if !fits_idle(occupancy, &request, &[]) {
        return refuse(too_large(spec));
    }
    check_guarantee(state, spec, &request)
}

fn check_shape(spec: &JobSpec) -> Result<()> {
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

/// Checks whether the guarantee of the team has enough cells for a job that may not be interrupted.
fn check_guarantee(state: &SchedulerState, spec: &JobSpec, request: &GangRequest) -> Result<()> {
    let order = request.order.unwrap_or(0);
    let occupancy = state.occupancy();
    let largest_capacity = |level: Level| {
        let sums = scopes(occupancy, level).into_iter().map(|scope| {
            scope.slots.iter().map(|&s| idle_capacity(occupancy, s, &scope, request)).sum::<u64>()
        });
        sums.max().unwrap_or(0)
    };
    let shapes = state.teams().get(&spec.team).map(|team| &team.shapes);
    let capacity: u64 = shapes
        .into_iter()
        .flatten()
        .map(|(&level, &count)| {
            let each = match level {
                Level::Block(outer) if outer < order => 0,
                Level::Block(outer) => 1 << (outer - order),
                _ => largest_capacity(level),
            };
            each * u64::from(count)
        })
        .sum();
    if capacity >= u64::from(request.members) {
        return check_single_cell(state, spec, request);
    }
    refuse(format!(
        "the job may not be interrupted, so it needs the guarantee of team {}, which holds {} of {} members",
        spec.team, capacity, request.members
    ))
}

/// If the team has a single guaranteed cell, checks whether the cell could hold the job while all
/// other guarantees can still be packed.
///
/// With several cells their places depend on each other, and the job is admitted.
fn check_single_cell(state: &SchedulerState, spec: &JobSpec, request: &GangRequest) -> Result<()> {
    let cells: u32 = state.teams()[&spec.team].shapes.values().sum();
    if cells != 1 {
        return Ok(());
    }
    let idle = state.idle();
    let found = claim_cells(&idle, &mut idle.occupancy().clone(), &spec.team, request, &[], &[]);
    if found.is_some() {
        return Ok(());
    }
    refuse(format!(
        "the job may not be interrupted, and no cell of the guarantee of team {} holds it while the \
         guarantees of all teams pack",
        spec.team
    ))
}
