//! Service-level burn.

use {
    bronzespool_core::{Code, Kind, Service, Target, Time},
    bronzespool_flow::burn::Burns,
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
fn line_counts_good_late_and_refused() {
    let (service, kind) = names();
    let mut burns = Burns::default();
    let burn = burns.entry(&service, &kind, TARGET);
    let now = Time::from_secs(10);
    for _ in 0..8 {
        burn.answer(now, Code::Done, FAST);
    }
    burn.answer(now, Code::Done, SLOW);
    burn.answer(now, Code::Overloaded, FAST);
    burn.answer(now, Code::BodyInvalid, FAST);
    let line = &burns.lines(now)[0];
    assert_eq!((line.counts.good, line.counts.bad), (8, 2));
    assert!(close(line.share, 0.8) && close(line.short, 2.0) && close(line.left, -1.0));
}

#[test]
fn line_short_window_forgets_first() {
    let (service, kind) = names();
    let mut burns = Burns::default();
    burns.entry(&service, &kind, TARGET).answer(Time::from_secs(60), Code::Sealed, FAST);
    let line = |secs| burns.lines(Time::from_secs(secs)).remove(0);
    assert!(line(300).short > 0.0);
    assert!(close(line(600).short, 0.0) && line(600).long > 0.0);
    assert!(close(line(5_000).long, 0.0) && line(5_000).counts.bad == 1);
    assert_eq!(line(90_000).counts.total(), 0);
}
