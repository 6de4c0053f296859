//! Snapshots, compacted logs and replicas that are far behind.

mod common;

use common::{Cluster, SECOND, encode};

fn small(settings: &mut bronzespool_consensus::Settings) {
    settings.chunk_bytes = 64;
    settings.trailing_entries = 5;
    settings.threshold_entries = 20;
}

fn compact(c: &mut Cluster, i: usize) {
    let state = encode(&c.replicas[i].state);
    let index = *c.replicas[i].applied.keys().next_back().unwrap();
    c.node(i).compact(index, state);
}

#[test]
fn compact_follower_behind_gets_snapshot() {
    let mut c = Cluster::with_settings(3, small);
    let leader = c.elect();
    let other = (leader + 1) % 3;
    c.commit(b"first");
    c.isolated[other] = true;
    for i in 0..100_u8 {
        c.commit(&[i]);
    }
    assert!(c.node(leader).status().snapshot_due);
    compact(&mut c, leader);
    assert!(!c.node(leader).status().snapshot_due);
    c.commit(b"last");
    c.isolated[other] = false;
    c.run(SECOND * 3);
    assert_eq!(c.replicas[other].state, c.replicas[leader].state);
    assert!(c.node(other).status().snapshot > 50);
}

#[test]
fn compact_restart_resumes_from_snapshot() {
    let mut c = Cluster::with_settings(3, small);
    for i in 0..50_u8 {
        c.commit(&[i]);
    }
    c.run(SECOND);
    (0..3).for_each(|i| compact(&mut c, i));
    c.commit(b"last");
    c.run(SECOND);
    let state = c.replicas[0].state.clone();
    (0..3).for_each(|i| c.stop(i));
    (0..3).for_each(|i| c.start(i));
    c.commit(b"more");
    c.run(SECOND);
    assert_eq!(c.replicas[0].state[..51], state);
    assert!(c.replicas.iter().all(|r| r.state == c.replicas[0].state));
}

#[test]
fn compact_lost_disk_gets_snapshot_and_votes() {
    let mut c = Cluster::with_settings(3, small);
    for i in 0..60_u8 {
        c.commit(&[i]);
    }
    let leader = c.elect();
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    compact(&mut c, leader);
    c.wipe(lost);
    let id = c.node(lost).id();
    c.run_until("repair", |c| {
        let status = c.node(leader).status();
        !status.joint && status.members.iter().any(|m| m.id == id && m.voter)
    });
    c.stop(leader);
    let new = c.elect();
    c.commit(b"after");
    assert!(new == lost || new == other);
    assert_eq!(c.replicas[new].state.len(), 61);
}

#[test]
fn compact_leader_changes_during_transfer() {
    let mut c = Cluster::with_settings(3, small);
    let leader = c.elect();
    let other = (leader + 1) % 3;
    c.isolated[other] = true;
    for i in 0..100_u8 {
        c.commit(&[i; 20]);
    }
    (0..3).filter(|&i| i != other).for_each(|i| compact(&mut c, i));
    c.isolated[other] = false;
    c.run(common::STEP * 20);
    c.stop(leader);
    c.commit(b"after");
    c.run(SECOND * 3);
    assert_eq!(c.replicas[other].state.len(), 101);
}

#[test]
fn is_snapshot_due_follows_bytes() {
    let mut c = Cluster::with_settings(1, |s| s.threshold_bytes = 1_000);
    c.commit(&[1; 800]);
    assert!(!c.node(0).is_snapshot_due());
    c.commit(&[2; 800]);
    assert!(c.node(0).is_snapshot_due());
    compact(&mut c, 0);
    assert!(!c.node(0).is_snapshot_due());
}

#[test]
fn compact_beyond_applied_is_ignored() {
    let mut c = Cluster::new(1);
    let index = c.commit(b"a");
    c.node(0).compact(index + 1, Vec::new());
    assert_eq!(c.node(0).status().snapshot, 0);
}
