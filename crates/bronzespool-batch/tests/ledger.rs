//! How records change the ledger.

mod common;

use {
    bronzespool_batch::{
        Event, EventOutcome, JobId, Ledger, Phase, Record, Step,
        ledger::{Assignment, RunEnd, RunOutcome},
    },
    common::{SECOND, World, config, gang, incarnation, run, step},
    std::{sync::Arc, time::Duration},
};

fn given(id: bronzespool_batch::RunId, worker: usize) -> Assignment {
    Assignment { run: id, incarnation: incarnation(worker), checkpoint: "".into(), permit: None }
}

#[test]
fn apply_older_configuration_changes_nothing() {
    let mut w = World::new(1, 1, 0);
    assert_eq!(w.apply(Event::Configured(Arc::new(config(5, 0)))), EventOutcome::Applied);
    assert_eq!(w.apply(Event::Configured(Arc::new(config(5, 9)))), EventOutcome::Known);
    assert_eq!(w.apply(Event::Configured(Arc::new(config(4, 9)))), EventOutcome::Known);
    assert_eq!(w.ledger.config().unwrap().guaranteed("rangers"), 0);
}

#[test]
fn apply_same_job_twice_is_one_job() {
    let mut w = World::new(1, 1, 0);
    assert_eq!(w.submit(1, 0, vec![step(1, 1)]), EventOutcome::Applied);
    assert_eq!(w.submit(1, 0, vec![step(1, 1)]), EventOutcome::Known);
    assert_eq!(w.ledger.jobs().count(), 1);
}

#[test]
fn apply_submission_after_cancel_does_not_revive() {
    let mut w = World::new(1, 1, 0);
    w.submit(1, 0, vec![step(1, 1)]);
    w.apply(Event::Cancelled(JobId(1)));
    assert_eq!(w.submit(1, 0, vec![step(1, 1)]), EventOutcome::Known);
    assert_eq!(w.phase(1), Phase::Cancelled);
    assert!(w.started().is_empty());
}

#[test]
fn apply_start_of_cancelled_job_is_stale() {
    let mut w = World::new(1, 1, 0);
    w.submit(1, 0, vec![step(1, 1)]);
    w.apply(Event::Cancelled(JobId(1)));
    assert_eq!(w.apply(Event::Started(vec![given(run(1, 0, 0, 1), 0)])), EventOutcome::Stale);
}

#[test]
fn apply_second_run_beside_live_one_is_stale() {
    let mut w = World::new(1, 2, 0);
    w.submit(1, 0, vec![step(1, 1)]);
    assert_eq!(w.apply(Event::Started(vec![given(run(1, 0, 0, 1), 0)])), EventOutcome::Applied);
    assert_eq!(w.apply(Event::Started(vec![given(run(1, 0, 0, 2), 1)])), EventOutcome::Stale);
    w.end(run(1, 0, 0, 1), RunOutcome::Stopped);
    assert_eq!(w.apply(Event::Started(vec![given(run(1, 0, 0, 1), 1)])), EventOutcome::Stale);
    assert_eq!(w.apply(Event::Started(vec![given(run(1, 0, 0, 2), 1)])), EventOutcome::Applied);
}

#[test]
fn apply_start_of_done_task_is_stale() {
    let mut w = World::new(1, 1, 0);
    w.submit(1, 0, vec![step(2, 1)]);
    w.plan();
    w.end(run(1, 0, 0, 1), RunOutcome::Done);
    assert_eq!(w.apply(Event::Started(vec![given(run(1, 0, 0, 2), 0)])), EventOutcome::Stale);
}

#[test]
fn apply_start_over_capacity_is_stale_as_a_whole() {
    let mut w = World::new(1, 1, 0);
    w.submit(1, 0, vec![gang(2, 5)]);
    let group = vec![given(run(1, 0, 0, 1), 0), given(run(1, 0, 1, 1), 0)];
    assert_eq!(w.apply(Event::Started(group)), EventOutcome::Stale);
    assert!(w.ledger.workers().all(|w| w.runs.is_empty()));
}

