//! Well-formed messages with numbers that no correct replica would send.

mod common;

use {
    arbtest::{
        arbitrary::{Result, Unstructured},
        arbtest,
    },
    bronzespool_consensus::{Ballot, Body, Change, Entry, Members, Message, Node, Snapshot},
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

fn body(u: &mut Unstructured<'_>) -> Result<Body> {
    let ballot = *u.choose(&[Ballot::Trial, Ballot::Regular, Ballot::HandOver])?;
    let entry = Entry { index: number(u)?, term: term(u)?, change: Change::Noop };
    let empty = Entry { change: Change::Members(Members::default()), ..entry.clone() };
    let meta = Snapshot::new(number(u)?, term(u)?, Members::default(), vec![1; 9]).meta;
    let entries = u.choose(&[vec![], vec![entry], vec![empty]])?.clone();
    Ok(match u.int_in_range(0..=12)? {
        0 => Body::Hello,
        1 => Body::Welcome { retired: u.arbitrary()?, listed: u.arbitrary()? },
        2 => Body::Genesis(Members::default()),
        3 => Body::Vote { ballot, last_index: number(u)?, last_term: term(u)? },
        4 => Body::Voted { ballot, granted: u.arbitrary()? },
        5 => {
            let (prev_index, prev_term, commit) = (number(u)?, term(u)?, number(u)?);
            Body::Append { prev_index, prev_term, commit, entries }
        }
        6 => Body::Matched(number(u)?),
        7 => {
            let (prev_index, hint_index, hint_term) = (number(u)?, number(u)?, term(u)?);
            Body::Rejected { prev_index, hint_index, hint_term }
        }
        8 => Body::Heartbeat { seq: number(u)?, commit: number(u)? },
        9 => Body::Alive { seq: number(u)? },
        10 => Body::Chunk { meta, offset: number(u)?, bytes: vec![1; 5].into() },
        11 => Body::Wanted { index: number(u)?, offset: number(u)? },
        _ => Body::TakeOver,
    })
}

fn feed(node: &mut Node, mut now: Time, u: &mut Unstructured<'_>) -> Result<()> {
    while !u.is_empty() {
        let message = Message { cluster: 9, from: OTHER, to: OWN, term: term(u)?, body: body(u)? };
        node.receive(now, &name(1), message);
        now += SECOND / u.int_in_range(1..=20)?;
        node.tick(now);
        let ready = node.ready();
        node.synced(now, ready.ticket);
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
