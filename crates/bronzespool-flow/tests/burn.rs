//! Burn rates.

use {
    bronzespool_core::{Code, Kind, Service, Target, Time},
    bronzespool_flow::burn::BurnTrackers,
    std::time::Duration,
};

const TARGET: Target = Target { share: 0.9, within: Duration::from_millis(100) };
const FAST: Duration = Duration::from_millis(100);
const SLOW: Duration = Duration::from_millis(101);

fn names() -> (Service, Kind) {
    (Service::try_from("permit-desk").unwrap(), Kind::try_from("quota").unwrap())
}

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-9
}

#[test]
fn report_counts_good_late_and_refused() {
    let (service, kind) = names();
    let mut trackers = BurnTrackers::default();
    let tracker = trackers.tracker(&service, &kind, TARGET);
    let now = Time::from_secs(10);
    for _ in 0..8 {
        tracker.record(now, Code::Done, FAST);
    }
    tracker.record(now, Code::Done, SLOW);
    tracker.record(now, Code::Overloaded, FAST);
    tracker.record(now, Code::BodyInvalid, FAST);
    let report = &trackers.reports(now)[0];
    assert_eq!((report.counts.good, report.counts.bad), (8, 2));
    assert!(
        close(report.good_share, 0.8)
            && close(report.short_burn, 2.0)
            && close(report.budget_left, -1.0)
    );
}

#[test]
fn report_short_window_expires_first() {
    let (service, kind) = names();
    let mut trackers = BurnTrackers::default();
    trackers.tracker(&service, &kind, TARGET).record(Time::from_secs(60), Code::Sealed, FAST);
    let report = |secs| trackers.reports(Time::from_secs(secs)).remove(0);
    assert!(report(300).short_burn > 0.0);
    assert!(close(report(600).short_burn, 0.0) && report(600).long_burn > 0.0);
    assert!(close(report(5_000).long_burn, 0.0) && report(5_000).counts.bad == 1);
    assert_eq!(report(90_000).counts.total(), 0);
}
