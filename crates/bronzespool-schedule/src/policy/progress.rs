//! Moves attempts on: go, stop, expiry, end, another try.

use {
    crate::{
        admit::admit,
        book::{Book, Overuse},
        job::{Attempt, JobState, Member, Phase, Stop},
        record::{Event, JobOutcome, MemberOutcome, Record, StopReason},
    },
    bronzespool_core::{Code, Time},
    std::time::Duration,
};

/// Most doublings of the pause after failures.
const BACKOFF_DOUBLINGS: u32 = 6;

/// Most jobs dropped by one record.
const FORGET_MAX: usize = 256;

/// Records for all jobs that need one by `now`.
pub(super) fn progress(book: &Book, now: Time) -> Vec<Record> {
    let events = book.due(now).filter_map(|job| step(book, job, now));
    events.map(|event| Record::new(now, event)).collect()
}

fn step(book: &Book, job: &JobState, now: Time) -> Option<Event> {
    match &job.phase {
        Phase::Active(attempt) => Some(match attempt.stop {
            Some(stop) => stopping(book, job, attempt, stop, now),
            None => running(book, job, attempt, now),
        }),
        Phase::Waiting { .. } => waiting(book, job, now),
        Phase::Reserved { .. } | Phase::Ended { .. } => None,
    }
}

fn waiting(book: &Book, job: &JobState, now: Time) -> Option<Event> {
    let name = job.spec.job.clone();
    if book.is_hopeless(job) {
        let reason = format!("failed on {} workers", job.failed.len());
        return Some(Event::Refused { job: name, code: Code::JobRefused, reason });
    }
    let late = job.spec.deadline.is_some_and(|deadline| deadline <= now);
    late.then(|| Event::Refused {
        job: name,
        code: Code::DeadlinePassed,
        reason: "the deadline passed before the job was started".to_owned(),
    })
}

fn running(book: &Book, job: &JobState, attempt: &Attempt, now: Time) -> Event {
    let name = job.spec.job.clone();
    let number = attempt.number;
    let done = Member::Stopped(MemberOutcome::Done);
    if attempt.members.iter().all(|m| *m == done) {
        return Event::Ended { job: name, outcome: JobOutcome::Done };
    }
    let failed = |m: &Member| matches!(m, Member::Stopped(o) if *o != MemberOutcome::Done);
    if attempt.members.iter().any(failed) || book.lost(attempt) {
        return stop(book, job, attempt, StopReason::MemberLost, Duration::ZERO, now);
    }
    match book.overuse(job, attempt) {
        Some(Overuse::Throttle) => return Event::Throttled { job: name, attempt: number },
        Some(Overuse::Stop(reason)) => {
            return stop(book, job, attempt, reason, book.settings().grace, now);
        }
        None => {}
    }
    if attempt.members.iter().all(|m| *m == Member::Prepared) {
        return Event::Go { job: name, attempt: number };
    }
    stop(book, job, attempt, StopReason::Prepare, Duration::ZERO, now)
}

/// Tells the members of an attempt to stop.
///
/// One that was not started holds nothing that could run on, so its cells are free at once.
pub(super) fn stop(
    book: &Book,
    job: &JobState,
    attempt: &Attempt,
    reason: StopReason,
    grace: Duration,
    now: Time,
) -> Event {
    let by = match attempt.started {
        Some(_) => attempt.leases_end(now, grace, book.settings()),
        None => now,
    };
    Event::Stopping { job: job.spec.job.clone(), attempt: attempt.number, reason, by }
}

fn stopping(book: &Book, job: &JobState, attempt: &Attempt, by: Stop, now: Time) -> Event {
    let name = job.spec.job.clone();
    if by.by == Time::MAX {
        return stop(book, job, attempt, by.reason, Duration::ZERO, now);
    }
    if attempt.holds() {
        return Event::Expired { job: name, attempt: attempt.number };
    }
    over(book, job, attempt, by.reason, now)
}

/// What becomes of a job whose members have all stopped.
fn over(book: &Book, job: &JobState, attempt: &Attempt, reason: StopReason, now: Time) -> Event {
    let name = job.spec.job.clone();
    let done = Member::Stopped(MemberOutcome::Done);
    if attempt.members.iter().all(|m| *m == done) {
        return Event::Ended { job: name, outcome: JobOutcome::Done };
    }
    if reason == StopReason::Cancelled {
        return Event::Ended { job: name, outcome: JobOutcome::Cancelled };
    }
    let fresh = attempt.started.is_none();
    if !fresh && !job.spec.preemptible() {
        let lost = Member::Stopped(MemberOutcome::Lost);
        let outcome =
            if attempt.members.contains(&lost) { JobOutcome::Unknown } else { JobOutcome::Failed };
        return Event::Ended { job: name, outcome };
    }
    if reason == StopReason::Overuse
        && let Err(refusal) = admit(book, &job.grown())
    {
        return Event::Refused { job: name, code: refusal.code, reason: refusal.reason };
    }
    let retry = matches!(reason, StopReason::MemberLost | StopReason::Prepare);
    let pause = book.settings().backoff * (1 << job.failures.min(BACKOFF_DOUBLINGS));
    let after = if retry { now + pause } else { now };
    Event::Requeued { job: name, after }
}

/// Drops ended jobs that are older than the history kept, many in one record.
pub(super) fn forget(book: &Book, now: Time) -> Vec<Record> {
    let old = book.ended().take_while(|(at, _)| *at + book.settings().history <= now);
    let jobs: Vec<_> = old.take(FORGET_MAX).map(|(_, job)| job.spec.job.clone()).collect();
    if jobs.is_empty() { Vec::new() } else { vec![Record::new(now, Event::Forgotten { jobs })] }
}
