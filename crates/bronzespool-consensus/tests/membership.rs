//! Lost disks, and instances that are replaced, added or removed.

mod common;

use {
    bronzespool_consensus::{Error, HardState, Member, Role, Storage, StorageWrite},
    bronzespool_core::Code,
    common::{Cluster, SECOND, name},
};

fn voters(c: &mut Cluster, i: usize) -> usize {
    let status = c.node(i).status();
    if status.joint { 0 } else { status.members.iter().filter(|m| m.voter).count() }
}

/// Runs until the current identity of a replica votes and no set is joint.
fn wait_for_repair(c: &mut Cluster, i: usize) {
    c.run_until("repair", |c| {
        let id = c.node(i).id();
        let Some(leader) = c.leader() else { return false };
        let status = c.node(leader).status();
        !status.joint && status.members.iter().any(|m| m.id == id && m.voter)
    });
}

#[test]
fn receive_lost_disk_is_replaced() {
    let mut c = Cluster::new(3);
    c.commit(b"a");
    let leader = c.elect();
    let lost = (leader + 1) % 3;
    let old = c.node(lost).id();
    c.wipe(lost);
    let new = c.node(lost).id();
    assert_ne!(old, new);
    wait_for_repair(&mut c, lost);
    let status = c.node(leader).status();
    assert_eq!(status.members.len(), 3);
    assert!(status.members.iter().all(|m| m.id != old));
    c.run(SECOND);
    assert_eq!(c.replicas[lost].state, [b"a".to_vec()]);
}

#[test]
fn receive_second_loss_after_repair_keeps_accepted() {
    for first in 0..3 {
        for second in (0..3).filter(|&s| s != first) {
            let mut c = Cluster::new(3);
            let indices: Vec<u64> = (0..30_u8).map(|i| c.commit(&[i])).collect();
            c.wipe(first);
            wait_for_repair(&mut c, first);
            c.wipe(second);
            c.commit(b"after");
            let leader = c.elect();
            let held = |i: &u64| c.replicas[leader].applied.contains_key(i);
            assert!(indices.iter().all(held), "{first} {second}");
        }
    }
}

#[test]
fn receive_lost_disk_does_not_vote_before_replaced() {
    let mut c = Cluster::new(3);
    c.commit(b"a");
    let leader = c.elect();
    let (lost, other) = ((leader + 1) % 3, (leader + 2) % 3);
    c.stop(other);
    c.commit(b"b");
    c.stop(leader);
    c.wipe(lost);
    c.start(other);
    c.run(SECOND * 20);
    assert_eq!(c.leader(), None);
    assert_eq!(c.node(lost).status().role, Role::Blank);
    c.start(leader);
    c.commit(b"c");
    c.run(SECOND);
    let state = [b"a".to_vec(), b"b".to_vec(), b"c".to_vec()];
    assert_eq!(c.replicas[other].state, state);
}

#[test]
fn receive_all_but_one_disk_lost_bootstraps_nothing() {
    let mut c = Cluster::new(3);
    c.commit(b"a");
    c.wipe(0);
    c.wipe(1);
    c.run(SECOND * 20);
    assert_eq!(c.leader(), None);
    assert!((0..2).all(|i| c.node(i).status().role == Role::Blank));
}

#[test]
fn receive_lost_disk_under_load_is_replaced() {
    let mut c = Cluster::new(3);
    c.commit(b"a");
    let leader = c.elect();
    let lost = (leader + 1) % 3;
    c.wipe(lost);
    c.slow_receivers.push(lost);
    let id = c.node(lost).id();
    c.run_until("repair under load", |c| {
        let _ = c.propose(leader, &[0; 100]);
        let status = c.node(leader).status();
        !status.joint && status.members.iter().any(|m| m.id == id && m.voter)
    });
}

