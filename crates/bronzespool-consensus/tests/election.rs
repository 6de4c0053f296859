//! Bootstrap, elections, commits and replicas that return.

mod common;

use {
    bronzespool_consensus::{
        Error, Membership, Message, MessageBody, ReplicaId, Role, Settings, VoteKind,
    },
    common::{Cluster, SECOND, STEP, bodies, message, restarted_follower},
    std::time::Duration,
};

#[test]
fn elect_three_bootstrap_one_cluster() {
    let mut c = Cluster::new(3);
    let leader = c.elect();
    let cluster = c.node(leader).status().cluster;
    assert!((0..3).all(|i| c.node(i).status().cluster == cluster && cluster != 0));
    assert_eq!((0..3).filter(|&i| c.node(i).is_leader()).count(), 1);
}

#[test]
fn elect_one_of_three_missing_waits() {
    let mut c = Cluster::new(3);
    c.stop(2);
    c.run(SECOND * 5);
    assert!((0..2).all(|i| c.node(i).status().role == Role::Blank));
    c.start(2);
    c.elect();
}

#[test]
fn propose_leader_applies_everywhere() {
    let mut c = Cluster::new(3);
    for i in 0..20_u8 {
        c.commit(&[i]);
    }
    c.run(SECOND);
    let state: Vec<Vec<u8>> = (0..20_u8).map(|i| vec![i]).collect();
    assert!(c.replicas.iter().all(|r| r.state == state));
}

#[test]
fn propose_follower_names_leader() {
    let mut c = Cluster::new(3);
    let leader = c.elect();
    let other = (leader + 1) % 3;
    let leader = Some(common::name(leader));
    assert_eq!(c.propose(other, b"x"), Err(Error::NotLeader { leader }));
}

#[test]
fn elect_leader_killed_keeps_accepted() {
    let mut c = Cluster::new(3);
    let index = c.commit(b"first");
    let old = c.elect();
    c.stop(old);
    let new = c.elect();
    assert_ne!(old, new);
    c.commit(b"second");
    assert_eq!(c.replicas[new].applied[&index].command(), Some(&b"first"[..]));
    c.start(old);
    c.run(SECOND);
    assert_eq!(c.replicas[old].state, [b"first".to_vec(), b"second".to_vec()]);
}

#[test]
fn receive_returning_replica_keeps_term() {
    let mut c = Cluster::new(3);
    let leader = c.elect();
    c.commit(b"a");
    let (term, other) = (c.node(leader).term(), (leader + 1) % 3);
    c.isolated[other] = true;
    c.run(SECOND * 20);
    assert_eq!(c.node(other).term(), term);
    c.isolated[other] = false;
    c.run(SECOND * 2);
    assert_eq!((c.leader(), c.node(leader).term()), (Some(leader), term));
    let index = c.commit(b"b");
    c.run(SECOND);
    assert!(c.replicas[other].applied.contains_key(&index));
}

#[test]
fn receive_replica_without_link_to_leader_keeps_term() {
    let mut c = Cluster::new(3);
    c.commit(b"a");
    let leader = c.elect();
    let (term, other) = (c.node(leader).term(), (leader + 1) % 3);
    c.cut_links.push((leader.min(other), leader.max(other)));
    for _ in 0..100 {
        c.run(SECOND / 10);
        let now = c.now;
        assert!(c.node(leader).has_lease(now));
        assert_eq!(c.node(leader).term(), term);
    }
}

/// Isolates the leader just before another replica asks the third for its vote, and checks that
/// no two replicas hold a lease at once.
fn check_lease_during_election(wait: Duration, restart: bool) {
    let mut c = Cluster::new(3);
    c.commit(b"a");
    let leader = c.elect();
    let (other, voter) = ((leader + 1) % 3, (leader + 2) % 3);
    c.cut_links.push((leader.min(other), leader.max(other)));
    c.cut_links.push((other.min(voter), other.max(voter)));
    c.run(SECOND + wait);
    if restart {
        // The voter forgets its last contact with the leader.
        c.stop(voter);
        c.start(voter);
    }
    c.cut_links.pop();
    c.isolated[leader] = true;
    c.run_until("other leader", |c| {
        let now = c.now;
        let new = (0..3).any(|i| i != leader && c.node(i).has_lease(now));
        assert!(!(new && c.node(leader).has_lease(now)), "two leases after {wait:?}");
        new
    });
}

