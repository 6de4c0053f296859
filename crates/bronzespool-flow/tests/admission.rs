//! Admission: one start per attempt, fences, outcomes, slots and the bounds of the memory.

use {
    bronzespool_core::{Capacity, Code, Digest, Instance, Key, Kind, Service, Team, Time},
    bronzespool_flow::{
        admit::{
            Admission, AdmissionLimits, Attempt, AttemptId, AttemptStatus, ConnectionSource,
            PeerClock, StartDecision,
        },
        claim::{Answer, AnswerBody, ClaimId, Completion, Incarnation},
    },
    std::time::Duration,
};

const NOW: Time = Time::from_secs(10);

fn id(key: &str) -> ClaimId {
    ClaimId {
        team: Team::try_from("arima").unwrap(),
        service: Service::try_from("flight-desk").unwrap(),
        kind: Kind::try_from("logbook").unwrap(),
        key: Key::try_from(key).unwrap(),
    }
}

fn incarnation(number: u64) -> Incarnation {
    Incarnation { instance: Instance::try_from("w1").unwrap(), number }
}

fn copy(key: &str, attempt: u32, expires: u64) -> Attempt {
    let expires = Time::from_secs(expires);
    let id = AttemptId { claim: id(key), attempt, target: incarnation(1), expires };
    Attempt { id, digest: Digest::of(b"body"), slots: 1 }
}

fn admission(slots: u32, connections: u32) -> Admission {
    let capacity = Capacity { slots, connections, ..Capacity::default() };
    let limits = AdmissionLimits {
        expiry_max: Duration::from_secs(100),
        outcome_time: Duration::from_secs(50),
        attempts_max: 4,
        answer_bytes: 10,
    };
    let mut admission = Admission::new(incarnation(1), &capacity, limits);
    admission.set_session_end(Time::MAX);
    admission
}

fn answered(len: usize) -> Completion {
    Completion::Answered(Answer {
        status: 200,
        content_type: "".into(),
        body: AnswerBody::Whole(vec![1; len].into()),
    })
}

#[test]
fn start_second_copy_is_duplicate() {
    let mut agent = admission(2, 2);
    let copy = copy("a", 1, 20);
    assert_eq!(agent.start(NOW, &copy), StartDecision::Run(ConnectionSource::New));
    assert_eq!(agent.start(NOW, &copy), StartDecision::Duplicate(AttemptStatus::Started));
    assert!(agent.finish(NOW, &copy.id.claim, 1, 1, true, &answered(2)));
    assert!(!agent.finish(NOW, &copy.id.claim, 1, 1, true, &answered(3)));
    assert_eq!(
        agent.start(NOW, &copy),
        StartDecision::Duplicate(AttemptStatus::Finished(answered(2)))
    );
    assert_eq!((agent.slots().used(), agent.slots().idle()), (0, 1));
}

#[test]
fn start_after_fence_is_refused() {
    let mut agent = admission(2, 2);
    let copy = copy("a", 1, 20);
    assert_eq!(agent.status(NOW, &copy.id), AttemptStatus::Unseen);
    assert_eq!(agent.fence(NOW, &copy.id), AttemptStatus::Fenced);
    assert_eq!(agent.start(NOW, &copy), StartDecision::Refused(Code::Fenced));
    let late = Time::from_secs(20);
    assert_eq!(agent.start(late, &copy), StartDecision::Refused(Code::DeadlinePassed));
}

#[test]
fn fence_after_start_returns_outcome() {
    let mut agent = admission(2, 2);
    let copy = copy("a", 1, 20);
    agent.start(NOW, &copy);
    assert_eq!(agent.fence(NOW, &copy.id), AttemptStatus::Started);
    agent.finish(NOW, &copy.id.claim, 1, 1, false, &answered(1));
    assert_eq!(agent.fence(NOW, &copy.id), AttemptStatus::Finished(answered(1)));
}

#[test]
fn start_next_attempt_runs_after_fence_only() {
    let mut agent = admission(2, 2);
    agent.fence(NOW, &copy("a", 1, 20).id);
    assert_eq!(agent.start(NOW, &copy("a", 2, 30)), StartDecision::Run(ConnectionSource::New));
    assert_eq!(agent.start(NOW, &copy("a", 1, 20)), StartDecision::Refused(Code::Fenced));
    assert_eq!(agent.status(NOW, &copy("a", 1, 20).id), AttemptStatus::Fenced);
    assert_eq!(agent.start(NOW, &copy("a", 3, 40)), StartDecision::Refused(Code::Internal));
    assert_eq!(agent.status(NOW, &copy("a", 2, 30).id), AttemptStatus::Started);
}

#[test]
fn start_other_incarnation_is_refused() {
    let mut agent = admission(2, 2);
    let mut copy = copy("a", 1, 20);
    copy.id.target = incarnation(2);
    assert_eq!(agent.start(NOW, &copy), StartDecision::Refused(Code::IncarnationGone));
    assert_eq!(agent.fence(NOW, &copy.id), AttemptStatus::Forgotten);
}

#[test]
fn start_refused_is_fenced() {
    let mut agent = admission(2, 2);
    agent.set_session_end(NOW);
    let copy = copy("a", 1, 20);
    assert_eq!(agent.start(NOW, &copy), StartDecision::Refused(Code::NoSession));
    agent.set_session_end(Time::MAX);
    assert_eq!(agent.start(NOW, &copy), StartDecision::Refused(Code::Fenced));
}

