//! What starts, where, and what makes room for it.

mod common;

use {
    bronzespool_batch::{
        Event, Step,
        ledger::{RunOutcome, StopCause},
        plan::Progress,
        spec::Resources,
    },
    common::{SECOND, World, gang, incarnation, run, step},
    std::{collections::BTreeSet, time::Duration},
};

fn stopped(events: &[Event]) -> Vec<bronzespool_batch::RunId> {
    let runs = events.iter().filter_map(|e| match e {
        Event::Stopping { runs, cause: StopCause::Reclaimed(_) } => Some(runs.clone()),
        _ => None,
    });
    runs.flatten().collect()
}

#[test]
fn plan_whole_worker_stays_free_for_large_task() {
    let mut w = World::new(1, 2, 0);
    w.submit(1, 2, vec![step(4, 2)]);
    let workers: BTreeSet<_> = w.started().into_iter().map(|a| a.incarnation).collect();
    assert_eq!(workers.len(), 1);
    w.submit(2, 2, vec![step(1, 8)]);
    assert_eq!(w.started().len(), 1);
}

#[test]
fn plan_gang_starts_whole_or_not_at_all() {
    let mut w = World::new(1, 2, 0);
    w.submit(1, 1, vec![gang(3, 8)]);
    assert!(w.started().is_empty());
    w.up(2, 0, false);
    w = {
        let mut w = World::new(1, 3, 0);
        w.submit(1, 1, vec![gang(3, 8)]);
        w
    };
    let started = w.started();
    assert_eq!(started.len(), 3);
    assert!(started.iter().all(|a| a.run.run == 1));
}

#[test]
fn plan_broken_gang_ends_whole_and_starts_again_with_one_number() {
    let mut w = World::new(1, 2, 0);
    w.submit(1, 1, vec![gang(2, 8)]);
    w.plan();
    w.end(run(1, 0, 0, 1), RunOutcome::Failed);
    let events = w.plan();
    assert!(
        matches!(&events[0], Event::Stopping { cause: StopCause::Broken, runs } if runs.len() == 1)
    );
    assert!(w.started().is_empty());
    w.end(run(1, 0, 1, 1), RunOutcome::Broken);
    w.pass(SECOND * 3);
    let started = w.started();
    assert_eq!(started.len(), 2);
    assert!(started.iter().all(|a| a.run.run == 2));
}

#[test]
fn plan_dependent_step_waits_for_all_tasks() {
    let mut w = World::new(1, 2, 0);
    w.submit(1, 2, vec![step(2, 1), Step { depends_on: vec![0], ..step(1, 1) }]);
    assert_eq!(w.started().len(), 2);
    w.end(run(1, 0, 0, 1), RunOutcome::Done);
    assert!(w.started().is_empty());
    w.end(run(1, 0, 1, 1), RunOutcome::Done);
    assert_eq!(w.started()[0].run, run(1, 1, 0, 1));
}

#[test]
fn plan_occurrence_waits_until_due() {
    let mut w = World::new(1, 1, 0);
    w.scene.wall = 10_000;
    let spec = bronzespool_batch::JobSpec {
        id: bronzespool_batch::JobId(1),
        queue: "reconcile".into(),
        team: None,
        text: "".into(),
        steps: vec![step(1, 1)],
        times: 2,
        start: 11_000,
        interval: 2_000,
    };
    w.apply(Event::Submitted(spec.into()));
    assert!(w.started().is_empty());
    w.pass(SECOND);
    assert_eq!(w.started().len(), 1);
    assert!(w.started().is_empty());
    w.pass(SECOND * 2);
    assert_eq!(w.started()[0].run.task.step.occurrence, 1);
}

#[test]
fn plan_label_and_spread_are_kept() {
    let mut w = World::new(2, 2, 0);
    w.submit(1, 2, vec![Step { label: Some("r1".into()), worker_max: 1, ..step(3, 1) }]);
    let started = w.started();
    let workers: BTreeSet<_> = started.iter().map(|a| a.incarnation.clone()).collect();
    assert_eq!(workers, BTreeSet::from([incarnation(2), incarnation(3)]));
    assert_eq!(started.len(), 2);
}

