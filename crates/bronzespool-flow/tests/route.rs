//! Routing and outlier detection.

use {
    bronzespool_core::{Capacity, Center, Instance, Place, Rack, Region, Service, Time},
    bronzespool_flow::{
        outlier::{Eligibility, OutlierDetector, OutlierRules, Sample},
        route::{Candidate, EndpointLoads, RouteCosts, Router},
        view::{EndpointRecord, Presence},
    },
    std::{collections::BTreeMap, time::Duration},
};

const NOW: Time = Time::from_secs(100);
const FAST: Sample = Sample::Answered(Duration::from_millis(10));
const SLOW: Sample = Sample::Answered(Duration::from_millis(100));
const COSTS: RouteCosts = RouteCosts {
    remote_penalty: Duration::from_micros(1_000),
    request_time: Duration::from_millis(10),
};

fn instance(name: &str) -> Instance {
    Instance::try_from(name).unwrap()
}

fn candidate(name: &str, center: &str, slots: u32) -> Candidate {
    let center = Center::try_from(center).unwrap();
    Candidate { instance: instance(name), center, slots, probe_only: false }
}

fn endpoint(name: &str, presence: Presence) -> EndpointRecord {
    EndpointRecord {
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

fn counts(
    loads: &mut EndpointLoads,
    candidates: &[Candidate],
    requests: u32,
) -> BTreeMap<String, u32> {
    let (mut router, mut counts) = (router(), BTreeMap::new());
    for _ in 0..requests {
        let chosen = router.choose(NOW, candidates, loads, 1, true, COSTS).unwrap();
        loads.request_sent(&chosen.instance, 1);
        *counts.entry(chosen.instance.to_string()).or_default() += 1;
    }
    counts
}

#[test]
fn choose_balances_by_load() {
    let candidates = [candidate("w1", "couva", 50), candidate("w2", "couva", 50)];
    let mut loads = EndpointLoads::default();
    loads.record_report(NOW, &instance("w1"), 20);
    let counts = counts(&mut loads, &candidates, 60);
    assert!(counts["w2"] > counts["w1"] + 10, "{counts:?}");
}

#[test]
fn choose_prefers_near_until_loaded() {
    let candidates = [candidate("w1", "couva", 8), candidate("w2", "arima", 8)];
    let mut loads = EndpointLoads::default();
    assert_eq!(counts(&mut loads, &candidates, 3).get("w2"), None);
    assert!(counts(&mut loads, &candidates, 5).contains_key("w2"));
}

#[test]
fn choose_full_endpoints_returns_none() {
    let candidates = [candidate("w1", "couva", 2)];
    let mut loads = EndpointLoads::default();
    loads.record_report(NOW, &instance("w1"), 2);
    assert_eq!(router().choose(NOW, &candidates, &loads, 1, true, COSTS), None);
    let later = NOW + Duration::from_secs(6);
    assert!(router().choose(later, &candidates, &loads, 1, true, COSTS).is_some());
}

#[test]
fn choose_probe_takes_repeatable_only() {
    let probe = Candidate { probe_only: true, ..candidate("w1", "couva", 8) };
    let candidates = [probe, candidate("w2", "couva", 8)];
    let loads = EndpointLoads::default();
    let name = |repeatable| {
        router()
            .choose(NOW, &candidates, &loads, 1, repeatable, COSTS)
            .unwrap()
            .instance
            .to_string()
    };
    assert_eq!((name(true).as_str(), name(false).as_str()), ("w1", "w2"));
}

#[test]
fn used_slots_count_own_requests_since_report() {
    let (mut loads, w1) = (EndpointLoads::default(), instance("w1"));
    loads.request_sent(&w1, 2);
    loads.record_report(NOW, &w1, 5);
    loads.request_sent(&w1, 1);
    assert_eq!(loads.used_slots(NOW, &w1), 6);
    loads.request_ended(&w1, 2);
    assert_eq!(loads.used_slots(NOW, &w1), 4);
}

#[test]
fn candidates_exclude_draining_down_and_tried() {
    let endpoints = [
        endpoint("w1", Presence::Draining),
        endpoint("w2", Presence::Down),
        endpoint("w3", Presence::Up),
        endpoint("w4", Presence::Up),
    ];
    let service = Service::try_from("flight-desk").unwrap();
    let detector = OutlierDetector::new(OutlierRules::default());
    let tried = [instance("w3")];
    let found = Router::candidates(NOW, &service, endpoints.iter(), &detector, &tried);
    assert_eq!(found.iter().map(|c| c.instance.as_str()).collect::<Vec<_>>(), ["w4"]);
}

fn detector(count: usize) -> OutlierDetector {
    let mut detector = OutlierDetector::new(OutlierRules::default());
    for i in 0..count {
        detector.add(&instance(&format!("w{i}")));
    }
    detector
}

fn record_samples(
    detector: &mut OutlierDetector,
    now: Time,
    name: &str,
    sample: Sample,
    times: u32,
) -> bool {
    (0..times).fold(false, |_, _| detector.record_sample(now, &instance(name), sample))
}

#[test]
fn record_sample_failing_endpoint_is_ejected() {
    let mut detector = detector(6);
    assert!(!record_samples(&mut detector, NOW, "w0", Sample::Failed, 4));
    assert!(record_samples(&mut detector, NOW, "w0", Sample::Failed, 1));
    assert_eq!(detector.eligibility(NOW, &instance("w0")), Eligibility::Ejected);
}

#[test]
fn record_sample_slow_endpoint_is_ejected() {
    let mut detector = detector(6);
    for name in ["w1", "w2", "w3"] {
        record_samples(&mut detector, NOW, name, FAST, 5);
    }
    assert!(record_samples(&mut detector, NOW, "w0", SLOW, 5));
}

#[test]
fn record_sample_bounded_share_is_ejected() {
    let mut detector = detector(6);
    for i in 0..6 {
        record_samples(&mut detector, NOW, &format!("w{i}"), Sample::Failed, 9);
    }
    assert_eq!(detector.ejected(), 2);
}

#[test]
fn probes_bring_endpoint_back() {
    let mut detector = detector(6);
    let w0 = instance("w0");
    record_samples(&mut detector, NOW, "w0", Sample::Failed, 5);
    let later = NOW + Duration::from_secs(5);
    for _ in 0..3 {
        assert_eq!(detector.eligibility(later, &w0), Eligibility::ProbeOnly);
        detector.record_request(later, &w0);
        assert_eq!(detector.eligibility(later, &w0), Eligibility::Ejected);
        detector.record_sample(later, &w0, FAST);
    }
    assert_eq!(detector.eligibility(later, &w0), Eligibility::Normal);
}

#[test]
fn probes_failed_double_ejection() {
    let mut detector = detector(6);
    let w0 = instance("w0");
    record_samples(&mut detector, NOW, "w0", Sample::Failed, 5);
    let later = NOW + Duration::from_secs(5);
    detector.record_request(later, &w0);
    assert!(detector.record_sample(later, &w0, Sample::Failed));
    assert_eq!(detector.eligibility(later + Duration::from_secs(9), &w0), Eligibility::Ejected);
    assert_eq!(detector.eligibility(later + Duration::from_secs(10), &w0), Eligibility::ProbeOnly);
}
