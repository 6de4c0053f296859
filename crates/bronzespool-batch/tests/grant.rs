//! Polls that were held up on their way take nothing away that was granted since.

mod common;

use {
    bronzespool_batch::{
        Event,
        agent::lease_duration_max,
        contact::Contacts,
        exchange::poll_events,
        grant::{Grants, WORKER_LEASE},
        ledger::WorkerSpec,
        message::{Poll, PollId},
    },
    bronzespool_core::{Instance, Time},
    common::{Cluster, incarnation, run, step},
    std::{rc::Rc, time::Duration},
};

const NOW: Time = Time::from_secs(100);
/// When the agent was last in contact.
const BEFORE: Time = Time::from_millis(101_500);
/// When no other process of the agent can be alive any more.
const LATER: Time = Time::from_secs(102);
/// The agent's process, and another one of the same agent.
const PROCESS: u32 = 7;
const OTHER_PROCESS: u32 = 8;

/// A cluster of one worker that was assigned a run.
fn cluster() -> Cluster {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    assert_eq!(cluster.started().len(), 1);
    cluster
}

fn poll(id: PollId, worker: Option<WorkerSpec>) -> Poll {
    Poll {
        agent: Instance::try_from("side-0").unwrap(),
        id,
        relay: None,
        worker,
        gone: Vec::new(),
        running: Vec::new(),
        ends: Vec::new(),
        refused: Vec::new(),
        in_flight: Vec::new(),
    }
}

/// A poll by which the worker is gone.
fn gone_poll(id: PollId) -> Poll {
    Poll { gone: vec![incarnation(0)], ..poll(id, None) }
}

/// Grants of which the last one answered the fifth poll of the agent's process.
fn grants() -> Grants {
    let mut grants = Grants::default();
    grants.record(NOW, &incarnation(0), PollId::new(PROCESS, 5));
    for at in [NOW, Time::from_secs(101), BEFORE] {
        grants.record(at, &incarnation(0), PollId::new(PROCESS, 4));
    }
    grants
}

#[test]
fn poll_events_worker_gone_since_the_last_grant_is_taken_away() {
    let events =
        poll_events(LATER, &cluster().ledger, &grants(), &gone_poll(PollId::new(PROCESS, 6)));
    assert_eq!(events, [Event::WorkerGone(incarnation(0))]);
}

// A poll by which the worker was gone arrived after the worker had come back: its runs went on, and
// their tasks were given to other workers.
#[test]
fn poll_events_late_poll_takes_no_worker_away_that_has_come_back() {
    let ledger = cluster().ledger;
    for id in [PollId::new(PROCESS, 3), PollId::new(PROCESS, 5), PollId::new(OTHER_PROCESS, 9)] {
        assert_eq!(poll_events(LATER, &ledger, &grants(), &gone_poll(id)), [], "{id:?}");
    }
}

#[test]
fn poll_events_before_the_first_grant_of_a_term_take_nothing_away() {
    let id = PollId::new(PROCESS, 6);
    assert_eq!(poll_events(LATER, &cluster().ledger, &Grants::default(), &gone_poll(id)), []);
}

// A refusal that the agent's former process had reported arrived after the next process had been
// ordered to start the run.
#[test]
fn poll_events_refusal_of_a_former_process_is_ignored() {
    let cluster = cluster();
    let worker = cluster.ledger.workers().next().map(|w| w.spec.clone());
    let refusal = |id| Poll { refused: vec![run(1, 0, 0, 1)], ..poll(id, worker.clone()) };
    let events = |id| poll_events(LATER, &cluster.ledger, &grants(), &refusal(id));
    assert_eq!(events(PollId::new(OTHER_PROCESS, 1)), []);
    let refused = Event::Refused { incarnation: incarnation(0), run: run(1, 0, 0, 1) };
    assert_eq!(events(PollId::new(PROCESS, 6)), [refused]);
}

#[test]
fn record_poll_late_one_replaces_no_newer_one() {
    let mut contacts = Contacts::default();
    let worker = cluster().ledger.workers().next().map(|w| w.spec.clone());
    let newer = Rc::new(poll(PollId::new(PROCESS, 2), worker));
    let late = Rc::new(poll(PollId::new(PROCESS, 1), None));
    let first = contacts.record_poll(NOW, &newer);
    let arrival = contacts.record_poll(NOW, &late);
    assert!(!first.is_late && arrival.is_late);
    assert!(contacts.is_superseded(&late.agent, arrival.serial));
    assert!(!contacts.is_superseded(&newer.agent, first.serial));
    assert_eq!(contacts.in_contact(NOW).next(), Some(&*newer));
}

#[test]
fn record_poll_of_a_new_process_replaces_the_former_one() {
    let mut contacts = Contacts::default();
    contacts.record_poll(NOW, &Rc::new(poll(PollId::new(PROCESS, 9), None)));
    let next = Rc::new(poll(PollId::new(OTHER_PROCESS, 1), None));
    assert!(!contacts.record_poll(NOW, &next).is_late);
    assert_eq!(contacts.in_contact(NOW).next(), Some(&*next));
}

