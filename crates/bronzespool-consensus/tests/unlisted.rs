//! Replica sets that instances outside the settings join, starting from a few seeds.

mod common;

use {
    bronzespool_consensus::{Role, Settings},
    common::{Cluster, SECOND, name},
};

/// Number of instances named in the settings of every replica.
const SEEDS: usize = 3;

fn use_seeds(settings: &mut Settings) {
    settings.allow_unlisted = true;
    settings.peers = (0..SEEDS).map(name).collect();
    settings.may_bootstrap = settings.peers.contains(&settings.name);
    if !settings.may_bootstrap {
        settings.peers.push(settings.name.clone());
    }
}

/// Names of the voters according to the leader, or none while the set is joint.
fn voters(c: &mut Cluster) -> Vec<String> {
    let leader = c.elect();
    let status = c.node(leader).status();
    let voters = status.members.iter().filter(|m| m.voter && !status.joint);
    let mut names: Vec<_> = voters.map(|m| m.name.to_string()).collect();
    names.sort();
    names
}

fn cluster_of(count: usize) -> Cluster {
    let mut c = Cluster::with_settings(count, use_seeds);
    c.run_until("full set", |c| c.leader().is_some() && voters(c).len() == count);
    c
}

/// Restarts leaders until one is elected that is not a seed.
fn elect_unlisted_leader(c: &mut Cluster) -> usize {
    loop {
        let leader = c.elect();
        if leader >= SEEDS {
            return leader;
        }
        c.stop(leader);
        c.run(SECOND * 2);
        c.start(leader);
        c.run(SECOND);
    }
}

#[test]
fn advance_membership_unlisted_instances_join() {
    let mut c = cluster_of(5);
    c.commit(b"a");
    c.run(SECOND);
    assert!((0..5).all(|i| c.replicas[i].state == [b"a".to_vec()]));
}

#[test]
fn discovery_finds_leader_outside_seeds() {
    let mut c = cluster_of(5);
    let leader = elect_unlisted_leader(&mut c);
    c.commit(b"a");
    c.wipe(1);
    let id = c.node(1).id();
    c.run(SECOND * 5);
    let status = c.node(leader).status();
    assert!(status.members.iter().any(|m| m.id == id && m.voter), "{status:?}");
}

#[test]
fn discovery_without_seeds_finds_set_that_knows_former_identity() {
    let mut c = cluster_of(7);
    c.commit(b"a");
    // All other instances that the settings name are gone.
    c.stop(0);
    c.stop(1);
    c.wipe(2);
    let id = c.node(2).id();
    c.run_until("replacement", |c| {
        let status = c.leader().map(|i| c.node(i).status());
        status.is_some_and(|s| s.members.iter().any(|m| m.id == id && m.voter))
    });
}

#[test]
fn surplus_voter_silent_in_even_set_is_removed() {
    let mut c = cluster_of(4);
    let stopped = (c.elect() + 1) % 4;
    c.stop(stopped);
    c.run_until("smaller set", |c| c.leader().is_some() && voters(c).len() == 3);
    assert!(!voters(&mut c).contains(&name(stopped).to_string()));
}

#[test]
fn surplus_voter_silent_in_odd_set_stays() {
    let mut c = cluster_of(5);
    let stopped = (c.elect() + 1) % 5;
    c.stop(stopped);
    c.run(SECOND * 10);
    assert_eq!(voters(&mut c).len(), 5);
}

#[test]
fn surplus_voter_that_returns_is_retired() {
    let mut c = cluster_of(4);
    let stopped = (c.elect() + 1) % 4;
    c.stop(stopped);
    c.run_until("smaller set", |c| c.leader().is_some() && voters(c).len() == 3);
    c.start(stopped);
    c.run_until("retirement", |c| c.node(stopped).status().role == Role::Retired);
}

#[test]
fn advance_membership_learner_unheard_since_restart_is_not_promoted() {
    let mut c = Cluster::with_settings(4, use_seeds);
    c.run_until("learner", |c| {
        let status = c.leader().map(|i| c.node(i).status());
        status.is_some_and(|s| s.members.iter().any(|m| m.name == name(3) && !m.voter))
    });
    // The learner is lost for good. Then the others lose power, and one of them its disk.
    for i in [3, 2, 1, 0] {
        c.stop(i);
    }
    c.replicas[3].disk.wipe();
    c.replicas[2].disk.wipe();
    c.start(0);
    c.start(1);
    c.run_until("leader", |c| c.leader().is_some());
    // The leader sends several heartbeats before it can commit its first entry.
    c.isolated[0] = true;
    c.run(SECOND / 6);
    c.isolated[0] = false;
    c.commit(b"a");
    c.run(SECOND * 5);
    c.commit(b"b");
    assert!(!voters(&mut c).contains(&name(3).to_string()));
}
