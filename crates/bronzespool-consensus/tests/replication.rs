//! Commits, diverged logs, batching and flow control.

mod common;

use {
    bronzespool_consensus::{
        Entry, EntryPayload, Membership, Message, MessageBody, Node, ReplicaId, Role, Settings,
        Snapshot, Storage, VoteKind, fake::MemoryStorage,
    },
    bronzespool_core::Time,
    common::{Cluster, SECOND, bodies, follower, message, name},
};

/// Reports all pending writes as durable.
fn sync(node: &mut Node, now: Time) {
    let ready = node.ready();
    node.synced(now, ready.batch_id);
}

/// Makes a follower the leader of `term` with votes from the second replica.
fn elect(node: &mut Node, now: Time, term: u64) {
    node.tick(now);
    for kind in [VoteKind::PreVote, VoteKind::Regular] {
        node.receive(
            now,
            &name(1),
            message(term, MessageBody::VoteResponse { kind, granted: true }),
        );
        sync(node, now);
    }
    sync(node, now);
    assert!(node.is_leader());
}

fn entry(index: u64, term: u64) -> Entry {
    Entry { index, term, payload: EntryPayload::Noop }
}

#[test]
fn receive_matched_of_former_term_commits_nothing() {
    let (mut node, now) = follower();
    let entries = vec![entry(2, 2)];
    let append = MessageBody::Append { prev_index: 1, prev_term: 1, commit: 0, entries };
    node.receive(now, &name(1), message(2, append));
    sync(&mut node, now);
    let now = now + SECOND;
    elect(&mut node, now, 3);
    node.receive(now, &name(1), message(3, MessageBody::Matched(2)));
    assert_eq!(node.status().commit, 0);
    node.receive(now, &name(1), message(3, MessageBody::Matched(3)));
    assert_eq!(node.status().commit, 3);
}

#[test]
fn receive_append_with_gaps_is_ignored() {
    let (mut node, now) = follower();
    for entries in [vec![entry(3, 2)], vec![entry(2, 2), entry(4, 2)], vec![entry(2, 3)]] {
        let append = MessageBody::Append { prev_index: 1, prev_term: 1, commit: 9, entries };
        node.receive(now, &name(1), message(2, append));
        assert_eq!(node.status().last, 1);
    }
}

#[test]
fn receive_append_against_committed_is_ignored() {
    let (mut node, now) = follower();
    let append =
        |commit, entries| MessageBody::Append { prev_index: 1, prev_term: 1, commit, entries };
    node.receive(now, &name(1), message(2, append(2, vec![entry(2, 2)])));
    sync(&mut node, now);
    assert_eq!(bodies(node.ready()).pop(), Some(MessageBody::Matched(2)));
    node.receive(now, &name(1), message(3, append(2, vec![entry(2, 3)])));
    sync(&mut node, now);
    assert_eq!((node.status().commit, node.status().last), (2, 2));
    assert!(!bodies(node.ready()).iter().any(|b| matches!(b, MessageBody::Matched(_))));
}

#[test]
fn receive_other_cluster_is_ignored() {
    let (mut node, now) = follower();
    let mut foreign = message(9, MessageBody::Heartbeat { round: 1, commit: 0 });
    foreign.cluster = 8;
    node.receive(now, &name(1), foreign);
    assert_eq!(node.term(), 1);
    let mut foreign = message(9, MessageBody::Heartbeat { round: 1, commit: 0 });
    foreign.to = ReplicaId(77);
    node.receive(now, &name(1), foreign);
    assert_eq!(node.term(), 1);
}

#[test]
fn receive_snapshot_with_wrong_checksum_is_refused() {
    let (mut node, now) = follower();
    let snapshot = Snapshot::new(50, 2, Membership::default(), vec![1; 100]);
    let chunk = |byte| {
        let bytes = vec![byte; 100].into();
        MessageBody::SnapshotChunk { meta: snapshot.meta.clone(), offset: 0, bytes }
    };
    node.receive(now, &name(1), message(2, chunk(2)));
    let ready = node.ready();
    assert!(ready.snapshot.is_none());
    assert!(bodies(ready).contains(&MessageBody::ChunkRequest { index: 50, offset: 0 }));
    node.receive(now, &name(1), message(2, chunk(1)));
    assert_eq!(node.ready().snapshot.map(|s| s.meta.index), Some(50));
}

#[test]
fn propose_many_is_one_write_and_one_message() {
    let mut c = Cluster::new(3);
    let leader = c.elect();
    c.run(SECOND);
    for i in 0..50_u8 {
        c.propose(leader, &[i]).unwrap();
    }
    let ready = c.node(leader).ready();
    assert_eq!(ready.writes.len(), 1);
    let appends =
        |m: &Message| matches!(&m.body, MessageBody::Append { entries, .. } if entries.len() == 50);
    assert_eq!(ready.messages.iter().filter(|(_, m)| appends(m)).count(), 2);
}

#[test]
fn propose_unanswered_fills_window_only() {
    let mut c = Cluster::with_settings(3, |s| s.inflight_max = 4);
    let leader = c.elect();
    c.run(SECOND);
    let mut appends = 0;
    for i in 0..20_u8 {
        c.propose(leader, &[i]).unwrap();
        let messages = c.node(leader).ready().messages;
        let append = |m: &Message| matches!(m.body, MessageBody::Append { .. });
        appends += messages.iter().filter(|(_, m)| append(m)).count();
    }
    assert_eq!(appends, 8);
}

#[test]
fn receive_diverged_log_needs_few_rounds() {
    let mut c = Cluster::new(3);
    c.commit(b"first");
    let old = c.elect();
    c.isolated[old] = true;
    for i in 0..60_u8 {
        c.propose(old, &[i]).unwrap();
    }
    c.run(SECOND);
    for i in 100..160_u8 {
        c.commit(&[i]);
    }
    let before = c.rejected_appends;
    c.isolated[old] = false;
    c.run(SECOND * 2);
    assert!(c.rejected_appends - before <= 4, "{} appends refused", c.rejected_appends - before);
    assert_eq!(c.replicas[old].state.len(), 61);
    assert_eq!(c.replicas[old].state, c.replicas[(old + 1) % 3].state);
}

#[test]
fn open_settings_out_of_bounds_are_refused() {
    let peers: Vec<_> = (0..3).map(name).collect();
    let settings = Settings::new(name(0), peers.clone(), 1);
    let load = || MemoryStorage::default().load().unwrap();
    let mut lease = settings.clone();
    lease.lease_duration = lease.election_timeout;
    assert!(Node::open(lease, load(), Time::ZERO).is_err());
    let mut heartbeat = settings.clone();
    heartbeat.heartbeat_interval = heartbeat.election_timeout;
    assert!(Node::open(heartbeat, load(), Time::ZERO).is_err());
    let unlisted = Settings::new(name(7), peers, 1);
    assert!(Node::open(unlisted, load(), Time::ZERO).is_err());
    let node = Node::open(settings, load(), Time::ZERO).unwrap();
    assert_eq!(node.status().role, Role::Blank);
}