#[test]
fn plan_leaving_or_silent_worker_gets_nothing() {
    let mut w = World::new(1, 2, 0);
    w.up(0, 0, true);
    w.scene.schedulable.remove("w1");
    w.submit(1, 0, vec![step(1, 1)]);
    assert!(w.started().is_empty());
}

#[test]
fn plan_guaranteed_job_stops_the_cheapest_work() {
    let mut w = World::new(1, 2, 8);
    w.submit(1, 2, vec![step(1, 8)]);
    w.plan();
    w.pass(SECOND * 5);
    w.submit(2, 2, vec![step(1, 8)]);
    w.plan();
    w.pass(SECOND);
    w.submit(3, 0, vec![gang(1, 8)]);
    let events = w.plan();
    assert_eq!(stopped(&events), [run(2, 0, 0, 1)]);
    assert!(w.started().is_empty());
    assert_eq!(w.end_unwanted(), 1);
    assert_eq!(w.started()[0].run, run(3, 0, 0, 1));
}

#[test]
fn plan_guaranteed_job_makes_room_at_once() {
    let mut w = World::new(1, 1, 8);
    w.submit(1, 2, vec![step(1, 8)]);
    w.plan();
    w.pass(SECOND);
    w.submit(2, 0, vec![Step { estimate: 60_000, ..step(1, 8) }]);
    assert_eq!(stopped(&w.plan()), [run(1, 0, 0, 1)]);
    w.end_unwanted();
    assert_eq!(w.started()[0].run, run(2, 0, 0, 1));
}

#[test]
fn plan_run_that_ends_soon_is_not_stopped() {
    let mut w = World::new(1, 2, 8);
    w.submit(1, 2, vec![step(1, 8)]);
    w.plan();
    w.pass(SECOND * 9);
    w.submit(2, 2, vec![step(1, 8)]);
    w.plan();
    w.scene.progress.insert(run(1, 0, 0, 1), Progress { percent: 95, ..Progress::default() });
    w.submit(3, 0, vec![step(1, 8)]);
    assert!(stopped(&w.plan()).is_empty(), "the first job has half a second left");
}

#[test]
fn plan_large_task_is_not_overtaken_by_small_ones_for_ever() {
    let mut w = World::new(1, 1, 0);
    w.submit(1, 2, vec![step(4, 2)]);
    assert_eq!(w.started().len(), 4);
    w.submit(2, 1, vec![step(1, 8)]);
    w.submit(3, 2, vec![step(8, 2)]);
    w.pass(SECOND);
    for index in 0..4 {
        w.end(run(1, 0, index, 1), RunOutcome::Done);
        let started = w.started();
        let first = started.first().map(|a| a.run.task.step.job.0);
        assert_eq!(first, (index == 3).then_some(2), "{index}");
    }
}

#[test]
fn plan_late_task_holds_room_too() {
    let mut w = World::new(2, 1, 0);
    w.submit(1, 2, vec![Step { estimate: 60_000, ..step(16, 1) }]);
    w.plan();
    w.pass(SECOND * 30);
    w.submit(2, 0, vec![Step { rack: Some("r0".into()), ..step(1, 8) }]);
    w.submit(3, 2, vec![step(16, 1)]);
    w.pass(SECOND * 2);
    w.plan();
    for index in 0..8 {
        w.end(run(1, 0, index, 1), RunOutcome::Done);
        let first = w.started().first().map(|a| a.run.task.step.job.0);
        assert_eq!(first, (index == 7).then_some(2), "{index}");
    }
}

#[test]
fn plan_second_priority_stops_third_only_when_it_would_be_late() {
    let mut w = World::new(1, 1, 0);
    w.submit(1, 2, vec![Step { checkpoints: true, ..step(1, 8) }]);
    w.plan();
    w.submit(2, 1, vec![Step { estimate: 20_000, ..step(1, 8) }]);
    w.pass(SECOND * 9);
    assert!(stopped(&w.plan()).is_empty(), "its room may come in time");
    w.pass(SECOND);
    assert_eq!(stopped(&w.plan()), [run(1, 0, 0, 1)]);
}

#[test]
fn plan_gang_member_is_no_cheap_victim() {
    let mut w = World::new(1, 3, 8);
    w.submit(1, 1, vec![gang(2, 8)]);
    w.plan();
    w.submit(2, 1, vec![step(1, 8)]);
    w.plan();
    w.pass(SECOND * 5);
    w.submit(3, 0, vec![step(1, 8)]);
    assert_eq!(stopped(&w.plan()), [run(2, 0, 0, 1)]);
}

