//! Room that work with time to spare leaves to guaranteed jobs.
//!
//! Load it answers: guaranteed jobs that come every few seconds onto workers full of long tasks.
//! Without this, tasks that could as well run later are started on the last free room and stopped
//! a moment after, again and again. A typical guaranteed job of late has to fit beside them; where
//! it does not fit anyway, nothing is held back.

use {
    crate::{
        id::StepId,
        ledger::{Job, Ledger},
        plan::{
            Scene, Unit,
            order::Standing,
            outlook::Outlook,
            place::{Reach, place},
            room::Room,
            unit::{Waiting, fresh},
        },
    },
    std::time::Duration,
};

/// Age of guaranteed jobs that tell what the next one may need.
const LATELY: Duration = Duration::from_secs(30);

/// Whether a unit may wait without being late, and its service is not idle.
pub(super) fn is_patient(
    unit: &Unit<'_>,
    outlook: &Outlook,
    room: &Room<'_>,
    standing: &Standing,
) -> bool {
    standing.priority(unit.job) > 0
        && outlook.is_patient()
        && !room.is_idle(room.ledger.service(unit.job))
}

/// Takes the room of a typical guaranteed job.
pub(super) fn hold(room: &mut Room<'_>, ledger: &Ledger, scene: &Scene) {
    let Some(job) = typical(ledger, scene) else { return };
    let Some(shape) = job.shape(0) else { return };
    let tasks: Vec<Waiting> = (0..shape.count).map(fresh).collect();
    let step = StepId { job: job.spec.id, occurrence: 0, step: 0 };
    let unit = Unit { job, step, shape, tasks, advised: false, since: scene.now };
    if let Some(placement) = place(&unit, room, Reach::Near) {
        room.take(&unit, &placement);
    }
}

/// The guaranteed job of middle size among those of late.
fn typical<'a>(ledger: &'a Ledger, scene: &Scene) -> Option<&'a Job> {
    let config = ledger.config()?;
    let guaranteed = |j: &&Job| {
        let team = j.spec.team.as_deref();
        ledger.priority(j) == 0 && team.is_some_and(|t| config.guaranteed(t) > 0)
    };
    let weight = |j: &&Job| j.shape(0).map_or(0, |s| s.need.times(u64::from(s.count)).weight());
    let lately = ledger.jobs().filter(|j| scene.now.since(j.submitted) < LATELY);
    let mut jobs: Vec<&Job> = lately.filter(guaranteed).collect();
    jobs.sort_by_key(weight);
    jobs.get(jobs.len() / 2).copied()
}
