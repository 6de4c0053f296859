//! Message encoding: every body survives a round trip, and any damage is refused.

use {
    arbtest::{arbitrary::Unstructured, arbtest},
    bronzespool_consensus::{
        Entry, EntryPayload, Membership, Message, MessageBody, ReplicaId, Snapshot, VoteKind,
    },
    bronzespool_core::{Code, Instance},
};

/// Runs a property with a fixed set of seeds.
fn cases(property: impl Fn(&mut Unstructured<'_>) -> arbtest::arbitrary::Result<()>) {
    for case in 1..=2_000_u32 {
        let seed = u64::from(case.wrapping_mul(0x9e37_79b9));
        arbtest(&property).seed(seed << 32 | 512).run();
    }
}

fn members() -> Membership {
    let name = |i: u64| Instance::try_from(format!("control-{i}")).unwrap();
    Membership::initial((1..=3).map(|i| (ReplicaId(i), name(i))))
        .with_learner(ReplicaId(8), &name(3))
}

fn bodies() -> Vec<MessageBody> {
    let meta = Snapshot::new(9, 2, members(), vec![3; 100]).meta;
    let entries = vec![
        Entry { index: 5, term: 2, payload: EntryPayload::Noop },
        Entry { index: 6, term: 2, payload: EntryPayload::Command(vec![1, 2, 3].into()) },
        Entry {
            index: 7,
            term: 2,
            payload: EntryPayload::Membership(members().with_voter(ReplicaId(8))),
        },
    ];
    vec![
        MessageBody::DiscoveryRequest,
        MessageBody::DiscoveryResponse { retired: true, listed: false },
        MessageBody::Bootstrap(members()),
        MessageBody::VoteRequest { kind: VoteKind::PreVote, last_index: 300, last_term: 4 },
        MessageBody::VoteResponse { kind: VoteKind::Regular, granted: true },
        MessageBody::Append { prev_index: 4, prev_term: 1, commit: 3, entries },
        MessageBody::Matched(7),
        MessageBody::AppendRejected { prev_index: 4, hint_index: 3, hint_term: 1 },
        MessageBody::Heartbeat { round: 9, commit: 3 },
        MessageBody::HeartbeatResponse { round: 9 },
        MessageBody::TimeoutNow,
        MessageBody::SnapshotChunk { meta, offset: 50, bytes: vec![3; 50].into() },
        MessageBody::ChunkRequest { index: 9, offset: 50 },
    ]
}

fn message(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Message> {
    let body = u.choose(&bodies())?.clone();
    Ok(Message {
        cluster: u.arbitrary()?,
        from: ReplicaId(3),
        to: ReplicaId(4),
        term: u.int_in_range(0..=1 << 62)?,
        body,
    })
}

#[test]
fn decode_encoded_is_equal() {
    for body in bodies() {
        let message = Message { cluster: 1, from: ReplicaId(3), to: ReplicaId(4), term: 5, body };
        assert_eq!(Message::decode(&message.encode().unwrap()), Ok(message));
    }
}

#[test]
fn decode_changed_byte_is_refused() {
    cases(|u| {
        let mut bytes = message(u)?.encode().unwrap();
        let at = u.choose_index(bytes.len())?;
        bytes[at] ^= u.int_in_range(1..=255_u8)?;
        let wanted = if at == 0 { Code::VersionUnknown } else { Code::MessageCorrupt };
        assert_eq!(Message::decode(&bytes).unwrap_err().code(), wanted);
        Ok(())
    });
}

#[test]
fn decode_other_length_is_refused() {
    for body in bodies() {
        let message = Message { cluster: 1, from: ReplicaId(3), to: ReplicaId(4), term: 5, body };
        let mut bytes = message.encode().unwrap();
        assert!((0..bytes.len()).all(|len| Message::decode(&bytes[..len]).is_err()));
        bytes.push(0);
        assert_eq!(Message::decode(&bytes).unwrap_err().code(), Code::MessageCorrupt);
    }
}

#[test]
fn decode_number_out_of_bounds_is_refused() {
    let body = MessageBody::AppendRejected { prev_index: 1, hint_index: u64::MAX, hint_term: 1 };
    let message = Message { cluster: 1, from: ReplicaId(3), to: ReplicaId(4), term: 5, body };
    let refused = Message::decode(&message.encode().unwrap()).unwrap_err();
    assert_eq!(refused.code(), Code::MessageCorrupt);
}

#[test]
fn decode_random_bytes_never_panics() {
    cases(|u| {
        let mut body: Vec<u8> = u.arbitrary()?;
        let crc = crc32fast::hash(&body).to_le_bytes();
        body.splice(0..0, [1].into_iter().chain(crc));
        let _ = Message::decode(&body);
        Ok(())
    });
}
