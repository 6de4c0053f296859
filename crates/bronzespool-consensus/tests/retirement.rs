//! Identities that a membership change removes: they stop for good, so they must not be told before
//! the change is committed.

mod common;

use {
    bronzespool_consensus::{
        Entry, EntryPayload, Membership, Message, MessageBody, Node, ReplicaId, Role, Settings,
        Storage, VoteKind, fake::MemoryStorage,
    },
    bronzespool_core::Time,
    common::{OTHER, OWN, bodies, follower, message, name},
};

/// Identity that the change removes.
const REMOVED: ReplicaId = ReplicaId(3);
/// Identity that takes its place on the same instance.
const NEW: ReplicaId = ReplicaId(4);
/// Term of the leader that makes the change.
const TERM: u64 = 2;
/// Index of the entry that ends the change and removes the identity.
const REMOVAL_INDEX: u64 = 4;

/// The entries of a whole change, after the first entry of the log.
fn change() -> Vec<Entry> {
    let ids = [OWN, OTHER, REMOVED];
    let first = Membership::initial(ids.into_iter().zip((0..3).map(name)));
    let learner = first.with_learner(NEW, &name(2));
    let joint = learner.with_voter(NEW);
    let last = joint.leave_joint();
    let entry = |(index, m)| Entry { index, term: TERM, payload: EntryPayload::Membership(m) };
    (2..).zip([learner, joint, last]).map(entry).collect()
}

/// A follower that holds the whole change, of which all but the last entry is committed.
fn follower_of_change() -> (Node, Time) {
    let (mut node, now) = follower();
    let append = MessageBody::Append {
        prev_index: 1,
        prev_term: 1,
        commit: REMOVAL_INDEX - 1,
        entries: change(),
    };
    node.receive(now, &name(1), message(TERM, append));
    let batch_id = node.ready().batch_id;
    node.synced(now, batch_id);
    let _ = node.ready();
    (node, now)
}

fn from_removed(term: u64, body: MessageBody) -> Message {
    Message { from: REMOVED, ..message(term, body) }
}

/// Whether the replica tells the identity that it is removed.
fn tells_retirement(node: &mut Node, now: Time, body: MessageBody) -> bool {
    node.receive(now, &name(2), from_removed(TERM, body));
    bodies(node.ready())
        .iter()
        .any(|b| matches!(b, MessageBody::DiscoveryResponse { retired: true, .. }))
}

fn vote_request() -> MessageBody {
    MessageBody::VoteRequest { kind: VoteKind::PreVote, last_index: 1, last_term: 1 }
}

#[test]
fn receive_from_identity_whose_removal_is_uncommitted_tells_nothing() {
    let (mut node, now) = follower_of_change();
    assert!(!tells_retirement(&mut node, now, MessageBody::DiscoveryRequest), "discovery");
    assert!(!tells_retirement(&mut node, now, vote_request()), "vote request");
}

#[test]
fn receive_from_identity_whose_removal_is_committed_tells_it() {
    let (mut node, now) = follower_of_change();
    let heartbeat = MessageBody::Heartbeat { round: 1, commit: REMOVAL_INDEX };
    node.receive(now, &name(1), message(TERM, heartbeat));
    assert!(tells_retirement(&mut node, now, MessageBody::DiscoveryRequest), "discovery");
    assert!(tells_retirement(&mut node, now, vote_request()), "vote request");
}

#[test]
fn receive_from_leader_whose_removal_is_uncommitted_is_followed() {
    let (mut node, now) = follower_of_change();
    // The removed identity was elected by the voters that do not hold the last entry.
    let noop = Entry { index: REMOVAL_INDEX, term: TERM + 1, payload: EntryPayload::Noop };
    let append = MessageBody::Append {
        prev_index: REMOVAL_INDEX - 1,
        prev_term: TERM,
        commit: REMOVAL_INDEX - 1,
        entries: vec![noop],
    };
    node.receive(now, &name(2), from_removed(TERM + 1, append));
    assert_eq!(node.leader(), Some(&name(2)));
    assert!(node.status().joint);
}

#[test]
fn receive_removal_of_blank_identity_retires_it() {
    let settings = Settings::new(name(0), (0..3).map(name).collect(), 1);
    let restored = MemoryStorage::default().load().unwrap();
    let mut node = Node::open(settings, restored, Time::ZERO).unwrap();
    // It was added as a learner and removed again before any entry reached it.
    let body = MessageBody::DiscoveryResponse { retired: true, listed: false };
    let response = Message { to: node.id(), ..message(TERM, body) };
    node.receive(Time::ZERO, &name(1), response);
    assert_eq!(node.status().role, Role::Retired);
}