#[test]
fn has_lease_of_cut_off_leader_ends_first() {
    (0..60).for_each(|i| check_lease_during_election(STEP * i, false));
}

#[test]
fn has_lease_before_voter_restart_ends_first() {
    (0..60).for_each(|i| check_lease_during_election(STEP * i, true));
}

#[test]
fn tick_leader_cut_off_steps_down() {
    let mut c = Cluster::new(3);
    let old = c.elect();
    c.isolated[old] = true;
    c.run(SECOND);
    assert!(!c.node(old).is_leader());
    assert!(c.propose(old, b"x").is_err());
    let new = c.elect();
    assert_ne!(old, new);
}

#[test]
fn transfer_leadership_is_faster_than_an_election() {
    let mut c = Cluster::new(3);
    c.commit(b"a");
    let old = c.elect();
    c.run(SECOND);
    let now = c.now;
    let next = c.node(old).transfer_leadership(now).unwrap();
    assert!(!c.node(old).has_lease(now) && c.propose(old, b"x").is_err());
    c.run_until("next leader", |c| c.leader().is_some_and(|i| common::name(i) == next));
    assert!(c.now.since(now) <= STEP * 6);
    c.commit(b"b");
    c.run(SECOND);
    assert!(c.replicas.iter().all(|r| r.state == [b"a".to_vec(), b"b".to_vec()]));
}

#[test]
fn transfer_leadership_without_caught_up_follower_waits() {
    let mut c = Cluster::new(3);
    c.commit(b"a");
    let leader = c.elect();
    c.propose(leader, b"b").unwrap();
    let now = c.now;
    assert_eq!(c.node(leader).transfer_leadership(now), Err(Error::Busy));
    c.run(SECOND);
    let now = c.now;
    assert!(c.node(leader).transfer_leadership(now).is_ok());
}

#[test]
fn propose_backlog_full_is_busy() {
    let mut c = Cluster::with_settings(3, |s| s.backlog_bytes = 100);
    let leader = c.elect();
    c.run(SECOND);
    c.propose(leader, &[0; 80]).unwrap();
    assert_eq!(c.propose(leader, &[0; 80]), Err(Error::Busy));
    c.run(SECOND);
    c.propose(leader, &[0; 80]).unwrap();
}

/// Restarts some replicas of a cluster of three, of which the others stay down, and returns the time
/// until one leads.
fn time_to_leader(restarted: usize) -> Duration {
    let mut c = Cluster::new(3);
    c.commit(b"a");
    c.run(SECOND);
    (0..3).for_each(|i| c.stop(i));
    c.run(SECOND);
    (0..restarted).for_each(|i| c.start(i));
    let started = c.now;
    c.run_until("leader", |c| c.leader().is_some());
    c.now.since(started)
}

/// Guards against an outage of control that lasts an election timeout longer than the loss of power
/// behind it.
#[test]
fn tick_all_restarted_elect_before_timeout() {
    let timeout = Settings::new(common::name(0), Vec::new(), 1).election_timeout;
    let took = time_to_leader(3);
    assert!(took < timeout, "{took:?}");
}

/// Guards against a second leader beside one that cannot be asked.
#[test]
fn tick_one_missing_waits_for_timeout() {
    let timeout = Settings::new(common::name(0), Vec::new(), 1).election_timeout;
    let took = time_to_leader(2);
    assert!(took >= timeout, "{took:?}");
}

