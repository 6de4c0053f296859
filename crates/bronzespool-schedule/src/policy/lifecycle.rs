//! Lifecycle of attempts: start, stop, lease expiry, end and retry.

use {
    super::stops::Stops,
    crate::{
        admit::admit,
        job::{Attempt, JobPhase, JobState, MemberState, PendingStop},
        record::{Event, JobOutcome, MemberOutcome, Record, StopReason},
        state::{OveruseAction, SchedulerState},
    },
    bronzespool_core::{Code, Time},
    std::time::Duration,
};

/// Largest number of doublings of the retry delay after failures.
const BACKOFF_DOUBLINGS: u32 = 6;

/// Largest number of ended jobs removed by one record.
const PRUNE_MAX: usize = 256;

/// Records for all jobs that are due at `now`.
pub(super) fn advance_attempts(stops: &Stops, state: &SchedulerState, now: Time) -> Vec<Record> {
    let events = state.due(now).filter_map(|job| next_event(stops, state, job, now));
    events.map(|event| Record::new(now, event)).collect()
}

fn next_event(stops: &Stops, state: &SchedulerState, job: &JobState, now: Time) -> Option<Event> {
    match &job.phase {
        JobPhase::Active(attempt) => match attempt.stop {
            Some(stop) => advance_stopping(stops, state, job, attempt, stop, now),
            None => Some(advance_running(state, job, attempt, now)),
        },
        JobPhase::Waiting { .. } => refuse_waiting(state, job, now),
        JobPhase::Reserved { .. } | JobPhase::Ended { .. } => None,
    }
}

fn refuse_waiting(state: &SchedulerState, job: &JobState, now: Time) -> Option<Event> {
    let name = job.spec.job.clone();
    if state.is_faulty_job(job) {
        let reason = format!("failed on {} workers", job.failed_workers.len());
        return Some(Event::Refused { job: name, code: Code::JobRefused, reason });
    }
    let expired = job.spec.deadline.is_some_and(|deadline| deadline <= now);
    expired.then(|| Event::Refused {
        job: name,
        code: Code::DeadlinePassed,
        reason: "the deadline passed before the job was started".to_owned(),
    })
}

fn advance_running(state: &SchedulerState, job: &JobState, attempt: &Attempt, now: Time) -> Event {
    let name = job.spec.job.clone();
    let number = attempt.number;
    let done = MemberState::Stopped(MemberOutcome::Done);
    if attempt.members.iter().all(|m| *m == done) {
        return Event::Ended { job: name, outcome: JobOutcome::Done };
    }
    let failed =
        |m: &MemberState| matches!(m, MemberState::Stopped(o) if *o != MemberOutcome::Done);
    if attempt.members.iter().any(failed) || state.has_lost_member(attempt) {
        return stop_event(state, job, attempt, StopReason::MemberLost, Duration::ZERO, now);
    }
    match state.overuse(job, attempt) {
        Some(OveruseAction::Throttle) => return Event::Throttled { job: name, attempt: number },
        Some(OveruseAction::Stop(reason)) => {
            return stop_event(state, job, attempt, reason, state.settings().grace, now);
        }
        None => {}
    }
    if attempt.started.is_none() && state.uses_drained_center(attempt) {
        return stop_event(state, job, attempt, StopReason::Move, Duration::ZERO, now);
    }
    if attempt.members.iter().all(|m| *m == MemberState::Prepared) {
        return Event::Started { job: name, attempt: number };
    }
    stop_event(state, job, attempt, StopReason::Prepare, Duration::ZERO, now)
}

/// Event that tells the members of an attempt to stop.
///
/// The cells of an attempt that was not started are free at once, since none of its members can
/// still be running.
pub(super) fn stop_event(
    state: &SchedulerState,
    job: &JobState,
    attempt: &Attempt,
    reason: StopReason,
    grace: Duration,
    now: Time,
) -> Event {
    let deadline = match attempt.started {
        Some(_) => attempt.leases_end(now, grace, state.settings()),
        None => now,
    };
    Event::Stopping { job: job.spec.job.clone(), attempt: attempt.number, reason, deadline }
}

/// Next event of a stopping attempt; `None` while a lease may still be running.
fn advance_stopping(
    stops: &Stops,
    state: &SchedulerState,
    job: &JobState,
    attempt: &Attempt,
    pending: PendingStop,
    now: Time,
) -> Option<Event> {
    if pending.deadline == Time::MAX {
        return Some(stop_event(state, job, attempt, pending.reason, Duration::ZERO, now));
    }
    if attempt.holds() {
        let end = stops.leases_end(state.settings(), job, attempt, pending)?;
        let expired = Event::Expired { job: job.spec.job.clone(), attempt: attempt.number };
        return (end <= now).then_some(expired);
    }
    Some(finish_attempt(state, job, attempt, pending.reason, now))
}

/// Event that ends or requeues a job whose members have all stopped.
fn finish_attempt(
    state: &SchedulerState,
    job: &JobState,
    attempt: &Attempt,
    reason: StopReason,
    now: Time,
) -> Event {
    let name = job.spec.job.clone();
    let done = MemberState::Stopped(MemberOutcome::Done);
    if attempt.members.iter().all(|m| *m == done) {
        return Event::Ended { job: name, outcome: JobOutcome::Done };
    }
    if reason == StopReason::Cancelled {
        return Event::Ended { job: name, outcome: JobOutcome::Cancelled };
    }
    let unstarted = attempt.started.is_none();
    if !unstarted && !job.spec.preemptible() {
        let lost = MemberState::Stopped(MemberOutcome::Lost);
        let outcome =
            if attempt.members.contains(&lost) { JobOutcome::Unknown } else { JobOutcome::Failed };
        return Event::Ended { job: name, outcome };
    }
    if reason == StopReason::Overuse
        && let Err(refusal) = admit(state, &job.grown())
    {
        return Event::Refused { job: name, code: refusal.code, reason: refusal.reason };
    }
    let retry = matches!(reason, StopReason::MemberLost | StopReason::Prepare);
    let pause = state.settings().retry_backoff * (1 << job.failures.min(BACKOFF_DOUBLINGS));
    let not_before = if retry { now + pause } else { now };
    Event::Requeued { job: name, not_before }
}

/// Record that removes ended jobs past their retention, many at once.
pub(super) fn prune(state: &SchedulerState, now: Time) -> Vec<Record> {
    let old = state.ended().take_while(|(at, _)| *at + state.settings().retention <= now);
    let jobs: Vec<_> = old.take(PRUNE_MAX).map(|(_, job)| job.spec.job.clone()).collect();
    if jobs.is_empty() { Vec::new() } else { vec![Record::new(now, Event::Pruned { jobs })] }
}