#[test]
fn plan_saved_work_is_stopped_before_unsaved() {
    let mut w = World::new(1, 2, 8);
    w.submit(1, 2, vec![Step { checkpoints: true, ..step(1, 8) }]);
    w.plan();
    w.pass(SECOND * 20);
    w.submit(2, 2, vec![step(1, 8)]);
    w.plan();
    w.pass(SECOND);
    w.submit(3, 0, vec![step(1, 8)]);
    assert_eq!(stopped(&w.plan()), [run(1, 0, 0, 1)]);
}

#[test]
fn plan_beyond_guarantee_throws_away_no_more_than_it_brings() {
    let mut w = World::new(1, 1, 0);
    w.submit(1, 2, vec![step(1, 8)]);
    w.plan();
    w.pass(SECOND);
    w.submit(2, 0, vec![step(1, 8)]);
    assert_eq!(stopped(&w.plan()), [run(1, 0, 0, 1)], "a second of work for two and a half");

    let mut w = World::new(1, 1, 0);
    w.submit(1, 2, vec![step(1, 8)]);
    w.plan();
    w.pass(SECOND * 30);
    w.submit(2, 0, vec![step(1, 8)]);
    assert!(stopped(&w.plan()).is_empty(), "half a minute of work for two and a half seconds");
}

#[test]
fn plan_room_made_for_one_job_is_not_given_to_another() {
    let mut w = World::new(1, 1, 8);
    w.submit(1, 2, vec![step(1, 8)]);
    w.plan();
    w.submit(2, 0, vec![step(1, 8)]);
    w.plan();
    w.submit(3, 2, vec![step(4, 1)]);
    w.end_unwanted();
    let started = w.started();
    assert_eq!(started.iter().map(|a| a.run).collect::<Vec<_>>(), [run(2, 0, 0, 1)]);
}

#[test]
fn plan_worker_that_fails_at_once_is_left_out() {
    let mut w = World::new(1, 4, 0);
    w.submit(1, 2, vec![step(1, 1)]);
    let bad = w.started()[0].incarnation.clone();
    w.pass(Duration::from_millis(50));
    w.end(run(1, 0, 0, 1), RunOutcome::Failed);
    w.pass(Duration::from_millis(300));
    w.submit(2, 2, vec![step(16, 1)]);
    assert!(w.started().iter().all(|a| a.incarnation != bad));
}

#[test]
fn plan_job_that_always_fails_bars_no_second_worker() {
    let mut w = World::new(1, 4, 0);
    w.submit(1, 2, vec![step(1, 8)]);
    for attempt in 1..=2 {
        w.plan();
        w.pass(Duration::from_millis(50));
        w.end(run(1, 0, 0, attempt), RunOutcome::Failed);
        w.pass(Duration::from_millis(300));
    }
    w.submit(2, 2, vec![step(3, 8)]);
    let fresh = w.started().into_iter().filter(|a| a.run.task.step.job.0 == 2).count();
    assert!(fresh + 1 >= 3, "only the first worker is barred: {fresh}");
}

#[test]
fn plan_compact_gang_waits_for_its_rack_then_starts_across() {
    let mut w = World::new(2, 2, 0);
    for (job, rack) in [(1, 0), (2, 1)] {
        let label = Some(format!("r{rack}").into());
        w.submit(job, 0, vec![Step { label, ..step(1, 8) }]);
    }
    assert_eq!(w.started().len(), 2);
    w.submit(3, 0, vec![Step { single_rack: true, ..gang(2, 8) }]);
    assert!(w.started().is_empty(), "a rack may become free in time");
    w.pass(Duration::from_millis(1_600));
    assert_eq!(w.started().len(), 2, "near would be late too");
}

#[test]
fn plan_idle_service_starts_far_from_data() {
    let mut w = World::new(2, 2, 0);
    w.submit(1, 2, vec![Step { rack: Some("r0".into()), ..step(2, 8) }]);
    assert_eq!(w.started().len(), 2);
    w.submit(2, 2, vec![Step { rack: Some("r0".into()), estimate: 60_000, ..step(1, 8) }]);
    assert!(w.started().is_empty());
    w.pass(SECOND * 2);
    assert_eq!(w.started().len(), 1, "half of the service is idle");
}

