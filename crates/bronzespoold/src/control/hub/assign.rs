//! The tasks that an agent should hold, read off the schedule.

use {
    bronzespool::{
        core::Instance,
        schedule::{Attempt, JobPhase, JobState, MemberState, SchedulerState},
        wire::message::{Assignment, Step, TaskId},
    },
    std::time::Duration,
};

/// Tasks of all active attempts with a member on `instance`.
pub(super) fn assignments(book: &SchedulerState, instance: &Instance) -> Vec<Assignment> {
    let span = book.settings().borrowed_lease;
    let mut list = Vec::new();
    for job in book.jobs() {
        if let JobPhase::Active(attempt) = &job.phase {
            list.extend(members(job, attempt, instance, span));
        }
    }
    list
}

fn members<'a>(
    job: &'a JobState,
    attempt: &'a Attempt,
    instance: &'a Instance,
    span: Duration,
) -> impl Iterator<Item = Assignment> + 'a {
    let here = attempt.cells.iter().zip(&attempt.members).enumerate();
    let here = here.filter(|(_, (cell, member))| cell.instance == *instance && member.holds());
    here.map(move |(number, (cell, member))| Assignment {
        task: TaskId {
            job: job.spec.job.clone(),
            attempt: attempt.number,
            member: u32::try_from(number).unwrap_or(u32::MAX),
        },
        step: step(attempt, *member),
        team: job.spec.team.clone(),
        service: job.spec.service.clone(),
        kind: job.spec.kind.clone(),
        accels: cell.first..cell.first + cell.accels,
        millis: millis(job.spec.declared_runtime.saturating_sub(job.saved_progress)),
        checkpoint: job.spec.checkpoint_interval.map(millis),
        grace: millis(attempt.lease.saturating_sub(span)),
    })
}

const fn step(attempt: &Attempt, _: MemberState) -> Step {
    if attempt.stop.is_some() {
        Step::Stop
    } else if attempt.started.is_none() {
        Step::Prepare
    } else if attempt.throttled.is_some() {
        Step::Throttle
    } else {
        Step::Run
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
