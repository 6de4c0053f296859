//! Choice of endpoints and ejection.

use {
    bronzespool_core::{Capacity, Center, Instance, Place, Rack, Region, Service, Time},
    bronzespool_flow::{
        eject::{Ejector, Rules, Sample, Use},
        route::{Candidate, Loads, Router, Spill},
        view::{Peer, Presence},
    },
    std::{collections::BTreeMap, time::Duration},
};

const NOW: Time = Time::from_secs(100);
const FAST: Sample = Sample::Answered(Duration::from_millis(10));
const SLOW: Sample = Sample::Answered(Duration::from_millis(100));
const SPILL: Spill =
    Spill { far: Duration::from_micros(1_000), service: Duration::from_millis(10) };

fn instance(name: &str) -> Instance {
    Instance::try_from(name).unwrap()
}

fn candidate(name: &str, center: &str, slots: u32) -> Candidate {
    let center = Center::try_from(center).unwrap();
    Candidate { instance: instance(name), center, slots, probe: false }
}

fn peer(name: &str, presence: Presence) -> Peer {
    Peer {
        place: Place {
            region: Region::try_from("trinidad").unwrap(),
            center: Center::try_from("couva").unwrap(),
            rack: Rack::try_from("r1").unwrap(),
            instance: instance(name),
        },
        incarnation: 1,
        nonce: 1,
        address: "127.0.0.1:1".parse().unwrap(),
        services: vec![Service::try_from("flight-desk").unwrap()],
        capacity: Capacity { slots: 8, ..Capacity::default() },
        presence,
    }
}

fn router() -> Router {
    Router::new(Center::try_from("couva").unwrap(), 3)
}

fn counts(loads: &mut Loads, among: &[Candidate], requests: u32) -> BTreeMap<String, u32> {
    let (mut router, mut counts) = (router(), BTreeMap::new());
    for _ in 0..requests {
        let chosen = router.choose(NOW, among, loads, 1, true, SPILL).unwrap();
        loads.sent(&chosen.instance, 1);
        *counts.entry(chosen.instance.to_string()).or_default() += 1;
    }
    counts
}

#[test]
fn choose_balances_by_load() {
    let among = [candidate("w1", "couva", 50), candidate("w2", "couva", 50)];
    let mut loads = Loads::default();
    loads.heard(NOW, &instance("w1"), 20);
    let counts = counts(&mut loads, &among, 60);
    assert!(counts["w2"] > counts["w1"] + 10, "{counts:?}");
}

#[test]
fn choose_near_first_and_spills_when_loaded() {
    let among = [candidate("w1", "couva", 8), candidate("w2", "arima", 8)];
    let mut loads = Loads::default();
    assert_eq!(counts(&mut loads, &among, 3).get("w2"), None);
    assert!(counts(&mut loads, &among, 5).contains_key("w2"));
}

#[test]
fn choose_full_endpoints_returns_none() {
    let among = [candidate("w1", "couva", 2)];
    let mut loads = Loads::default();
    loads.heard(NOW, &instance("w1"), 2);
    assert_eq!(router().choose(NOW, &among, &loads, 1, true, SPILL), None);
    let later = NOW + Duration::from_secs(6);
    assert!(router().choose(later, &among, &loads, 1, true, SPILL).is_some());
}

#[test]
fn choose_probe_takes_repeatable_only() {
    let probe = Candidate { probe: true, ..candidate("w1", "couva", 8) };
    let among = [probe, candidate("w2", "couva", 8)];
    let loads = Loads::default();
    let name = |repeatable| {
        router().choose(NOW, &among, &loads, 1, repeatable, SPILL).unwrap().instance.to_string()
    };
    assert_eq!((name(true).as_str(), name(false).as_str()), ("w1", "w2"));
}

#[test]
fn loads_count_own_requests_since_heard() {
    let (mut loads, w1) = (Loads::default(), instance("w1"));
    loads.sent(&w1, 2);
    loads.heard(NOW, &w1, 5);
    loads.sent(&w1, 1);
    assert_eq!(loads.slots(NOW, &w1), 6);
    loads.ended(&w1, 2);
    assert_eq!(loads.slots(NOW, &w1), 4);
}

#[test]
fn candidates_exclude_draining_down_and_tried() {
    let peers = [
        peer("w1", Presence::Draining),
        peer("w2", Presence::Down),
        peer("w3", Presence::Up),
        peer("w4", Presence::Up),
    ];
    let service = Service::try_from("flight-desk").unwrap();
    let ejector = Ejector::new(Rules::default());
    let tried = [instance("w3")];
    let found = Router::candidates(NOW, &service, peers.iter(), &ejector, &tried);
    assert_eq!(found.iter().map(|c| c.instance.as_str()).collect::<Vec<_>>(), ["w4"]);
}

fn ejector(count: usize) -> Ejector {
    let mut ejector = Ejector::new(Rules::default());
    for i in 0..count {
        ejector.add(&instance(&format!("w{i}")));
    }
    ejector
}

fn feed(ejector: &mut Ejector, now: Time, name: &str, sample: Sample, times: u32) -> bool {
    (0..times).fold(false, |_, _| ejector.sample(now, &instance(name), sample))
}

#[test]
fn sample_failing_endpoint_is_ejected() {
    let mut ejector = ejector(6);
    assert!(!feed(&mut ejector, NOW, "w0", Sample::Failed, 4));
    assert!(feed(&mut ejector, NOW, "w0", Sample::Failed, 1));
    assert_eq!(ejector.usable(NOW, &instance("w0")), Use::Closed);
}

#[test]
fn sample_slow_endpoint_is_ejected() {
    let mut ejector = ejector(6);
    for name in ["w1", "w2", "w3"] {
        feed(&mut ejector, NOW, name, FAST, 5);
    }
    assert!(feed(&mut ejector, NOW, "w0", SLOW, 5));
}

#[test]
fn sample_bounded_share_is_ejected() {
    let mut ejector = ejector(6);
    for i in 0..6 {
        feed(&mut ejector, NOW, &format!("w{i}"), Sample::Failed, 9);
    }
    assert_eq!(ejector.ejected(), 2);
}

#[test]
fn probes_bring_endpoint_back() {
    let mut ejector = ejector(6);
    let w0 = instance("w0");
    feed(&mut ejector, NOW, "w0", Sample::Failed, 5);
    let later = NOW + Duration::from_secs(5);
    for _ in 0..3 {
        assert_eq!(ejector.usable(later, &w0), Use::Probe);
        ejector.sent(later, &w0);
        assert_eq!(ejector.usable(later, &w0), Use::Closed);
        ejector.sample(later, &w0, FAST);
    }
    assert_eq!(ejector.usable(later, &w0), Use::Open);
}

#[test]
fn probes_failed_double_ejection() {
    let mut ejector = ejector(6);
    let w0 = instance("w0");
    feed(&mut ejector, NOW, "w0", Sample::Failed, 5);
    let later = NOW + Duration::from_secs(5);
    ejector.sent(later, &w0);
    assert!(ejector.sample(later, &w0, Sample::Failed));
    assert_eq!(ejector.usable(later + Duration::from_secs(9), &w0), Use::Closed);
    assert_eq!(ejector.usable(later + Duration::from_secs(10), &w0), Use::Probe);
}
