//! Output that must not leave a replica before its records are durable.

mod common;

use {
    bronzespool_consensus::{
        Entry, EntryPayload, HardState, MessageBody, Node, Settings, Storage, StorageWrite,
        VoteKind, fake::MemoryStorage,
    },
    bronzespool_core::Time,
    common::{OTHER, OWN, bodies, follower, message, name},
};

#[test]
fn receive_vote_waits_for_sync() {
    let (mut node, now) = follower();
    let vote = MessageBody::VoteRequest { kind: VoteKind::Regular, last_index: 1, last_term: 1 };
    node.receive(now, &name(1), message(2, vote));
    let ready = node.ready();
    let hard_state = HardState { id: OWN, cluster: 9, term: 2, vote: Some(OTHER) };
    assert_eq!(ready.writes.last(), Some(&StorageWrite::HardState(hard_state)));
    let batch_id = ready.batch_id;
    assert_eq!(bodies(ready), []);
    assert_eq!(bodies(node.ready()), []);
    node.synced(now, batch_id);
    assert_eq!(
        bodies(node.ready()),
        [MessageBody::VoteResponse { kind: VoteKind::Regular, granted: true }]
    );
}

#[test]
fn receive_append_waits_for_sync() {
    let (mut node, now) = follower();
    let entries = vec![Entry { index: 2, term: 2, payload: EntryPayload::Noop }];
    let append = MessageBody::Append { prev_index: 1, prev_term: 1, commit: 0, entries };
    node.receive(now, &name(1), message(2, append.clone()));
    let first = node.ready();
    assert!(matches!(first.writes.last(), Some(StorageWrite::Append(e)) if e.len() == 1));
    let batch_id = first.batch_id;
    assert_eq!(bodies(first), []);
    // The same entries again: the acknowledgement must still wait, but a heartbeat response must
    // not.
    node.receive(now, &name(1), message(2, append));
    node.receive(now, &name(1), message(2, MessageBody::Heartbeat { round: 4, commit: 0 }));
    let second = node.ready();
    assert!(second.writes.is_empty() && second.batch_id < batch_id);
    node.synced(now, second.batch_id);
    assert_eq!(bodies(second), [MessageBody::HeartbeatResponse { round: 4 }]);
    assert_eq!(bodies(node.ready()), []);
    node.synced(now, batch_id);
    assert_eq!(bodies(node.ready()), [MessageBody::Matched(2), MessageBody::Matched(2)]);
}

#[test]
fn tick_own_vote_waits_for_sync() {
    let (mut node, now) = follower();
    node.tick(now);
    let pre_vote = MessageBody::VoteResponse { kind: VoteKind::PreVote, granted: true };
    node.receive(now, &name(1), message(2, pre_vote));
    let ready = node.ready();
    let batch_id = ready.batch_id;
    let requests = bodies(ready);
    assert!(
        !requests
            .iter()
            .any(|b| matches!(b, MessageBody::VoteRequest { kind: VoteKind::Regular, .. }))
    );
    node.receive(
        now,
        &name(1),
        message(2, MessageBody::VoteResponse { kind: VoteKind::Regular, granted: true }),
    );
    assert!(!node.is_leader());
    node.synced(now, batch_id);
    assert!(node.is_leader());
}

#[test]
fn tick_identity_is_durable_before_discovery() {
    let settings = Settings::new(name(0), (0..3).map(name).collect(), 1);
    let mut node =
        Node::open(settings, MemoryStorage::default().load().unwrap(), Time::ZERO).unwrap();
    node.tick(Time::ZERO);
    let ready = node.ready();
    assert!(ready.messages.is_empty() && ready.writes.len() == 1);
    node.synced(Time::ZERO, ready.batch_id);
    assert_eq!(
        bodies(node.ready()),
        [MessageBody::DiscoveryRequest, MessageBody::DiscoveryRequest]
    );
}

#[test]
fn propose_leader_alone_waits_for_sync() {
    let mut c = common::Cluster::new(1);
    c.commit(b"a");
    let index = c.propose(0, b"b").unwrap();
    let now = c.now;
    let ready = c.node(0).ready();
    assert!(ready.committed.is_empty());
    c.node(0).synced(now, ready.batch_id);
    assert_eq!(c.node(0).ready().committed.last().map(|e| e.index), Some(index));
}
