//! Drains of data centres: the order's revisions, the view and admission.

use {
    bronzespool_core::{Capacity, Center, Code, Digest, Place, Service, Time},
    bronzespool_flow::{
        admit::{Admission, AdmissionLimits, Attempt, AttemptId, AttemptStatus, StartDecision},
        claim::{ClaimId, Incarnation},
        drain::{CenterChange, CenterDrain, CenterDrains, CenterOutcome},
        view::{Delta, EndpointRecord, Presence, View, ViewUpdate},
    },
};

fn center(name: &str) -> Center {
    Center::try_from(name).unwrap()
}

fn change(drained: bool, base: u64) -> CenterChange {
    CenterChange { center: center("couva"), drained, base }
}

const fn state(drained: bool, revision: u64) -> CenterDrain {
    CenterDrain { drained, revision }
}

/// Guards against a repeated order that is refused, or that makes a second change.
#[test]
fn apply_repeated_order_has_one_outcome() {
    let mut drains = CenterDrains::default();
    assert_eq!(drains.apply(7, &change(true, 0)), CenterOutcome::Changed(state(true, 7)));
    assert_eq!(drains.apply(8, &change(true, 0)), CenterOutcome::Unchanged(state(true, 7)));
    assert_eq!(drains.decide(&change(true, 7)), Some(CenterOutcome::Unchanged(state(true, 7))));
}

/// Guards against an old drain that is held up on its way and drains a data centre again after it
/// was restored, also when another drain came in between.
#[test]
fn apply_delayed_order_changes_nothing_after_restore() {
    let mut drains = CenterDrains::default();
    drains.apply(7, &change(true, 0));
    assert_eq!(drains.apply(9, &change(false, 7)), CenterOutcome::Changed(state(false, 9)));
    assert_eq!(drains.apply(10, &change(true, 0)), CenterOutcome::Conflict(state(false, 9)));
    assert_eq!(drains.apply(11, &change(true, 7)), CenterOutcome::Conflict(state(false, 9)));
    drains.apply(12, &change(true, 9));
    drains.apply(13, &change(false, 12));
    assert_eq!(drains.apply(14, &change(true, 9)), CenterOutcome::Conflict(state(false, 13)));
    assert!(drains.drained().is_empty() && drains.contains(&center("couva")));
}

fn endpoint(instance: &str, center: &str, presence: Presence) -> EndpointRecord {
    EndpointRecord {
        place: Place {
            region: "trinidad".try_into().unwrap(),
            center: center.try_into().unwrap(),
            rack: "r1".try_into().unwrap(),
            instance: instance.try_into().unwrap(),
        },
        incarnation: 1,
        nonce: 1,
        address: "127.0.0.1:1".parse().unwrap(),
        services: vec!["desk".try_into().unwrap()],
        capacity: Capacity::default(),
        presence,
    }
}

/// Guards against requests to a drained data centre, and against a refusal that does not name the
/// drain as its cause.
#[test]
fn check_service_follows_drains_and_presence() {
    let mut view = View::default();
    let mut apply = |update| {
        let from = view.index;
        view.apply(Delta { from, to: from + 1, updates: vec![update] }).unwrap();
        let open: Vec<_> = view.open_endpoints().map(|e| e.place.instance.to_string()).collect();
        (view.check_service(&Service::try_from("desk").unwrap()), open.join(" "))
    };
    let drained = |name, drained| ViewUpdate::CenterChanged { center: center(name), drained };
    let record =
        |name, center, presence| ViewUpdate::Endpoint(Box::new(endpoint(name, center, presence)));
    let _ = apply(record("w1", "couva", Presence::Up));
    let _ = apply(record("w2", "arima", Presence::Up));
    assert_eq!(apply(drained("couva", true)), (Ok(()), "w2".to_owned()));
    let lost = apply(record("w2", "arima", Presence::Down));
    assert_eq!(lost.0, Err(Code::CenterDrained));
    assert_eq!(apply(drained("couva", false)), (Ok(()), "w1 w2".to_owned()));
    assert_eq!(apply(record("w1", "couva", Presence::Draining)).0, Err(Code::NoEndpoint));
}

fn agent() -> Admission {
    let target = Incarnation { instance: "w1".try_into().unwrap(), number: 1 };
    let capacity = Capacity { slots: 4, connections: 4, ..Capacity::default() };
    let mut agent = Admission::new(target, &capacity, AdmissionLimits::default());
    agent.set_session_end(Time::from_secs(100));
    agent
}

fn attempt(agent: &Admission) -> Attempt {
    let claim = ClaimId {
        team: "arima".try_into().unwrap(),
        service: "desk".try_into().unwrap(),
        kind: "ledger".try_into().unwrap(),
        key: "a".try_into().unwrap(),
    };
    let target = agent.incarnation().clone();
    let id = AttemptId { claim, attempt: 1, target, expires: Time::from_secs(20) };
    Attempt { id, digest: Digest::of(b"a"), slots: 1 }
}

/// Guards against a "not run" that becomes untrue when the data centre is restored: a late copy of
/// the refused attempt must not start then.
#[test]
fn start_refused_by_drain_never_starts_after_restore() {
    let now = Time::from_secs(1);
    let mut agent = agent();
    let attempt = attempt(&agent);
    agent.set_center_drained(true);
    assert_eq!(agent.start(now, &attempt), StartDecision::Refused(Code::CenterDrained));
    assert_eq!(agent.admit_unprotected(now, 1), Err(Code::CenterDrained));
    agent.set_center_drained(false);
    assert_eq!(agent.start(now, &attempt), StartDecision::Refused(Code::Fenced));
    assert_eq!(agent.status(now, &attempt.id), AttemptStatus::Fenced);
    assert!(agent.admit_unprotected(now, 1).is_ok());
}

/// Guards against a restore of the data centre that ends the drain of one of its instances.
#[test]
fn admission_drain_of_instance_outlasts_that_of_its_center() {
    let mut agent = agent();
    agent.drain();
    agent.set_center_drained(true);
    agent.set_center_drained(false);
    assert_eq!(agent.admit_unprotected(Time::from_secs(1), 1), Err(Code::Draining));
}
