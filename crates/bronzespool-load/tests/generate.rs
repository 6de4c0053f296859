//! Arrival schedule, request mix and result statistics of the load generator.

use {
    bronzespool_load::generate::{
        Arrivals, RequestMix, RequestStats, RequestTemplate, ResultClass,
    },
    std::time::Duration,
};

fn template(kind: &str, team: &str) -> RequestTemplate {
    RequestTemplate {
        service: "s".to_owned(),
        kind: kind.to_owned(),
        team: team.to_owned(),
        protected: false,
        deadline: Duration::from_millis(100),
    }
}

#[test]
fn arrivals_equal_seed_equal_schedule() {
    let first: Vec<_> = Arrivals::new(3, 500.0).take(100).collect();
    let second: Vec<_> = Arrivals::new(3, 500.0).take(100).collect();
    let other: Vec<_> = Arrivals::new(4, 500.0).take(100).collect();
    assert_eq!(first, second);
    assert_ne!(first, other);
}

#[test]
fn arrivals_many_keep_rate() {
    let last = Arrivals::new(1, 1_000.0).take(100_000).last().unwrap();
    assert!((last.as_secs_f64() - 100.0).abs() < 2.0, "{last:?}");
}

#[test]
fn pick_weights_are_kept() {
    let mut mix = RequestMix::default();
    mix.push(template("a", "x"), 3);
    mix.push(template("b", "x"), 0);
    mix.push(template("c", "y"), 1);
    let mut rng = fastrand::Rng::with_seed(5);
    let picks: Vec<_> = (0..10_000).map(|_| mix.pick(&mut rng).unwrap().kind.clone()).collect();
    let count = |kind: &str| picks.iter().filter(|k| *k == kind).count();
    assert_eq!(count("b"), 0);
    assert!((7_200..7_800).contains(&count("a")), "{}", count("a"));
    assert_eq!(mix.for_team("y").templates(), [template("c", "y")]);
    assert_eq!(mix.for_kind("a").templates(), [template("a", "x")]);
    assert!(RequestMix::default().pick(&mut rng).is_none());
}

#[test]
fn record_late_answer_is_not_good() {
    let mut stats = RequestStats::default();
    let (deadline, lag) = (Duration::from_millis(100), Duration::from_millis(1));
    for (class, millis) in
        [(ResultClass::Good, 50), (ResultClass::Good, 5_000), (ResultClass::NotRun, 1)]
    {
        stats.record(("a", "x"), class, Duration::from_millis(millis), lag, deadline);
    }
    let (counts, times) = stats.totals();
    assert_eq!((counts.good, counts.late, counts.not_run, counts.total()), (1, 1, 1, 3));
    // A time beyond the initial range of the histogram is kept, not clamped.
    assert!((4_990.0..5_010.0).contains(&times.p99), "{times:?}");
    assert!((0.9..1.1).contains(&stats.refusals().p50));
}

#[test]
fn merge_stats_sum() {
    let mut total = RequestStats::default();
    for kind in ["a", "b"] {
        let mut part = RequestStats::default();
        let took = Duration::from_millis(10);
        part.record((kind, "x"), ResultClass::Good, took, Duration::ZERO, took);
        total.merge(&part);
    }
    assert_eq!(total.totals().0.good, 2);
    assert_eq!(total.select(|kind, _| kind == "a").0.good, 1);
    assert_eq!(total.kinds(), ["a", "b"]);
}

#[test]
fn record_completion_late_answer_is_no_goodput() {
    let mut stats = RequestStats::default();
    let deadline = Duration::from_millis(100);
    stats.record_completion(ResultClass::Good, deadline, deadline);
    stats.record_completion(ResultClass::Good, deadline * 2, deadline);
    stats.record_completion(ResultClass::NotRun, Duration::ZERO, deadline);
    assert_eq!(stats.good_completions(), 1);
}
