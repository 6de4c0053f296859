//! Well-formed messages with numbers that no correct replica would send.

mod common;

use {
    arbtest::{
        arbitrary::{Result, Unstructured},
        arbtest,
    },
    bronzespool_consensus::{
        Entry, EntryPayload, Membership, Message, MessageBody, Node, Snapshot, VoteKind,
    },
    bronzespool_core::Time,
    common::{OTHER, OWN, SECOND, follower, name},
};

const CASES: u32 = 3_000;

fn number(u: &mut Unstructured<'_>) -> Result<u64> {
    u.choose(&[0, 1, 2, 3, 4, 9, 1_000, 1 << 61, u64::MAX]).copied()
}

fn term(u: &mut Unstructured<'_>) -> Result<u64> {
    u.choose(&[0, 1, 2, 2, 2, 3, 3, 1 << 61, u64::MAX]).copied()
}

fn body(u: &mut Unstructured<'_>) -> Result<MessageBody> {
    let kind = *u.choose(&[VoteKind::PreVote, VoteKind::Regular, VoteKind::Transfer])?;
    let entry = Entry { index: number(u)?, term: term(u)?, payload: EntryPayload::Noop };
    let empty = Entry { payload: EntryPayload::Membership(Membership::default()), ..entry.clone() };
    let meta = Snapshot::new(number(u)?, term(u)?, Membership::default(), vec![1; 9]).meta;
    let entries = u.choose(&[vec![], vec![entry], vec![empty]])?.clone();
    Ok(match u.int_in_range(0..=12)? {
        0 => MessageBody::DiscoveryRequest,
        1 => MessageBody::DiscoveryResponse { retired: u.arbitrary()?, listed: u.arbitrary()? },
        2 => MessageBody::Bootstrap(Membership::default()),
        3 => MessageBody::VoteRequest { kind, last_index: number(u)?, last_term: term(u)? },
        4 => MessageBody::VoteResponse { kind, granted: u.arbitrary()? },
        5 => {
            let (prev_index, prev_term, commit) = (number(u)?, term(u)?, number(u)?);
            MessageBody::Append { prev_index, prev_term, commit, entries }
        }
        6 => MessageBody::Matched(number(u)?),
        7 => {
            let (prev_index, hint_index, hint_term) = (number(u)?, number(u)?, term(u)?);
            MessageBody::AppendRejected { prev_index, hint_index, hint_term }
        }
        8 => MessageBody::Heartbeat { round: number(u)?, commit: number(u)? },
        9 => MessageBody::HeartbeatResponse { round: number(u)? },
        10 => MessageBody::SnapshotChunk { meta, offset: number(u)?, bytes: vec![1; 5].into() },
        11 => MessageBody::ChunkRequest { index: number(u)?, offset: number(u)? },
        _ => MessageBody::TimeoutNow,
    })
}

fn feed(node: &mut Node, mut now: Time, u: &mut Unstructured<'_>) -> Result<()> {
    while !u.is_empty() {
        let message = Message { cluster: 9, from: OTHER, to: OWN, term: term(u)?, body: body(u)? };
        node.receive(now, &name(1), message);
        now += SECOND / u.int_in_range(1..=20)?;
        node.tick(now);
        let ready = node.ready();
        node.synced(now, ready.batch_id);
        let _ = node.propose(now, vec![1]);
    }
    Ok(())
}

#[test]
fn receive_any_numbers_never_panics() {
    for case in 1..=CASES {
        let seed = u64::from(case.wrapping_mul(0x9e37_79b9));
        let property = |u: &mut Unstructured<'_>| {
            let (mut node, now) = follower();
            feed(&mut node, now, u)
        };
        arbtest(property).seed(seed << 32 | 300).run();
    }
}
