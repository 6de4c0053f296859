//! Claims: who wins a key, what each record changes, what is remembered and for how long.

use {
    bronzespool_core::{Code, Digest, Instance, Key, Kind, Service, Team, Time},
    bronzespool_flow::claim::{
        Answer, Applied, Body, Change, ClaimId, Claims, Completion, Decision, Horizon, Incarnation,
        Record, Request, State,
    },
    std::time::Duration,
};

fn id(key: &str) -> ClaimId {
    ClaimId {
        team: Team::try_from("sundarban").unwrap(),
        service: Service::try_from("permit-desk").unwrap(),
        kind: Kind::try_from("issue").unwrap(),
        key: Key::try_from(key).unwrap(),
    }
}

fn at(number: u64) -> Incarnation {
    Incarnation { instance: Instance::try_from("w1").unwrap(), number }
}

fn ask(key: &str, number: u64) -> Request {
    Request {
        id: id(key),
        digest: Digest::of(b"body"),
        target: at(number),
        expires: Time::from_secs(60),
    }
}

fn answer(len: usize) -> Answer {
    Answer { status: 200, content: "text/plain".into(), body: Body::Whole(vec![7; len].into()) }
}

fn small() -> Horizon {
    Horizon {
        keep: Duration::from_secs(100),
        used: Duration::from_secs(1_000_000),
        records: 3,
        prints: 4,
        answer: 10,
        answers: 15,
    }
}

fn record(claims: &Claims, request: &Request) -> Record {
    match claims.request(&small(), Time::ZERO, request) {
        Decision::New(record) => record,
        other => panic!("{other:?}"),
    }
}

fn claimed(key: &str) -> Claims {
    let mut claims = Claims::default();
    let new = record(&claims, &ask(key, 1));
    assert_eq!(claims.apply(&new), Applied::Claimed { attempt: 1 });
    claims
}

fn complete(claims: &mut Claims, key: &str, attempt: u32, completion: &Completion) -> Applied {
    match claims.complete(&small(), Time::ZERO, &id(key), attempt, completion) {
        Some(record) => claims.apply(&record),
        None => Applied::Stale,
    }
}

fn state(claims: &Claims, key: &str) -> State {
    claims.get(&id(key)).unwrap().state.clone()
}

#[test]
fn request_second_returns_first() {
    let claims = claimed("a");
    let mut other = ask("a", 1);
    other.target = Incarnation { instance: Instance::try_from("w2").unwrap(), number: 1 };
    let Decision::Existing(first) = claims.request(&small(), Time::ZERO, &other) else {
        panic!("claimed twice");
    };
    assert_eq!((first.target, first.attempt, first.state), (at(1), 1, State::Open));
}

#[test]
fn request_other_body_is_refused() {
    let mut claims = claimed("a");
    let other = Request { digest: Digest::of(b"other"), ..ask("a", 1) };
    let refused = Decision::Refused(Code::KeyReused);
    assert_eq!(claims.request(&small(), Time::ZERO, &other), refused);
    complete(&mut claims, "a", 1, &Completion::NotRun(Code::Fenced));
    assert_eq!(claims.request(&small(), Time::ZERO, &other), refused);
}

#[test]
fn apply_two_proposals_first_wins() {
    let mut claims = Claims::default();
    let first = record(&claims, &ask("a", 1));
    let second = record(&claims, &ask("a", 2));
    assert_eq!(claims.apply(&first), Applied::Claimed { attempt: 1 });
    assert!(matches!(claims.apply(&second), Applied::Existing(c) if c.target == at(1)));
    assert!(matches!(claims.apply(&first), Applied::Existing(_)));
}

#[test]
fn apply_released_allows_next_attempt() {
    let mut claims = claimed("a");
    complete(&mut claims, "a", 1, &Completion::NotRun(Code::Fenced));
    let again = record(&claims, &ask("a", 2));
    assert_eq!(claims.apply(&again), Applied::Claimed { attempt: 2 });
    let late = Record { at: Time::ZERO, change: Change::Released { id: id("a"), attempt: 1 } };
    assert_eq!(claims.apply(&late), Applied::Stale);
    assert_eq!(state(&claims, "a"), State::Open);
}

#[test]
fn apply_settled_is_final() {
    let mut claims = claimed("a");
    assert_eq!(complete(&mut claims, "a", 1, &Completion::Answered(answer(3))), Applied::Changed);
    for change in [
        Change::Released { id: id("a"), attempt: 1 },
        Change::Lost { id: id("a"), attempt: 1, code: Code::AnswerShort },
        Change::Settled { id: id("a"), attempt: 1, answer: answer(4) },
    ] {
        assert_eq!(claims.apply(&Record { at: Time::ZERO, change }), Applied::Stale);
    }
    assert_eq!(state(&claims, "a"), State::Done(answer(3)));
}

#[test]
fn apply_gone_seals_open_claims() {
    let mut claims = claimed("a");
    let gone = Record { at: Time::ZERO, change: Change::Gone(at(1)) };
    assert_eq!(claims.apply(&gone), Applied::Sealed(vec![id("a")]));
    assert_eq!(claims.apply(&gone), Applied::Sealed(vec![]));
    assert_eq!(state(&claims, "a"), State::Sealed(Code::Sealed));
    let refused = Decision::Refused(Code::IncarnationGone);
    assert_eq!(claims.request(&small(), Time::ZERO, &ask("b", 1)), refused);
    assert!(matches!(claims.request(&small(), Time::ZERO, &ask("b", 2)), Decision::New(_)));
}

