//! Steps that run only on workers for which the advice service has issued permits.

mod common;

use {
    bronzespool_batch::{Event, StepId, config::Advice, message::Question, plan::Permits},
    common::{Cluster, SECOND, config, incarnation, run, step},
    std::{sync::Arc, time::Duration},
};

/// Three workers, and a queue that requires permits with a job of one task.
fn cluster_with_permits() -> Cluster {
    let mut cluster = Cluster::new(1, 3, 0);
    let mut config = config(2, 0);
    config.queues[2].advice = Some(Advice { call: 50, per_worker: 5, validity: 3_000 });
    cluster.apply(Event::Configured(Arc::new(config)));
    cluster.submit(1, 2, vec![step(1, 1)]);
    cluster
}

fn step_id() -> StepId {
    run(1, 0, 0, 1).task.step
}

fn next_question(cluster: &mut Cluster) -> Option<Question> {
    let mut permits = std::mem::take(&mut cluster.view.permits);
    let question = permits.next_question(&cluster.ledger, &cluster.view);
    cluster.view.permits = permits;
    question
}

fn record_permit(cluster: &mut Cluster, worker: usize, span: Duration) {
    let until = cluster.view.now + span;
    cluster.view.permits.record(step_id(), until, [(incarnation(worker), "ticket".into())]);
}

#[test]
fn plan_step_without_permit_waits() {
    let mut cluster = cluster_with_permits();
    assert!(cluster.started().is_empty());
    let question = next_question(&mut cluster).expect("a question");
    assert_eq!(question.step, step_id());
    assert_eq!(question.workers.len(), 3);
    record_permit(&mut cluster, 1, SECOND * 3);
    let started = cluster.started();
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].incarnation, incarnation(1), "only this worker has a permit");
    assert_eq!(started[0].permit.as_deref(), Some("ticket"));
}

#[test]
fn plan_permit_that_ends_too_soon_is_not_used() {
    let mut cluster = cluster_with_permits();
    record_permit(&mut cluster, 1, Duration::from_millis(300));
    assert!(cluster.started().is_empty(), "an order would arrive too late");
}

#[test]
fn plan_queue_without_advice_needs_no_permit() {
    let mut cluster = cluster_with_permits();
    cluster.submit(2, 1, vec![step(1, 1)]);
    assert_eq!(cluster.started().len(), 1);
    assert!(next_question(&mut cluster).is_some_and(|q| q.step == step_id()));
}

#[test]
fn next_question_step_is_asked_about_once_at_a_time() {
    let mut cluster = cluster_with_permits();
    assert!(next_question(&mut cluster).is_some());
    cluster.pass(SECOND);
    assert!(next_question(&mut cluster).is_none(), "the answer may still come");
    cluster.pass(SECOND * 3);
    assert!(next_question(&mut cluster).is_some(), "it does not come any more");
}

#[test]
fn next_question_answered_step_that_still_waits_is_asked_about_again() {
    let mut cluster = cluster_with_permits();
    next_question(&mut cluster);
    let until = cluster.view.now + SECOND * 3;
    cluster.view.permits.record(step_id(), until, []);
    assert!(next_question(&mut cluster).is_none());
    cluster.pass(SECOND);
    assert!(next_question(&mut cluster).is_some(), "the service may name others now");
}

#[test]
fn revoke_permit_is_not_used_again() {
    let mut cluster = cluster_with_permits();
    record_permit(&mut cluster, 1, SECOND * 3);
    cluster.view.permits.revoke(step_id(), &incarnation(1));
    assert!(cluster.started().is_empty());
}

#[test]
fn record_permit_of_a_former_incarnation_is_not_used() {
    let mut cluster = cluster_with_permits();
    let until = cluster.view.now + SECOND * 3;
    let former = bronzespool_batch::WorkerIncarnation { started_at: 0, ..incarnation(1) };
    let mut permits = Permits::default();
    permits.record(step_id(), until, [(former, "ticket".into())]);
    cluster.view.permits = permits;
    assert!(cluster.started().is_empty());
}
