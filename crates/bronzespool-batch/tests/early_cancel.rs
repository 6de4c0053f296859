//! Jobs that are cancelled before they are submitted.

mod common;

use {
    bronzespool_batch::{Event, EventOutcome, JobId, Ledger, ledger::JOB_RETENTION},
    common::{Cluster, SECOND, step},
};

/// Most early cancels that are remembered.
const JOBS_MAX: u64 = 65_536;

// A submission that was held up by a frozen process arrived after its job's cancelling was acknowledged, and
// the job ran.
#[test]
fn submit_job_that_was_cancelled_before_never_runs() {
    let mut cluster = Cluster::new(1, 1, 0);
    assert_eq!(cluster.apply(Event::Cancelled(JobId(1))), EventOutcome::Stale);
    assert_eq!(cluster.submit(1, 0, vec![step(1, 1)]), EventOutcome::Stale);
    assert!(cluster.ledger.job(JobId(1)).is_none());
    assert!(cluster.started().is_empty());
    assert_eq!(cluster.submit(2, 0, vec![step(1, 1)]), EventOutcome::Applied);
}

// As before, with a new leader or a restart in between.
#[test]
fn ledger_keeps_early_cancels_in_a_snapshot() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.apply(Event::Cancelled(JobId(1)));
    let bytes = postcard::to_stdvec(&cluster.ledger).unwrap();
    let (read, rest): (Ledger, _) = postcard::take_from_bytes(&bytes).unwrap();
    assert_eq!((&read, rest), (&cluster.ledger, &[][..]));
    cluster.ledger = read;
    assert_eq!(cluster.submit(1, 0, vec![step(1, 1)]), EventOutcome::Stale);
}

// A snapshot of a former version ends before the early cancels.
#[test]
fn ledger_of_a_former_version_has_no_early_cancels() {
    let cluster = Cluster::new(1, 1, 0);
    let bytes = postcard::to_stdvec(&cluster.ledger).unwrap();
    let empty = postcard::to_stdvec(cluster.ledger.early_cancels()).unwrap();
    let read: Ledger = postcard::from_bytes(bytes.strip_suffix(&*empty).unwrap()).unwrap();
    assert_eq!(read, cluster.ledger);
}

#[test]
fn cancel_known_job_is_not_remembered_as_early() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    assert_eq!(cluster.apply(Event::Cancelled(JobId(1))), EventOutcome::Applied);
    assert!(!cluster.ledger.early_cancels().contains(JobId(1)));
}

#[test]
fn early_cancels_expire_as_jobs_do() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.apply(Event::Cancelled(JobId(1)));
    cluster.pass(JOB_RETENTION);
    cluster.apply(Event::Cancelled(JobId(2)));
    assert!(cluster.ledger.early_cancels().contains(JobId(1)));
    cluster.pass(SECOND);
    cluster.apply(Event::Cancelled(JobId(3)));
    assert!(!cluster.ledger.early_cancels().contains(JobId(1)));
    assert!(cluster.ledger.early_cancels().contains(JobId(2)));
}

#[test]
fn early_cancels_are_bounded_and_kept_for_a_minute() {
    let mut cluster = Cluster::new(1, 1, 0);
    for id in 0..JOBS_MAX {
        assert!(cluster.ledger.early_cancels().has_room(cluster.view.now));
        cluster.apply(Event::Cancelled(JobId(id)));
    }
    assert!(!cluster.ledger.early_cancels().has_room(cluster.view.now));
    cluster.pass(SECOND * 60);
    assert!(cluster.ledger.early_cancels().has_room(cluster.view.now));
    cluster.apply(Event::Cancelled(JobId(JOBS_MAX)));
    let early = cluster.ledger.early_cancels();
    assert!(!early.contains(JobId(0)) && early.contains(JobId(1)));
    assert!(early.contains(JobId(JOBS_MAX)));
}
