//! Application of records to the ledger.

mod common;

use {
    bronzespool_batch::{
        Event, EventOutcome, JobId, Ledger, Phase, Record, Step,
        ledger::{Assignment, RunEnd, RunOutcome},
    },
    common::{Cluster, SECOND, config, gang, incarnation, run, step},
    std::{sync::Arc, time::Duration},
};

fn assigned(id: bronzespool_batch::RunId, worker: usize) -> Assignment {
    Assignment { run: id, incarnation: incarnation(worker), checkpoint: "".into(), permit: None }
}

#[test]
fn apply_older_configuration_changes_nothing() {
    let mut cluster = Cluster::new(1, 1, 0);
    assert_eq!(cluster.apply(Event::Configured(Arc::new(config(5, 0)))), EventOutcome::Applied);
    assert_eq!(cluster.apply(Event::Configured(Arc::new(config(5, 9)))), EventOutcome::Known);
    assert_eq!(cluster.apply(Event::Configured(Arc::new(config(4, 9)))), EventOutcome::Known);
    assert_eq!(cluster.ledger.config().unwrap().guaranteed("rangers"), 0);
}

#[test]
fn apply_same_job_twice_is_one_job() {
    let mut cluster = Cluster::new(1, 1, 0);
    assert_eq!(cluster.submit(1, 0, vec![step(1, 1)]), EventOutcome::Applied);
    assert_eq!(cluster.submit(1, 0, vec![step(1, 1)]), EventOutcome::Known);
    assert_eq!(cluster.ledger.jobs().count(), 1);
}

#[test]
fn apply_submission_after_cancel_keeps_the_job_cancelled() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    cluster.apply(Event::Cancelled(JobId(1)));
    assert_eq!(cluster.submit(1, 0, vec![step(1, 1)]), EventOutcome::Known);
    assert_eq!(cluster.phase(1), Phase::Cancelled);
    assert!(cluster.started().is_empty());
}

#[test]
fn apply_start_of_cancelled_job_is_stale() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    cluster.apply(Event::Cancelled(JobId(1)));
    assert_eq!(
        cluster.apply(Event::Started(vec![assigned(run(1, 0, 0, 1), 0)])),
        EventOutcome::Stale
    );
}

#[test]
fn apply_second_run_beside_active_one_is_stale() {
    let mut cluster = Cluster::new(1, 2, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    assert_eq!(
        cluster.apply(Event::Started(vec![assigned(run(1, 0, 0, 1), 0)])),
        EventOutcome::Applied
    );
    assert_eq!(
        cluster.apply(Event::Started(vec![assigned(run(1, 0, 0, 2), 1)])),
        EventOutcome::Stale
    );
    cluster.end(run(1, 0, 0, 1), RunOutcome::Stopped);
    assert_eq!(
        cluster.apply(Event::Started(vec![assigned(run(1, 0, 0, 1), 1)])),
        EventOutcome::Stale
    );
    assert_eq!(
        cluster.apply(Event::Started(vec![assigned(run(1, 0, 0, 2), 1)])),
        EventOutcome::Applied
    );
}

#[test]
fn apply_start_of_done_task_is_stale() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![step(2, 1)]);
    cluster.plan();
    cluster.end(run(1, 0, 0, 1), RunOutcome::Done);
    assert_eq!(
        cluster.apply(Event::Started(vec![assigned(run(1, 0, 0, 2), 0)])),
        EventOutcome::Stale
    );
}

#[test]
fn apply_start_over_capacity_is_stale_as_a_whole() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![gang(2, 5)]);
    let group = vec![assigned(run(1, 0, 0, 1), 0), assigned(run(1, 0, 1, 1), 0)];
    assert_eq!(cluster.apply(Event::Started(group)), EventOutcome::Stale);
    assert!(cluster.ledger.workers().all(|w| w.runs.is_empty()));
}

#[test]
fn apply_start_on_leaving_worker_is_stale() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    cluster.up(0, 0, true);
    assert_eq!(
        cluster.apply(Event::Started(vec![assigned(run(1, 0, 0, 1), 0)])),
        EventOutcome::Stale
    );
    cluster.up(0, 0, false);
    assert!(
        cluster.ledger.workers().all(|w| w.spec.leaving),
        "the worker does not come back in this incarnation"
    );
}

