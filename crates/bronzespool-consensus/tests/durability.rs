//! What must not leave a replica before its records are durable.

mod common;

use {
    bronzespool_consensus::{
        Ballot, Body, Change, Entry, Hard, Node, Settings, Storage, Write, fake::MemoryStorage,
    },
    bronzespool_core::Time,
    common::{OTHER, OWN, bodies, follower, message, name},
};

#[test]
fn receive_vote_waits_for_sync() {
    let (mut node, now) = follower();
    let vote = Body::Vote { ballot: Ballot::Regular, last_index: 1, last_term: 1 };
    node.receive(now, &name(1), message(2, vote));
    let ready = node.ready();
    let hard = Hard { id: OWN, cluster: 9, term: 2, vote: Some(OTHER) };
    assert_eq!(ready.writes.last(), Some(&Write::Hard(hard)));
    let ticket = ready.ticket;
    assert_eq!(bodies(ready), []);
    assert_eq!(bodies(node.ready()), []);
    node.synced(now, ticket);
    assert_eq!(bodies(node.ready()), [Body::Voted { ballot: Ballot::Regular, granted: true }]);
}

#[test]
fn receive_append_waits_for_sync() {
    let (mut node, now) = follower();
    let entries = vec![Entry { index: 2, term: 2, change: Change::Noop }];
    let append = Body::Append { prev_index: 1, prev_term: 1, commit: 0, entries };
    node.receive(now, &name(1), message(2, append.clone()));
    let first = node.ready();
    assert!(matches!(first.writes.last(), Some(Write::Append(e)) if e.len() == 1));
    let ticket = first.ticket;
    assert_eq!(bodies(first), []);
    // The same entries again: the answer still has to wait, a heartbeat does not.
    node.receive(now, &name(1), message(2, append));
    node.receive(now, &name(1), message(2, Body::Heartbeat { seq: 4, commit: 0 }));
    let second = node.ready();
    assert!(second.writes.is_empty() && second.ticket < ticket);
    node.synced(now, second.ticket);
    assert_eq!(bodies(second), [Body::Alive { seq: 4 }]);
    assert_eq!(bodies(node.ready()), []);
    node.synced(now, ticket);
    assert_eq!(bodies(node.ready()), [Body::Matched(2), Body::Matched(2)]);
}

#[test]
fn tick_own_vote_waits_for_sync() {
    let (mut node, now) = follower();
    node.tick(now);
    let trial = Body::Voted { ballot: Ballot::Trial, granted: true };
    node.receive(now, &name(1), message(2, trial));
    let ready = node.ready();
    let ticket = ready.ticket;
    let asked = bodies(ready);
    assert!(!asked.iter().any(|b| matches!(b, Body::Vote { ballot: Ballot::Regular, .. })));
    node.receive(now, &name(1), message(2, Body::Voted { ballot: Ballot::Regular, granted: true }));
    assert!(!node.is_leader());
    node.synced(now, ticket);
    assert!(node.is_leader());
}

#[test]
fn tick_identity_is_durable_before_hello() {
    let settings = Settings::new(name(0), (0..3).map(name).collect(), 1);
    let mut node =
        Node::open(settings, MemoryStorage::default().load().unwrap(), Time::ZERO).unwrap();
    node.tick(Time::ZERO);
    let ready = node.ready();
    assert!(ready.messages.is_empty() && ready.writes.len() == 1);
    node.synced(Time::ZERO, ready.ticket);
    assert_eq!(bodies(node.ready()), [Body::Hello, Body::Hello]);
}

#[test]
fn propose_leader_alone_waits_for_sync() {
    let mut c = common::Cluster::new(1);
    c.commit(b"a");
    let index = c.propose(0, b"b").unwrap();
    let now = c.now;
    let ready = c.node(0).ready();
    assert!(ready.committed.is_empty());
    c.node(0).synced(now, ready.ticket);
    assert_eq!(c.node(0).ready().committed.last().map(|e| e.index), Some(index));
}
