//! Steps that only workers named by an outside service may run.

mod common;

use {
    bronzespool_batch::{Event, StepId, config::Advice, message::Question, plan::Permits},
    common::{SECOND, World, config, incarnation, run, step},
    std::{sync::Arc, time::Duration},
};

/// Three workers and a queue that needs permits, with a job of one task.
fn advised() -> World {
    let mut world = World::new(1, 3, 0);
    let mut config = config(2, 0);
    config.queues[2].advice = Some(Advice { call: 50, per_worker: 5, validity: 3_000 });
    world.apply(Event::Configured(Arc::new(config)));
    world.submit(1, 2, vec![step(1, 1)]);
    world
}

fn step_id() -> StepId {
    run(1, 0, 0, 1).task.step
}

fn ask(world: &mut World) -> Option<Question> {
    let mut permits = std::mem::take(&mut world.scene.permits);
    let question = permits.next_question(&world.ledger, &world.scene);
    world.scene.permits = permits;
    question
}

fn permit(world: &mut World, worker: usize, span: Duration) {
    let until = world.scene.now + span;
    world.scene.permits.record(step_id(), until, [(incarnation(worker), "ticket".into())]);
}

#[test]
fn plan_step_without_permit_waits() {
    let mut world = advised();
    assert!(world.started().is_empty());
    let question = ask(&mut world).expect("a question");
    assert_eq!(question.step, step_id());
    assert_eq!(question.workers.len(), 3);
    permit(&mut world, 1, SECOND * 3);
    let started = world.started();
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].incarnation, incarnation(1), "only this worker is named");
    assert_eq!(started[0].permit.as_deref(), Some("ticket"));
}

#[test]
fn plan_permit_that_ends_too_soon_is_not_used() {
    let mut world = advised();
    permit(&mut world, 1, Duration::from_millis(300));
    assert!(world.started().is_empty(), "an order would arrive too late");
}

#[test]
fn plan_queue_without_advice_needs_no_permit() {
    let mut world = advised();
    world.submit(2, 1, vec![step(1, 1)]);
    assert_eq!(world.started().len(), 1);
    assert!(ask(&mut world).is_some_and(|q| q.step == step_id()));
}

#[test]
fn ask_step_is_asked_about_once_at_a_time() {
    let mut world = advised();
    assert!(ask(&mut world).is_some());
    world.pass(SECOND);
    assert!(ask(&mut world).is_none(), "the answer may still come");
    world.pass(SECOND * 3);
    assert!(ask(&mut world).is_some(), "it does not come any more");
}

#[test]
fn ask_answered_step_that_still_waits_is_asked_about_again() {
    let mut world = advised();
    ask(&mut world);
    let until = world.scene.now + SECOND * 3;
    world.scene.permits.record(step_id(), until, []);
    assert!(ask(&mut world).is_none());
    world.pass(SECOND);
    assert!(ask(&mut world).is_some(), "the service may name others now");
}

#[test]
fn refused_permit_is_not_used_again() {
    let mut world = advised();
    permit(&mut world, 1, SECOND * 3);
    world.scene.permits.revoke(step_id(), &incarnation(1));
    assert!(world.started().is_empty());
}

#[test]
fn note_permit_of_a_former_life_is_not_used() {
    let mut world = advised();
    let until = world.scene.now + SECOND * 3;
    let former = bronzespool_batch::WorkerIncarnation { started_at: 0, ..incarnation(1) };
    let mut permits = Permits::default();
    permits.record(step_id(), until, [(former, "ticket".into())]);
    world.scene.permits = permits;
    assert!(world.started().is_empty());
}