#[test]
fn apply_gone_refuses_claim_in_flight() {
    let mut claims = Claims::default();
    let new = record(&claims, &ask("a", 1));
    claims.apply(&Record { at: Time::ZERO, change: Change::Gone(at(1)) });
    assert_eq!(claims.apply(&new), Applied::Refused(Code::IncarnationGone));
}

#[test]
fn apply_sealed_takes_only_an_answer() {
    let mut claims = claimed("a");
    complete(&mut claims, "a", 1, &Completion::Lost(Code::AnswerShort));
    let released = Record { at: Time::ZERO, change: Change::Released { id: id("a"), attempt: 1 } };
    assert_eq!(claims.apply(&released), Applied::Stale);
    complete(&mut claims, "a", 1, &Completion::Answered(answer(2)));
    assert_eq!(state(&claims, "a"), State::Done(answer(2)));
}

#[test]
fn complete_large_answer_keeps_digest() {
    let mut claims = claimed("a");
    complete(&mut claims, "a", 1, &Completion::Answered(answer(11)));
    assert_eq!(state(&claims, "a"), State::Done(answer(11).shrunk()));
    assert_eq!(claims.bytes(), 0);
}

#[test]
fn complete_answers_are_bounded_in_all() {
    let mut claims = claimed("a");
    let other = record(&claims, &ask("b", 1));
    claims.apply(&other);
    complete(&mut claims, "a", 1, &Completion::Answered(answer(10)));
    complete(&mut claims, "b", 1, &Completion::Answered(answer(10)));
    assert_eq!(claims.bytes(), 10);
    assert_eq!(state(&claims, "b"), State::Done(answer(10).shrunk()));
}

#[test]
fn expire_run_key_is_refused() {
    let mut claims = claimed("a");
    complete(&mut claims, "a", 1, &Completion::Answered(answer(3)));
    assert_eq!(claims.expire(&small(), Time::from_secs(100)), None);
    let late = Time::from_secs(101);
    let expired = claims.expire(&small(), late).unwrap();
    assert_eq!(claims.apply(&expired), Applied::Expired(1));
    assert_eq!((claims.len(), claims.used(), claims.bytes()), (0, 1, 0));
    let refused = Decision::Refused(Code::KeyExpired);
    assert_eq!(claims.request(&small(), late, &ask("a", 1)), refused);
}

#[test]
fn expire_open_key_is_refused() {
    let mut claims = claimed("a");
    let late = Time::from_secs(101);
    let expired = claims.expire(&small(), late).unwrap();
    claims.apply(&expired);
    assert_eq!(claims.open(), 0);
    let settled = Change::Settled { id: id("a"), attempt: 1, answer: answer(1) };
    assert_eq!(claims.apply(&Record { at: late, change: settled }), Applied::Stale);
    let refused = Decision::Refused(Code::KeyExpired);
    assert_eq!(claims.request(&small(), late, &ask("a", 2)), refused);
}

#[test]
fn expire_released_key_is_refused() {
    let mut claims = claimed("a");
    complete(&mut claims, "a", 1, &Completion::NotRun(Code::Fenced));
    let late = Time::from_secs(101);
    let expired = claims.expire(&small(), late).unwrap();
    claims.apply(&expired);
    assert_eq!((claims.len(), claims.used()), (0, 1));
    let refused = Decision::Refused(Code::KeyExpired);
    assert_eq!(claims.request(&small(), late, &ask("a", 1)), refused);
}

#[test]
fn request_full_refuses_new_keys_only() {
    let mut claims = claimed("a");
    for key in ["b", "c"] {
        let new = record(&claims, &ask(key, 1));
        claims.apply(&new);
    }
    let refused = Decision::Refused(Code::Overloaded);
    assert_eq!(claims.request(&small(), Time::ZERO, &ask("d", 1)), refused);
    assert!(matches!(claims.request(&small(), Time::ZERO, &ask("a", 1)), Decision::Existing(_)));
}

#[test]
fn clock_never_falls() {
    let mut claims = claimed("a");
    claims.apply(&Record { at: Time::from_secs(9), change: Change::Gone(at(0)) });
    claims.apply(&Record { at: Time::from_secs(3), change: Change::Gone(at(0)) });
    assert_eq!(claims.clock(), Time::from_secs(9));
    let Decision::New(new) = claims.request(&small(), Time::from_secs(1), &ask("b", 1)) else {
        panic!("refused");
    };
    assert_eq!(new.at, Time::from_secs(9));
}

#[test]
fn snapshot_returns_same_state() {
    let mut claims = claimed("a");
    complete(&mut claims, "a", 1, &Completion::Answered(answer(3)));
    let expired = claims.expire(&small(), Time::from_secs(101)).unwrap();
    claims.apply(&expired);
    let bytes = postcard::to_stdvec(&claims).unwrap();
    assert_eq!(postcard::from_bytes::<Claims>(&bytes).unwrap(), claims);
}