// Two polls of the agent's former process were held up. The first one was answered with a grant, so
// that the second one took away a run that the next process had started.
#[test]
fn poll_events_refusal_after_a_late_grant_to_a_former_process_is_ignored() {
    let cluster = cluster();
    let worker = cluster.ledger.workers().next().map(|w| w.spec.clone());
    let mut grants = Grants::default();
    grants.record(NOW, &incarnation(0), PollId::new(OTHER_PROCESS, 8));
    grants.record(NOW, &incarnation(0), PollId::new(PROCESS, 5));
    grants.record(LATER, &incarnation(0), PollId::new(OTHER_PROCESS, 9));
    let late =
        Poll { refused: vec![run(1, 0, 0, 1)], ..poll(PollId::new(OTHER_PROCESS, 10), worker) };
    assert_eq!(poll_events(LATER, &cluster.ledger, &grants, &late), []);
}

// All polls of an agent of the former version have one identifier. Its refusals were never taken: a
// run of a cancelled job held its room for ever, and the agent stopped it without a pause.
#[test]
fn poll_events_refusal_of_an_agent_of_the_former_version_is_taken() {
    let cluster = cluster();
    let worker = cluster.ledger.workers().next().map(|w| w.spec.clone());
    let id = PollId::new(PROCESS, 1);
    let mut grants = Grants::default();
    for at in [NOW, Time::from_secs(101), BEFORE] {
        grants.record(at, &incarnation(0), id);
    }
    let refusal = Poll { refused: vec![run(1, 0, 0, 1)], ..poll(id, worker) };
    let refused = Event::Refused { incarnation: incarnation(0), run: run(1, 0, 0, 1) };
    assert_eq!(poll_events(LATER, &cluster.ledger, &grants, &refusal), [refused]);
}

// Two polls of the agent's former process were late by different times, while the next process, which
// had started the run, could not reach the leader.
#[test]
fn poll_events_refusal_after_late_polls_of_a_former_process_some_time_apart_is_ignored() {
    let cluster = cluster();
    let worker = cluster.ledger.workers().next().map(|w| w.spec.clone());
    let mut grants = Grants::default();
    grants.record(NOW, &incarnation(0), PollId::new(OTHER_PROCESS, 1));
    grants.record(NOW, &incarnation(0), PollId::new(PROCESS, 8));
    let late = |n| Poll {
        refused: vec![run(1, 0, 0, 1)],
        ..poll(PollId::new(PROCESS, n), worker.clone())
    };
    for n in [8, 9] {
        assert_eq!(poll_events(LATER, &cluster.ledger, &grants, &late(n)), []);
    }
}

// An agent that was in contact for long enough may be silent for a while: no other process of it was
// heard.
#[test]
fn poll_events_refusal_after_a_pause_of_the_only_process_is_taken() {
    let cluster = cluster();
    let worker = cluster.ledger.workers().next().map(|w| w.spec.clone());
    let refusal = Poll { refused: vec![run(1, 0, 0, 1)], ..poll(PollId::new(PROCESS, 6), worker) };
    let mut grants = grants();
    grants.record(LATER, &incarnation(0), PollId::new(PROCESS, 5));
    let refused = Event::Refused { incarnation: incarnation(0), run: run(1, 0, 0, 1) };
    let much_later = Time::from_secs(107);
    assert_eq!(poll_events(much_later, &cluster.ledger, &grants, &refusal), [refused]);
}

// Three polls of the agent's former process were late, each a little later than the one before, while the
// next process, which had started the run, could not reach the leader.
#[test]
fn poll_events_refusal_after_late_polls_of_a_former_process_in_a_row_is_ignored() {
    let cluster = cluster();
    let worker = cluster.ledger.workers().next().map(|w| w.spec.clone());
    let mut grants = Grants::default();
    grants.record(NOW, &incarnation(0), PollId::new(PROCESS, 8));
    grants.record(NOW, &incarnation(0), PollId::new(OTHER_PROCESS, 1));
    let late = |n| Poll {
        refused: vec![run(1, 0, 0, 1)],
        ..poll(PollId::new(PROCESS, n), worker.clone())
    };
    for (at, n) in [(Time::from_millis(100_100), 9), (Time::from_millis(101_100), 10), (LATER, 11)]
    {
        assert_eq!(poll_events(at, &cluster.ledger, &grants, &late(n)), []);
        grants.record(at, &incarnation(0), PollId::new(PROCESS, n));
    }
}

// The word of an agent's next process was never taken, since the former one had been heard in the term.
#[test]
fn poll_events_refusal_of_the_next_process_is_taken_after_the_leases_of_the_former_one() {
    let cluster = cluster();
    let worker = cluster.ledger.workers().next().map(|w| w.spec.clone());
    let mut grants = Grants::default();
    grants.record(NOW, &incarnation(0), PollId::new(OTHER_PROCESS, 1));
    let refusal = Poll { refused: vec![run(1, 0, 0, 1)], ..poll(PollId::new(PROCESS, 1), worker) };
    let leases_end = NOW + lease_duration_max(WORKER_LEASE);
    for millis in (0..9_000).step_by(400) {
        let at = NOW + Duration::from_millis(millis);
        let is_taken = !poll_events(at, &cluster.ledger, &grants, &refusal).is_empty();
        assert_eq!(is_taken, at > leases_end, "after {millis} ms");
        grants.record(at, &incarnation(0), PollId::new(PROCESS, 1));
    }
}