#[test]
fn apply_start_on_leaving_worker_is_stale() {
    let mut w = World::new(1, 1, 0);
    w.submit(1, 0, vec![step(1, 1)]);
    w.up(0, 0, true);
    assert_eq!(w.apply(Event::Started(vec![given(run(1, 0, 0, 1), 0)])), EventOutcome::Stale);
    w.up(0, 0, false);
    assert!(
        w.ledger.workers().all(|w| w.spec.leaving),
        "it does not come back in this incarnation"
    );
}

#[test]
fn apply_stop_keeps_room_until_the_end() {
    let mut w = World::new(1, 1, 0);
    w.submit(1, 0, vec![step(1, 8)]);
    w.plan();
    w.apply(Event::Cancelled(JobId(1)));
    assert!(w.ledger.is_unwanted(run(1, 0, 0, 1)));
    assert_eq!(w.ledger.workers().next().unwrap().free().gpu, 0);
    w.end(run(1, 0, 0, 1), RunOutcome::Stopped);
    assert_eq!(w.ledger.workers().next().unwrap().free().gpu, 8);
}

#[test]
fn apply_repeated_ends_count_once() {
    let mut w = World::new(1, 1, 0);
    w.submit(1, 0, vec![step(1, 1)]);
    w.plan();
    let ends = vec![RunEnd {
        number: 1,
        run: run(1, 0, 0, 1),
        outcome: RunOutcome::Failed,
        checkpoint: "".into(),
    }];
    let event = Event::Ended { incarnation: incarnation(0), ends };
    assert_eq!(w.apply(event.clone()), EventOutcome::Applied);
    assert_eq!(w.apply(event), EventOutcome::Known);
    assert_eq!(w.ledger.job(JobId(1)).unwrap().task(run(1, 0, 0, 1).task).unwrap().failures, 1);
}

#[test]
fn apply_end_of_another_life_means_nothing() {
    let mut w = World::new(1, 1, 0);
    w.submit(1, 0, vec![step(1, 1)]);
    w.plan();
    let mut old = incarnation(0);
    old.started_at = 0;
    let ends = vec![RunEnd {
        number: 1,
        run: run(1, 0, 0, 1),
        outcome: RunOutcome::Done,
        checkpoint: "".into(),
    }];
    assert_eq!(w.apply(Event::Ended { incarnation: old, ends }), EventOutcome::Stale);
    assert_eq!(w.phase(1), Phase::Running);
}

#[test]
fn apply_new_life_ends_what_ran_in_the_old_one() {
    let mut w = World::new(1, 1, 0);
    w.submit(1, 0, vec![step(1, 1)]);
    w.plan();
    let mut spec = w.ledger.workers().next().unwrap().spec.clone();
    spec.incarnation.started_at = 2;
    assert_eq!(w.apply(Event::WorkerUp(Box::new(spec.clone()))), EventOutcome::Applied);
    assert!(w.ledger.active_run(run(1, 0, 0, 1)).is_none());
    spec.incarnation.started_at = 1;
    assert_eq!(w.apply(Event::WorkerUp(Box::new(spec))), EventOutcome::Stale);
}

#[test]
fn apply_younger_worker_beside_the_agent_ends_the_former() {
    let mut w = World::new(1, 2, 0);
    w.submit(1, 0, vec![step(2, 8)]);
    w.plan();
    let mut spec = w.ledger.workers().next().unwrap().spec.clone();
    spec.incarnation =
        bronzespool_batch::WorkerIncarnation { worker: "another".into(), started_at: 2 };
    w.apply(Event::WorkerUp(Box::new(spec)));
    assert!(w.ledger.worker(&incarnation(0)).is_none());
    assert!(w.ledger.worker(&incarnation(1)).is_some());
    assert_eq!(w.ledger.workers().filter(|w| w.free().gpu == 8).count(), 1);
}

#[test]
fn apply_failures_up_to_attempts_fail_the_job() {
    let mut w = World::new(1, 4, 0);
    w.submit(1, 0, vec![step(1, 1)]);
    for attempt in 1..=3 {
        w.pass(SECOND * 20);
        assert_eq!(w.started().len(), 1);
        assert_eq!(w.phase(1), Phase::Running);
        w.end(run(1, 0, 0, attempt), RunOutcome::Failed);
    }
    assert_eq!(w.phase(1), Phase::Failed);
    w.pass(SECOND * 20);
    assert!(w.started().is_empty());
}