#[test]
fn apply_stop_keeps_capacity_until_the_end() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![step(1, 8)]);
    cluster.plan();
    cluster.apply(Event::Cancelled(JobId(1)));
    assert!(cluster.ledger.is_unwanted(run(1, 0, 0, 1)));
    assert_eq!(cluster.ledger.workers().next().unwrap().free().gpu, 0);
    cluster.end(run(1, 0, 0, 1), RunOutcome::Stopped);
    assert_eq!(cluster.ledger.workers().next().unwrap().free().gpu, 8);
}

#[test]
fn apply_repeated_ends_count_once() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    cluster.plan();
    let ends = vec![RunEnd {
        number: 1,
        run: run(1, 0, 0, 1),
        outcome: RunOutcome::Failed,
        checkpoint: "".into(),
    }];
    let event = Event::Ended { incarnation: incarnation(0), ends };
    assert_eq!(cluster.apply(event.clone()), EventOutcome::Applied);
    assert_eq!(cluster.apply(event), EventOutcome::Known);
    assert_eq!(
        cluster.ledger.job(JobId(1)).unwrap().task(run(1, 0, 0, 1).task).unwrap().failures,
        1
    );
}

#[test]
fn apply_end_of_another_incarnation_is_stale() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    cluster.plan();
    let mut old = incarnation(0);
    old.started_at = 0;
    let ends = vec![RunEnd {
        number: 1,
        run: run(1, 0, 0, 1),
        outcome: RunOutcome::Done,
        checkpoint: "".into(),
    }];
    assert_eq!(cluster.apply(Event::Ended { incarnation: old, ends }), EventOutcome::Stale);
    assert_eq!(cluster.phase(1), Phase::Running);
}

#[test]
fn apply_new_incarnation_ends_runs_of_the_old_one() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    cluster.plan();
    let mut spec = cluster.ledger.workers().next().unwrap().spec.clone();
    spec.incarnation.started_at = 2;
    assert_eq!(cluster.apply(Event::WorkerUp(Box::new(spec.clone()))), EventOutcome::Applied);
    assert!(cluster.ledger.active_run(run(1, 0, 0, 1)).is_none());
    spec.incarnation.started_at = 1;
    assert_eq!(cluster.apply(Event::WorkerUp(Box::new(spec))), EventOutcome::Stale);
}

#[test]
fn apply_younger_worker_beside_the_agent_ends_the_former() {
    let mut cluster = Cluster::new(1, 2, 0);
    cluster.submit(1, 0, vec![step(2, 8)]);
    cluster.plan();
    let mut spec = cluster.ledger.workers().next().unwrap().spec.clone();
    spec.incarnation =
        bronzespool_batch::WorkerIncarnation { worker: "another".into(), started_at: 2 };
    cluster.apply(Event::WorkerUp(Box::new(spec)));
    assert!(cluster.ledger.worker(&incarnation(0)).is_none());
    assert!(cluster.ledger.worker(&incarnation(1)).is_some());
    assert_eq!(cluster.ledger.workers().filter(|w| w.free().gpu == 8).count(), 1);
}

#[test]
fn apply_failures_up_to_attempts_fail_the_job() {
    let mut cluster = Cluster::new(1, 4, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    for attempt in 1..=3 {
        cluster.pass(SECOND * 20);
        assert_eq!(cluster.started().len(), 1);
        assert_eq!(cluster.phase(1), Phase::Running);
        cluster.end(run(1, 0, 0, attempt), RunOutcome::Failed);
    }
    assert_eq!(cluster.phase(1), Phase::Failed);
    cluster.pass(SECOND * 20);
    assert!(cluster.started().is_empty());
}

#[test]
fn apply_stops_and_lapses_are_no_failures() {
    let mut cluster = Cluster::new(1, 4, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    for attempt in 1..=9 {
        cluster.plan();
        let outcome =
            [RunOutcome::Stopped, RunOutcome::Lapsed, RunOutcome::Broken, RunOutcome::Alone]
                [attempt as usize % 4];
        cluster.end(run(1, 0, 0, attempt), outcome);
    }
    assert_eq!(cluster.phase(1), Phase::Running);
}

#[test]
fn apply_gang_failure_counts_once_a_run() {
    let mut cluster = Cluster::new(1, 4, 0);
    cluster.submit(1, 0, vec![gang(3, 8)]);
    cluster.plan();
    for index in 0..3 {
        cluster.end(run(1, 0, index, 1), RunOutcome::Failed);
    }
    assert_eq!(cluster.phase(1), Phase::Running);
}

#[test]
fn apply_end_of_one_member_completes_the_gang() {
    let mut cluster = Cluster::new(1, 2, 0);
    cluster.submit(1, 0, vec![gang(2, 8)]);
    cluster.plan();
    cluster.end(run(1, 0, 1, 1), RunOutcome::Done);
    assert_eq!(cluster.phase(1), Phase::Completed);
    assert_eq!(cluster.ledger.workers().filter(|w| w.free().gpu == 0).count(), 1);
    cluster.end(run(1, 0, 0, 1), RunOutcome::Done);
    assert!(cluster.ledger.workers().all(|w| w.free().gpu == 8));
}

#[test]
fn apply_refused_run_frees_its_capacity() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![step(1, 8)]);
    cluster.plan();
    let event = Event::Refused { incarnation: incarnation(0), run: run(1, 0, 0, 1) };
    assert_eq!(cluster.apply(event.clone()), EventOutcome::Applied);
    assert_eq!(cluster.apply(event), EventOutcome::Known);
    assert_eq!(cluster.started()[0].run.run, 2);
}