#[test]
fn plan_hopeless_job_still_starts_somewhere() {
    let mut w = World::new(3, 1, 0);
    w.submit(1, 1, vec![Step { rack: Some("r0".into()), ..step(1, 8) }]);
    w.submit(2, 1, vec![Step { rack: Some("r1".into()), ..step(1, 8) }]);
    assert_eq!(w.started().len(), 2);
    w.submit(3, 2, vec![Step { rack: Some("r0".into()), ..step(1, 8) }]);
    w.pass(SECOND * 60);
    assert_eq!(w.started().len(), 1);
}

#[test]
fn plan_only_suitable_worker_is_used_though_barred() {
    let mut w = World::new(2, 1, 0);
    w.submit(1, 2, vec![Step { label: Some("r0".into()), ..step(1, 1) }]);
    w.plan();
    w.pass(Duration::from_millis(50));
    w.end(run(1, 0, 0, 1), RunOutcome::Failed);
    w.pass(Duration::from_millis(1_000));
    assert!(w.started().is_empty(), "the worker has just failed");
    w.pass(Duration::from_millis(300));
    assert_eq!(w.started().len(), 1, "the service is idle and no other worker suits");
}

#[test]
fn plan_absurd_sizes_harm_nothing() {
    let mut w = World::new(1, 2, 8);
    let need = Resources { cpu: u64::MAX, memory: u64::MAX, gpu: u64::MAX };
    w.submit(1, 0, vec![Step { need, estimate: u64::MAX, ..step(3, 0) }]);
    w.submit(2, 1, vec![Step { need, estimate: u64::MAX, ..gang(3, 0) }]);
    w.submit(3, 2, vec![Step { estimate: u64::MAX, ..step(1, 1) }]);
    w.pass(SECOND * 5);
    assert_eq!(w.started().iter().map(|a| a.run).collect::<Vec<_>>(), [run(3, 0, 0, 1)]);
}

#[test]
fn plan_never_overfills() {
    arbtest::arbtest(|u| {
        let mut w = World::new(2, 3, 16);
        for id in 1..u.int_in_range(2..=12)? {
            let shape = Step {
                need: Resources {
                    cpu: u.int_in_range(0..=70_000)?,
                    memory: u.int_in_range(0..=130_000)?,
                    gpu: u.int_in_range(0..=8)?,
                },
                gang: u.arbitrary()?,
                single_rack: u.arbitrary()?,
                checkpoints: u.arbitrary()?,
                ..step(u.int_in_range(1..=6)?, 0)
            };
            w.submit(id, u.int_in_range(0..=2)?, vec![shape]);
            w.plan();
            w.pass(Duration::from_millis(u.int_in_range(0..=4_000)?));
            if u.arbitrary()? {
                w.end_unwanted();
            }
            for worker in w.ledger.workers() {
                assert!(worker.spec.capacity.fits(&worker.used()));
            }
        }
        Ok(())
    });
}

/// Four tasks of a service on two workers, all at work, and a guaranteed job that needs the room
/// of three.
fn served(budget: u32) -> World {
    let mut world = World::new(1, 2, 16);
    let service = Step { long_lived: true, disruption_budget: Some(budget), ..step(4, 4) };
    world.submit(1, 2, vec![service]);
    let started = world.started();
    assert_eq!(started.len(), 4);
    for given in started {
        let done = Progress { checkpoint: "".into(), percent: 100 };
        world.scene.progress.insert(given.run, done);
    }
    world.submit(2, 0, vec![step(3, 4)]);
    world
}

#[test]
fn plan_service_loses_no_more_tasks_than_its_budget() {
    for budget in 0..3 {
        let mut world = served(budget);
        let gone: Vec<_> = (0..5).flat_map(|_| stopped(&world.plan())).collect();
        assert_eq!(gone.len(), budget as usize, "budget {budget}: {gone:?}");
    }
}

#[test]
fn plan_service_with_tasks_away_loses_none() {
    let mut world = served(1);
    let away = run(1, 0, 3, 1);
    world.scene.progress.insert(away, Progress { checkpoint: "".into(), percent: 40 });
    let gone = stopped(&world.plan());
    assert!(gone.iter().all(|r| *r == away), "what is away may go, nothing else: {gone:?}");
}