#[test]
fn apply_stops_and_lapses_are_no_failures() {
    let mut w = World::new(1, 4, 0);
    w.submit(1, 0, vec![step(1, 1)]);
    for attempt in 1..=9 {
        w.plan();
        let how = [RunOutcome::Stopped, RunOutcome::Lapsed, RunOutcome::Broken, RunOutcome::Alone]
            [attempt as usize % 4];
        w.end(run(1, 0, 0, attempt), how);
    }
    assert_eq!(w.phase(1), Phase::Running);
}

#[test]
fn apply_gang_failure_counts_once_a_run() {
    let mut w = World::new(1, 4, 0);
    w.submit(1, 0, vec![gang(3, 8)]);
    w.plan();
    for index in 0..3 {
        w.end(run(1, 0, index, 1), RunOutcome::Failed);
    }
    assert_eq!(w.phase(1), Phase::Running);
}

#[test]
fn apply_end_of_one_member_stands_for_the_gang() {
    let mut w = World::new(1, 2, 0);
    w.submit(1, 0, vec![gang(2, 8)]);
    w.plan();
    w.end(run(1, 0, 1, 1), RunOutcome::Done);
    assert_eq!(w.phase(1), Phase::Completed);
    assert_eq!(w.ledger.workers().filter(|w| w.free().gpu == 0).count(), 1);
    w.end(run(1, 0, 0, 1), RunOutcome::Done);
    assert!(w.ledger.workers().all(|w| w.free().gpu == 8));
}

#[test]
fn apply_refused_run_frees_its_room() {
    let mut w = World::new(1, 1, 0);
    w.submit(1, 0, vec![step(1, 8)]);
    w.plan();
    let event = Event::Refused { incarnation: incarnation(0), run: run(1, 0, 0, 1) };
    assert_eq!(w.apply(event.clone()), EventOutcome::Applied);
    assert_eq!(w.apply(event), EventOutcome::Known);
    assert_eq!(w.started()[0].run.run, 2);
}

#[test]
fn apply_checkpoint_is_handed_to_the_next_run() {
    let mut w = World::new(1, 1, 0);
    w.submit(1, 2, vec![Step { checkpoints: true, ..step(1, 8) }]);
    w.plan();
    w.end(run(1, 0, 0, 1), RunOutcome::Stopped);
    assert_eq!(&*w.started()[0].checkpoint, "saved");
}

#[test]
fn apply_lasting_task_starts_again_however_it_ends() {
    let mut w = World::new(1, 3, 0);
    w.submit(1, 0, vec![Step { long_lived: true, ..step(1, 1) }]);
    for (attempt, how) in [
        (1, RunOutcome::Done),
        (2, RunOutcome::Failed),
        (3, RunOutcome::Failed),
        (4, RunOutcome::Failed),
    ] {
        w.pass(SECOND * 20);
        assert_eq!(w.started()[0].run.run, attempt);
        w.end(run(1, 0, 0, attempt), how);
    }
    assert_eq!(w.phase(1), Phase::Running);
}

#[test]
fn pending_counts_jobs_of_which_nothing_has_started() {
    let mut w = World::new(1, 1, 0);
    w.submit(1, 2, vec![step(1, 8)]);
    w.submit(2, 2, vec![step(1, 8)]);
    w.submit(3, 1, vec![step(1, 16)]);
    w.plan();
    assert_eq!((w.ledger.pending("reconcile"), w.ledger.pending("cutting")), (1, 1));
}

#[test]
fn apply_same_records_make_the_same_ledger() {
    arbtest::arbtest(|u| {
        let mut w = World::new(2, 2, 8);
        for id in 1..u.int_in_range(2..=8)? {
            w.submit(id, u.int_in_range(0..=2)?, vec![step(u.int_in_range(1..=4)?, 2)]);
            w.pass(Duration::from_millis(u.int_in_range(0..=900)?));
        }
        let snapshot = postcard::to_stdvec(&w.ledger).unwrap();
        let mut restored: Ledger = postcard::from_bytes(&snapshot).unwrap();
        for event in w.plan() {
            restored.apply(&Record { at: w.scene.now, events: vec![event] });
        }
        assert_eq!(restored, w.ledger);
        Ok(())
    });
}