/// Lets a restarted replica receive one answer from each peer, and returns whether it grants a
/// pre-vote before its timeout.
fn grants_after_answers(answer: impl Fn(u64, Membership) -> Option<MessageBody>) -> bool {
    let (mut node, now) = restarted_follower();
    node.tick(now);
    let queries = bodies(node.ready());
    let start = queries.iter().find_map(|b| match b {
        MessageBody::LeadershipQuery { start } => Some(*start),
        _ => None,
    });
    let start = start.expect("a restarted replica asks its peers");
    let membership = common::initial_membership();
    for peer in [2, 3] {
        if let Some(body) = answer(start, membership.clone()) {
            let sender = ReplicaId(peer);
            let from = common::name(peer as usize - 1);
            node.receive(now, &from, Message { from: sender, ..message(1, body) });
        }
    }
    let _ = node.ready();
    let pre_vote =
        MessageBody::VoteRequest { kind: VoteKind::PreVote, last_index: 1, last_term: 1 };
    node.receive(now, &common::name(1), message(2, pre_vote));
    let granted = MessageBody::VoteResponse { kind: VoteKind::PreVote, granted: true };
    bodies(node.ready()).contains(&granted)
}

#[test]
fn receive_not_leading_of_all_ends_start_wait() {
    let grants = |start, membership| Some(MessageBody::NotLeading { start, membership });
    assert!(grants_after_answers(grants));
}

#[test]
fn receive_not_leading_of_none_keeps_start_wait() {
    assert!(!grants_after_answers(|_, _| None));
}

/// Guards against an answer that was given before the peer began to lead.
#[test]
fn receive_not_leading_for_earlier_start_does_not_count() {
    let old = |start: u64, membership| {
        Some(MessageBody::NotLeading { start: start.wrapping_add(1), membership })
    };
    assert!(!grants_after_answers(old));
}

/// Guards against a leader among voters of which the restarted replica has not heard.
#[test]
fn receive_not_leading_with_other_membership_does_not_count() {
    let newer = |start, membership: Membership| {
        let membership = membership.with_learner(ReplicaId(9), &common::name(8));
        Some(MessageBody::NotLeading { start, membership })
    };
    assert!(!grants_after_answers(newer));
}

/// Guards against two leaders after any mix of restarts and cut links.
#[test]
fn has_lease_restarts_and_cuts_one_at_a_time() {
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut c = Cluster::new(3);
        c.commit(b"a");
        for _ in 0..400 {
            match rng.u32(0..40) {
                i @ 0..3 => {
                    c.stop(i as usize);
                    c.start(i as usize);
                }
                3 => (0..3).for_each(|i| {
                    c.stop(i);
                    c.start(i);
                }),
                4 => c.cut_links.push(*rng.choice(&[(0, 1), (0, 2), (1, 2)]).unwrap()),
                5 => c.cut_links.clear(),
                _ => {}
            }
            c.step();
            let now = c.now;
            let leases = (0..3).filter(|&i| c.node(i).has_lease(now)).count();
            assert!(leases <= 1, "{leases} leases, seed {seed}");
        }
    }
}

/// Guards against a restarted replica that votes while the lease of a leader it forgot still lasts.
#[test]
fn receive_leadership_query_leader_does_not_answer() {
    let mut c = Cluster::new(3);
    c.commit(b"a");
    let leader = c.elect();
    for asked in 0..3 {
        let asker = (asked + 1) % 3;
        let (from, to) = (c.node(asker).id(), c.node(asked).id());
        let status = c.node(asked).status();
        let body = MessageBody::LeadershipQuery { start: 7 };
        let query = Message { cluster: status.cluster, from, to, term: status.term, body };
        let now = c.now;
        c.node(asked).receive(now, &common::name(asker), query);
        let answers = bodies(c.node(asked).ready());
        let answered = answers.iter().any(|b| matches!(b, MessageBody::NotLeading { .. }));
        assert_eq!(answered, asked != leader);
    }
}
