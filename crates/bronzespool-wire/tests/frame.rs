//! Decoding of intact, corrupted, truncated and extended frames.

use {
    bronzespool_core::{Code, Digest, Instance, Key, Kind, Service, Team, Time},
    bronzespool_flow::{
        claim::{ClaimId, ClaimRequest, Incarnation},
        view::View,
    },
    bronzespool_wire::{
        frame::{self, Error, VERSION},
        message::{Assignment, Call, SessionGrant},
    },
    serde::Serialize,
};

fn call() -> Call {
    let id = ClaimId {
        team: Team::try_from("arima").unwrap(),
        service: Service::try_from("desk").unwrap(),
        kind: Kind::try_from("permit").unwrap(),
        key: Key::try_from("k-1").unwrap(),
    };
    let target = Incarnation { instance: Instance::try_from("w1").unwrap(), number: 3 };
    let expires = Time::from_secs(9);
    Call::Claim(ClaimRequest { id, digest: Digest::of(b"{}"), target, expires })
}

#[test]
fn decode_whole_frame_gives_value() {
    assert_eq!(frame::decode(&frame::encode(&call())), Ok(call()));
}

#[test]
fn decode_any_changed_byte_is_refused() {
    let whole = frame::encode(&call());
    for position in 0..whole.len() {
        for bit in 0..8 {
            let mut bytes = whole.clone();
            bytes[position] ^= 1 << bit;
            let error = frame::decode::<Call>(&bytes).unwrap_err();
            assert!(matches!(error.code(), Code::MessageCorrupt | Code::VersionUnknown));
        }
    }
}

#[test]
fn decode_any_shorter_frame_is_refused() {
    let whole = frame::encode(&call());
    for len in 0..whole.len() {
        assert!(frame::decode::<Call>(&whole[..len]).is_err(), "{len} bytes");
    }
}

#[test]
fn decode_trailing_byte_is_refused() {
    let mut bytes = frame::encode(&(call(), 7_u8));
    assert!(matches!(frame::decode::<Call>(&bytes), Err(Error::Value(_))));
    bytes.push(0);
    assert_eq!(frame::decode::<Call>(&bytes), Err(Error::Checksum));
}

#[test]
fn decode_other_version_names_it() {
    let mut bytes = frame::encode(&call());
    bytes[0] = VERSION + 1;
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&bytes[..1]);
    hasher.update(&bytes[5..]);
    let sum = hasher.finalize().to_le_bytes();
    bytes[1..5].copy_from_slice(&sum);
    let error = frame::decode::<Call>(&bytes).unwrap_err();
    assert_eq!(error, Error::Version(VERSION + 1));
    assert_eq!(error.code(), Code::VersionUnknown);
}

#[test]
fn decode_arbitrary_bytes_does_not_panic() {
    arbtest::arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let _ = frame::decode::<Call>(&bytes);
        Ok(())
    })
    .seed(0x5eed_0000_0020);
}

/// A grant as processes write it that do not know drains of data centres.
#[derive(Serialize)]
struct FormerGrant {
    incarnation: u64,
    view: View,
    tasks: Vec<Assignment>,
    lease_millis: u32,
}

/// Guards against a grant that processes of the former version cannot read although nothing is
/// drained, and against one of theirs that cannot be read here.
#[test]
fn encode_grant_without_drains_is_as_before() {
    let view = View { index: 7, ..View::default() };
    let former =
        FormerGrant { incarnation: 3, view: view.clone(), tasks: Vec::new(), lease_millis: 5 };
    let grant = SessionGrant {
        incarnation: 3,
        view,
        tasks: Vec::new(),
        lease_millis: 5,
        drained: [].into(),
    };
    assert_eq!(frame::encode(&grant), frame::encode(&former));
    assert_eq!(frame::decode(&frame::encode(&former)), Ok(grant.clone()));
    let mut drained = SessionGrant { drained: ["couva".try_into().unwrap()].into(), ..grant };
    assert_eq!(frame::decode(&frame::encode(&drained)), Ok(drained.clone()));
    assert_eq!(drained.take_view().drained, ["couva".try_into().unwrap()].into());
}
