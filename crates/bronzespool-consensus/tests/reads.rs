//! Linearizable reads, and leaders that must not answer them.

mod common;

use {
    bronzespool_consensus::ReadResult,
    common::{Cluster, SECOND},
};

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
