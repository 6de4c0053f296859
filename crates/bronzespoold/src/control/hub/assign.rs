//! Derives the tasks that an agent should hold from the schedule.

use {
    bronzespool::{
        core::Instance,
        schedule::{Attempt, JobPhase, JobState, MemberState, SchedulerState},
        wire::message::{Assignment, DesiredState, TaskId},
    },
    std::time::Duration,
};

/// Tasks of all active attempts with a member on `instance`.
pub(super) fn assignments(scheduler: &SchedulerState, instance: &Instance) -> Vec<Assignment> {
    let borrowed_lease = scheduler.settings().borrowed_lease;
    let mut list = Vec::new();
    for job in scheduler.jobs() {
        if let JobPhase::Active(attempt) = &job.phase {
            list.extend(member_assignments(job, attempt, instance, borrowed_lease));
        }
    }
    list
}

fn member_assignments<'a>(
    job: &'a JobState,
    attempt: &'a Attempt,
    instance: &'a Instance,
    borrowed_lease: Duration,
) -> impl Iterator<Item = Assignment> + 'a {
    let local = attempt.cells.iter().zip(&attempt.members).enumerate();
    let local = local.filter(|(_, (cell, member))| cell.instance == *instance && member.holds());
    local.map(move |(number, (cell, member))| Assignment {
        task: TaskId {
            job: job.spec.job.clone(),
            attempt: attempt.number,
            member: u32::try_from(number).unwrap_or(u32::MAX),
        },
        desired: desired_state(attempt, *member),
        team: job.spec.team.clone(),
        service: job.spec.service.clone(),
        kind: job.spec.kind.clone(),
        accels: cell.first..cell.first + cell.accels,
        runtime_millis: millis(job.spec.declared_runtime.saturating_sub(job.saved_progress)),
        checkpoint_millis: job.spec.checkpoint_interval.map(millis),
        // The agent's session ends within the borrowed lease; the task may run for the rest of the
        // attempt's lease.
        grace_millis: millis(attempt.lease.saturating_sub(borrowed_lease)),
    })
}

const fn desired_state(attempt: &Attempt, _: MemberState) -> DesiredState {
    if attempt.stop.is_some() {
        DesiredState::Stop
    } else if attempt.started.is_none() {
        DesiredState::Prepare
    } else if attempt.throttled.is_some() {
        DesiredState::Throttle
    } else {
        DesiredState::Run
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
