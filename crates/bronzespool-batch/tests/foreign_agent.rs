//! What an agent says of a worker that is not beside it, or whose service no configuration names.

mod common;

use {
    bronzespool_batch::{
        Event, Record, Withdrawals,
        exchange::{poll_events, poll_orders},
        grant::Grants,
        ledger::WorkerSpec,
        message::{Poll, PollId},
    },
    bronzespool_core::Time,
    common::{Cluster, agent, incarnation, run, step},
    std::time::Duration,
};

const LEASE: Duration = Duration::from_secs(8);
/// The time of the poll, after grants that last for longer than an agent may be silent.
const NOW: Time = Time::from_secs(102);

/// Two workers, the first of which was assigned a run.
fn cluster() -> Cluster {
    let mut cluster = Cluster::new(2, 1, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    assert_eq!(cluster.started()[0].run, run(1, 0, 0, 1));
    cluster
}

fn grants() -> Grants {
    let mut grants = Grants::default();
    for millis in [100_000, 101_000, 101_500] {
        grants.record(Time::from_millis(millis), &incarnation(0), PollId::new(7, 5));
    }
    grants
}

fn poll(from: usize) -> Poll {
    Poll {
        agent: agent(from),
        id: PollId::new(7, 6),
        relay: None,
        worker: None,
        gone: Vec::new(),
        running: Vec::new(),
        ends: Vec::new(),
        refused: Vec::new(),
        in_flight: Vec::new(),
    }
}

fn spec(cluster: &Cluster) -> WorkerSpec {
    cluster.ledger.worker(&incarnation(0)).unwrap().spec.clone()
}

// The word of one agent ended the runs of a worker beside another agent, which ran on.
#[test]
fn poll_events_worker_is_gone_only_by_the_word_of_its_own_agent() {
    let ledger = cluster().ledger;
    let gone = |from| Poll { gone: vec![incarnation(0)], ..poll(from) };
    assert_eq!(poll_events(NOW, &ledger, &grants(), &gone(1)), []);
    let own = poll_events(NOW, &ledger, &grants(), &gone(0));
    assert_eq!(own, [Event::WorkerGone(incarnation(0))]);
}

// As before, with an agent that names the worker as its own, and one that it takes to have started
// later.
#[test]
fn poll_events_worker_with_runs_stays_with_its_agent() {
    let cluster = cluster();
    for started_at in [1, 2] {
        let mut spec = WorkerSpec { agent: agent(1), ..spec(&cluster) };
        spec.incarnation.started_at = started_at;
        let poll = Poll { worker: Some(spec), refused: vec![run(1, 0, 0, 1)], ..poll(1) };
        assert_eq!(poll_events(NOW, &cluster.ledger, &grants(), &poll), []);
        let orders = poll_orders(&cluster.ledger, &Withdrawals::default(), &poll, 1, LEASE);
        assert_eq!((orders.incarnation, orders.lease), (None, 0));
    }
}

// A check-in of another writer under the worker's own name took the worker out of use.
#[test]
fn poll_events_known_worker_keeps_a_service_that_the_configuration_names() {
    let cluster = cluster();
    let report = |service: &str| {
        let spec = WorkerSpec { service: service.into(), ..spec(&cluster) };
        poll_events(NOW, &cluster.ledger, &grants(), &Poll { worker: Some(spec), ..poll(0) })
    };
    assert_eq!(report("another-service"), []);
    assert_eq!(report("desk"), []);
}

// A late poll of an agent's former process named a worker that had ended, and that looked younger since a
// clock was set back: the runs of the present worker, which went on, were given out again.
#[test]
fn poll_events_late_poll_with_a_gone_worker_that_looks_younger_ends_no_worker() {
    let mut cluster = cluster();
    let mut gone = spec(&cluster);
    gone.incarnation.worker = "gone".into();
    gone.incarnation.started_at = u64::MAX;
    let late = Poll { id: PollId::new(3, 9), worker: Some(gone), ..poll(0) };
    let events = poll_events(NOW, &cluster.ledger, &grants(), &late);
    cluster.ledger.apply(&Record { at: NOW, events });
    assert!(cluster.ledger.worker(&incarnation(0)).is_some_and(|w| !w.runs.is_empty()));
}