#[test]
fn receive_learner_that_lags_does_not_vote() {
    let mut c = Cluster::new(3);
    c.commit(b"a");
    let leader = c.elect();
    let lost = (leader + 1) % 3;
    c.wipe(lost);
    c.run_until("learner", |c| c.node(leader).status().members.len() == 4);
    c.isolated[lost] = true;
    c.run(SECOND * 5);
    let id = c.node(lost).id();
    let status = c.node(leader).status();
    assert!(status.members.iter().any(|m| m.id == id && !m.voter));
    c.isolated[lost] = false;
    wait_for_repair(&mut c, lost);
}

#[test]
fn receive_old_disk_after_replacement_is_retired() {
    let mut c = Cluster::new(3);
    c.commit(b"a");
    let leader = c.elect();
    let lost = (leader + 1) % 3;
    c.stop(lost);
    let old = c.replicas[lost].disk.clone();
    c.wipe(lost);
    wait_for_repair(&mut c, lost);
    let term = c.node(leader).term();
    c.stop(lost);
    c.replicas[lost].disk = old;
    c.start(lost);
    c.run(SECOND * 5);
    let status = c.node(lost).status();
    assert_eq!((status.role, status.fault), (Role::Retired, Some(Code::ReplicaUnknown)));
    assert_eq!(c.node(leader).term(), term);
    assert_eq!(voters(&mut c, leader), 3);
}

#[test]
fn receive_learner_of_lost_leader_sends_discovery_again() {
    let mut c = Cluster::new(3);
    c.commit(b"a");
    let old = c.elect();
    let (lost, other) = ((old + 1) % 3, (old + 2) % 3);
    c.wipe(lost);
    // The entry that adds the learner reaches only the learner. The leader crashes before its own
    // sync of that entry.
    let disk = c.replicas[old].disk.clone();
    c.run(SECOND / 4);
    c.isolated[other] = true;
    c.run_until("learner", |c| c.node(lost).status().members.len() == 4);
    c.stop(old);
    c.replicas[old].disk = disk;
    c.start(old);
    c.isolated[other] = false;
    wait_for_repair(&mut c, lost);
}

#[test]
fn receive_blank_member_after_compaction_takes_part() {
    let mut c = Cluster::new(3);
    // The bootstrap entry reaches only the first two replicas and is then compacted away.
    c.run_until("bootstrap", |c| {
        c.isolated[2] = c.node(0).status().cluster != 0;
        c.in_flight.retain(|(_, to, _)| *to != 2 || !c.isolated[2]);
        c.isolated[2]
    });
    assert_eq!(c.node(2).status().role, Role::Blank);
    let index = c.commit(b"a");
    c.run(SECOND);
    for i in 0..2 {
        let state = common::encode(&c.replicas[i].state);
        c.node(i).compact(index, state);
        c.pump(i);
        c.stop(i);
        c.start(i);
    }
    c.wipe(1);
    c.isolated[2] = false;
    c.commit(b"b");
    wait_for_repair(&mut c, 1);
}

#[test]
fn open_torn_bootstrap_starts_again() {
    let mut c = Cluster::new(3);
    let id = c.node(0).id();
    c.stop(0);
    let torn = HardState { id, cluster: id.0, term: 1, vote: None };
    c.replicas[0].disk.write(&[StorageWrite::HardState(torn)]).unwrap();
    c.start(0);
    c.commit(b"a");
}

#[test]
fn receive_discovery_of_live_instance_waits() {
    let mut c = Cluster::new(3);
    c.commit(b"a");
    let leader = c.elect();
    let now = c.now;
    let discovery = bronzespool_consensus::Message {
        cluster: 0,
        from: bronzespool_consensus::ReplicaId(99),
        to: bronzespool_consensus::ReplicaId(0),
        term: 0,
        body: bronzespool_consensus::MessageBody::DiscoveryRequest,
    };
    c.node(leader).receive(now, &name((leader + 1) % 3), discovery);
    c.run(SECOND * 3);
    assert_eq!(c.node(leader).status().members.len(), 3);
}