/// Guards against a "not run" that becomes untrue when the data centre is restored, and against a
/// restore that ends the drain of an instance.
#[test]
fn start_refused_by_drain_of_center_never_starts() {
    let mut agent = admission(2, 2);
    agent.set_center_drained(true);
    let refused = StartDecision::Refused(Code::CenterDrained);
    assert_eq!(agent.start(NOW, &copy("a", 1, 20)), refused);
    agent.set_center_drained(false);
    assert_eq!(agent.start(NOW, &copy("a", 1, 20)), StartDecision::Refused(Code::Fenced));
    agent.drain();
    agent.set_center_drained(true);
    agent.set_center_drained(false);
    assert_eq!(agent.admit_unprotected(NOW, 1), Err(Code::Draining));
}

#[test]
fn start_draining_is_refused() {
    let mut agent = admission(2, 2);
    assert_eq!(agent.admit_unprotected(NOW, 1), Ok(ConnectionSource::New));
    agent.drain();
    assert_eq!(agent.start(NOW, &copy("a", 1, 20)), StartDecision::Refused(Code::Draining));
    assert_eq!(agent.admit_unprotected(NOW, 1), Err(Code::Draining));
    assert!(!agent.idle());
    agent.finish_unprotected(1, false);
    assert!(agent.idle());
}

#[test]
fn start_far_expiry_is_refused() {
    let mut agent = admission(2, 2);
    let copy = copy("a", 1, 111);
    assert_eq!(agent.start(NOW, &copy), StartDecision::Refused(Code::MessageCorrupt));
    assert_eq!(agent.fence(NOW, &copy.id), AttemptStatus::Forgotten);
    assert_eq!(agent.attempts(), 0);
}

#[test]
fn admit_unprotected_never_exceeds_slots_or_connections() {
    let mut agent = admission(3, 2);
    assert_eq!(agent.admit_unprotected(NOW, 2), Ok(ConnectionSource::New));
    assert_eq!(agent.admit_unprotected(NOW, 2), Err(Code::Overloaded));
    assert_eq!(agent.admit_unprotected(NOW, 1), Ok(ConnectionSource::New));
    agent.finish_unprotected(2, true);
    assert_eq!(agent.admit_unprotected(NOW, 1), Ok(ConnectionSource::Idle));
    assert_eq!(agent.admit_unprotected(NOW, 1), Err(Code::Overloaded));
}

#[test]
fn fence_forgotten_outcome_is_not_fenced() {
    let mut agent = admission(2, 2);
    let copy = copy("a", 1, 20);
    agent.start(NOW, &copy);
    agent.finish(NOW, &copy.id.claim, 1, 1, false, &answered(1));
    assert_eq!(agent.fence(Time::from_secs(69), &copy.id), AttemptStatus::Finished(answered(1)));
    assert_eq!(agent.fence(Time::from_secs(70), &copy.id), AttemptStatus::Forgotten);
    assert_eq!(agent.attempts(), 0);
}

#[test]
fn start_evicted_fence_is_refused() {
    let mut agent = admission(2, 2);
    for (key, expires) in [("a", 20), ("b", 21), ("c", 22), ("d", 23), ("e", 24)] {
        agent.fence(NOW, &copy(key, 1, expires).id);
    }
    assert_eq!(agent.attempts(), 4);
    assert_eq!(agent.fence(NOW, &copy("a", 1, 20).id), AttemptStatus::Fenced);
    assert_eq!(agent.start(NOW, &copy("a", 1, 20)), StartDecision::Refused(Code::Fenced));
}

#[test]
fn start_evicted_outcome_is_forgotten() {
    let mut agent = admission(9, 9);
    let first = copy("a", 1, 20);
    agent.start(NOW, &first);
    agent.finish(NOW, &first.id.claim, 1, 1, false, &answered(1));
    for key in ["b", "c", "d"] {
        assert_eq!(agent.start(NOW, &copy(key, 1, 30)), StartDecision::Run(ConnectionSource::New));
    }
    assert_eq!(agent.start(NOW, &copy("e", 1, 40)), StartDecision::Run(ConnectionSource::New));
    assert_eq!(agent.start(NOW, &first), StartDecision::Duplicate(AttemptStatus::Forgotten));
    assert_eq!(agent.fence(NOW, &first.id), AttemptStatus::Forgotten);
    assert_eq!(agent.start(NOW, &copy("f", 1, 50)), StartDecision::Refused(Code::Overloaded));
    assert_eq!(agent.start(NOW, &copy("f", 1, 50)), StartDecision::Refused(Code::Fenced));
}

#[test]
fn finish_answers_are_bounded() {
    let mut agent = admission(9, 9);
    for key in ["a", "b"] {
        agent.start(NOW, &copy(key, 1, 20));
        agent.finish(NOW, &id(key), 1, 1, false, &answered(8));
    }
    assert_eq!(agent.answer_bytes(), 8);
    let AttemptStatus::Finished(Completion::Answered(old)) =
        agent.status(NOW, &copy("a", 1, 20).id)
    else {
        panic!("the outcome was dropped");
    };
    assert!(matches!(old.body, AnswerBody::Digest { len: 8, .. }));
}

#[test]
fn peer_clock_is_never_ahead() {
    let clock = PeerClock::new(Time::from_secs(100), Time::from_secs(5));
    assert_eq!(clock.now(Time::from_secs(7)), Time::from_secs(102));
}