#[test]
fn apply_checkpoint_is_handed_to_the_next_run() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 2, vec![Step { checkpoints: true, ..step(1, 8) }]);
    cluster.plan();
    cluster.end(run(1, 0, 0, 1), RunOutcome::Stopped);
    assert_eq!(&*cluster.started()[0].checkpoint, "saved");
}

#[test]
fn apply_long_lived_task_starts_again_however_it_ends() {
    let mut cluster = Cluster::new(1, 3, 0);
    cluster.submit(1, 0, vec![Step { long_lived: true, ..step(1, 1) }]);
    for (attempt, outcome) in [
        (1, RunOutcome::Done),
        (2, RunOutcome::Failed),
        (3, RunOutcome::Failed),
        (4, RunOutcome::Failed),
    ] {
        cluster.pass(SECOND * 20);
        assert_eq!(cluster.started()[0].run.run, attempt);
        cluster.end(run(1, 0, 0, attempt), outcome);
    }
    assert_eq!(cluster.phase(1), Phase::Running);
}

#[test]
fn pending_counts_jobs_of_which_nothing_has_started() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 2, vec![step(1, 8)]);
    cluster.submit(2, 2, vec![step(1, 8)]);
    cluster.submit(3, 1, vec![step(1, 16)]);
    cluster.plan();
    assert_eq!((cluster.ledger.pending("reconcile"), cluster.ledger.pending("cutting")), (1, 1));
}

#[test]
fn apply_same_records_make_the_same_ledger() {
    arbtest::arbtest(|u| {
        let mut cluster = Cluster::new(2, 2, 8);
        for id in 1..u.int_in_range(2..=8)? {
            cluster.submit(id, u.int_in_range(0..=2)?, vec![step(u.int_in_range(1..=4)?, 2)]);
            cluster.pass(Duration::from_millis(u.int_in_range(0..=900)?));
        }
        let snapshot = postcard::to_stdvec(&cluster.ledger).unwrap();
        let mut restored: Ledger = postcard::from_bytes(&snapshot).unwrap();
        for event in cluster.plan() {
            restored.apply(&Record { at: cluster.view.now, events: vec![event] });
        }
        assert_eq!(restored, cluster.ledger);
        Ok(())
    });
}

#[test]
fn ledger_keeps_run_times_in_a_snapshot() {
    let mut cluster = Cluster::new(1, 2, 0);
    cluster.apply(Event::EstimatesSaved(Arc::from([7_u8, 8, 9])));
    let bytes = postcard::to_stdvec(&cluster.ledger).unwrap();
    let (read, rest): (Ledger, _) = postcard::take_from_bytes(&bytes).unwrap();
    assert_eq!((&read, rest), (&cluster.ledger, &[][..]));
    assert_eq!(**read.run_times(), [7, 8, 9]);
}

// A snapshot of a former version ends before the run times.
#[test]
fn ledger_of_a_former_version_has_no_run_times() {
    let cluster = Cluster::new(1, 2, 0);
    let bytes = postcard::to_stdvec(&cluster.ledger).unwrap();
    let (last, former) = bytes.split_last().unwrap();
    assert_eq!(*last, 0, "an empty summary is one byte");
    let read: Ledger = postcard::from_bytes(former).unwrap();
    assert_eq!(read, cluster.ledger);
}