#[test]
fn receive_new_instance_grows_set() {
    let mut c = Cluster::new(3);
    let index = c.commit(b"a");
    c.replicas.extend([common::Replica::default(), common::Replica::default()]);
    c.isolated.extend([false; 2]);
    // After a rolling restart, the settings of each replica name the new instances.
    for i in 0..3 {
        c.stop(i);
        c.start(i);
        c.elect();
    }
    (3..5).for_each(|i| c.start(i));
    c.run_until("five voters", |c| c.leader().is_some_and(|i| voters(c, i) == 5));
    c.run(SECOND);
    assert!(c.replicas.iter().all(|r| r.applied.contains_key(&index)));
    let leader = c.elect();
    c.stop(leader);
    c.stop((leader + 1) % 5);
    c.commit(b"b");
}

#[test]
fn remove_follower_shrinks_set() {
    let mut c = Cluster::new(4);
    c.commit(b"a");
    let leader = c.elect();
    let stopped = (leader + 1) % 4;
    let now = c.now;
    c.node(leader).remove(now, &name(stopped)).unwrap();
    c.run_until("removal", |c| voters(c, leader) == 3);
    c.stop(stopped);
    c.commit(b"b");
}

#[test]
fn remove_leader_elects_another() {
    let mut c = Cluster::new(3);
    c.commit(b"a");
    let old = c.elect();
    let now = c.now;
    c.node(old).remove(now, &name(old)).unwrap();
    c.run_until("other leader", |c| c.leader().is_some_and(|i| i != old));
    c.stop(old);
    let leader = c.elect();
    c.commit(b"b");
    assert_eq!(voters(&mut c, leader), 2);
}

#[test]
fn remove_leader_alone_with_last_entry_is_elected_again() {
    let mut c = Cluster::new(4);
    c.commit(b"a");
    let old = c.elect();
    let (now, id) = (c.now, c.node(old).id());
    c.node(old).remove(now, &name(old)).unwrap();
    // Only the leader holds the entry that removes it, and all lose power.
    c.run_until("last entry of the change", |c| {
        c.node(old).status().members.iter().all(|m| m.id != id)
    });
    c.in_flight.clear();
    (0..4).for_each(|i| c.stop(i));
    // The joint set has a majority without one of the others, together with the old leader.
    let lost = (old + 1) % 4;
    c.replicas[lost].disk.wipe();
    (0..4).filter(|i| *i != lost).for_each(|i| c.start(i));
    c.commit(b"b");
    let leader = c.elect();
    assert_ne!(leader, old);
    assert_eq!(voters(&mut c, leader), 3);
}

#[test]
fn remove_last_voter_is_refused() {
    let mut c = Cluster::new(1);
    c.commit(b"a");
    let now = c.now;
    let refused = c.node(0).remove(now, &name(0)).unwrap_err();
    assert_eq!(refused.code(), Code::ConfigInvalid);
}

#[test]
fn remove_during_change_is_refused() {
    let mut c = Cluster::new(5);
    c.commit(b"a");
    let leader = c.elect();
    let now = c.now;
    c.node(leader).remove(now, &name((leader + 1) % 5)).unwrap();
    let second = c.node(leader).remove(now, &name((leader + 2) % 5));
    assert_eq!(second, Err(Error::MembershipPending));
}

#[test]
fn quorum_value_joint_needs_both_sets() {
    use bronzespool_consensus::{Membership, ReplicaId};
    let first = Membership::initial((0..3).map(|i| (ReplicaId(i), name(i as usize))));
    let joint = first.with_learner(ReplicaId(9), &name(2)).with_voter(ReplicaId(9));
    assert!(joint.is_joint());
    assert!(!joint.has_quorum(|id| id == ReplicaId(0) || id == ReplicaId(9)));
    assert!(!joint.has_quorum(|id| id == ReplicaId(0) || id == ReplicaId(2)));
    assert!(joint.has_quorum(|id| id == ReplicaId(0) || id == ReplicaId(1)));
    let next = joint.leave_joint();
    assert!(next.is_retired(ReplicaId(2)) && !next.is_joint());
    assert!(next.members.contains(&Member { id: ReplicaId(9), name: name(2), voter: true }));
}
