//! Linearizable reads, and leaders that must not answer them.

mod common;

use {
    bronzespool_consensus::{MessageBody, Node, ReadResult, VoteKind, WriteBatchId},
    bronzespool_core::Time,
    common::{Cluster, OWN, SECOND, follower, message, name},
};

/// Term of the only election in these tests of a single node.
const TERM: u64 = 2;

/// A new leader whose followers have answered its first heartbeat, with the batch that contains
/// its first entry.
fn new_leader() -> (Node, Time, WriteBatchId) {
    let (mut node, now) = follower();
    node.tick(now);
    let vote = |kind| message(TERM, MessageBody::VoteResponse { kind, granted: true });
    node.receive(now, &name(1), vote(VoteKind::PreVote));
    let batch_id = node.ready().batch_id;
    node.synced(now, batch_id);
    node.receive(now, &name(1), vote(VoteKind::Regular));
    let batch_id = node.ready().batch_id;
    node.receive(now, &name(1), message(TERM, MessageBody::HeartbeatResponse { round: 1 }));
    (node, now, batch_id)
}

#[test]
fn read_lease_answers_at_once() {
    let mut c = Cluster::new(3);
    let index = c.commit(b"a");
    let leader = c.elect();
    let now = c.now;
    assert!(c.node(leader).has_lease(now));
    c.node(leader).read(now, 5).unwrap();
    c.pump(leader);
    let read = c.replicas[leader].reads.pop().unwrap();
    assert_eq!(read.request_id, 5);
    assert!(read.index >= Some(index));
}

#[test]
fn read_after_pause_asks_quorum() {
    let mut c = Cluster::new(3);
    let index = c.commit(b"a");
    let leader = c.elect();
    c.now += SECOND / 4;
    let now = c.now;
    assert!(!c.node(leader).has_lease(now));
    c.node(leader).read(now, 6).unwrap();
    c.pump(leader);
    assert!(c.replicas[leader].reads.is_empty());
    c.run(SECOND / 10);
    assert_eq!(c.replicas[leader].reads, [ReadResult { request_id: 6, index: Some(index) }]);
}

#[test]
fn read_cut_off_leader_fails() {
    let mut c = Cluster::new(3);
    c.commit(b"a");
    let old = c.elect();
    c.isolated[old] = true;
    c.run(SECOND / 4);
    let now = c.now;
    assert!(!c.node(old).has_lease(now));
    c.node(old).read(now, 7).unwrap();
    c.run(SECOND);
    assert_eq!(c.replicas[old].reads, [ReadResult { request_id: 7, index: None }]);
    assert!(c.node(old).read(now, 8).is_err());
}

#[test]
fn has_lease_paused_leader_never_overlaps() {
    let mut c = Cluster::new(3);
    c.commit(b"a");
    let old = c.elect();
    // The process is paused: the node receives neither ticks nor messages, then continues.
    let paused = c.replicas[old].node.take();
    let new = c.elect();
    c.commit(b"b");
    c.replicas[old].node = paused;
    let now = c.now;
    assert!(c.node(old).is_leader() && !c.node(old).has_lease(now));
    c.node(old).read(now, 9).unwrap();
    c.run(SECOND);
    assert_eq!(c.replicas[old].reads, [ReadResult { request_id: 9, index: None }]);
    assert_eq!(c.leader(), Some(new));
}

#[test]
fn has_lease_waits_until_entries_are_handed_out() {
    let (mut node, now, batch_id) = new_leader();
    assert_eq!(node.id(), OWN);
    node.synced(now, batch_id);
    node.receive(now, &name(1), message(TERM, MessageBody::Matched(2)));
    assert_eq!(node.status().commit, 2);
    // The entry is committed, and the embedder has not received it.
    assert!(!node.has_lease(now), "a lease over a state without the committed entries");
    let indices: Vec<_> = node.ready().committed.iter().map(|e| e.index).collect();
    assert_eq!(indices, [1, 2]);
    assert!(node.has_lease(now));
}

#[test]
fn read_before_entries_are_handed_out_returns_them() {
    let (mut node, now, batch_id) = new_leader();
    node.synced(now, batch_id);
    node.receive(now, &name(1), message(TERM, MessageBody::Matched(2)));
    node.read(now, 3).unwrap();
    let ready = node.ready();
    assert_eq!(ready.committed.last().map(|e| e.index), Some(2));
    assert_eq!(ready.reads, [ReadResult { request_id: 3, index: Some(2) }]);
}
