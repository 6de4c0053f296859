//! Schedule, mix and tally of the load generator.

use {
    bronzespool_load::generate::{Arrivals, Class, Item, Mix, Tally},
    std::time::Duration,
};

fn item(kind: &str, team: &str) -> Item {
    Item {
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
    let mut mix = Mix::default();
    mix.push(item("a", "x"), 3);
    mix.push(item("b", "x"), 0);
    mix.push(item("c", "y"), 1);
    let mut rng = fastrand::Rng::with_seed(5);
    let picks: Vec<_> = (0..10_000).map(|_| mix.pick(&mut rng).unwrap().kind.clone()).collect();
    let count = |kind: &str| picks.iter().filter(|k| *k == kind).count();
    assert_eq!(count("b"), 0);
    assert!((7_200..7_800).contains(&count("a")), "{}", count("a"));
    assert_eq!(mix.team("y").items(), [item("c", "y")]);
    assert_eq!(mix.kind("a").items(), [item("a", "x")]);
    assert!(Mix::default().pick(&mut rng).is_none());
}

#[test]
fn note_late_answer_is_not_good() {
    let mut tally = Tally::default();
    let (deadline, lag) = (Duration::from_millis(100), Duration::from_millis(1));
    for (class, millis) in [(Class::Good, 50), (Class::Good, 5_000), (Class::NotRun, 1)] {
        tally.note(("a", "x"), class, Duration::from_millis(millis), lag, deadline);
    }
    let (counts, times) = tally.whole();
    assert_eq!((counts.good, counts.late, counts.not_run, counts.total()), (1, 1, 1, 3));
    // A time over the first range of the histogram is kept, not cut off.
    assert!((4_990.0..5_010.0).contains(&times.p99), "{times:?}");
    assert!((0.9..1.1).contains(&tally.refusals().p50));
}

#[test]
fn add_tallies_sum() {
    let mut whole = Tally::default();
    for kind in ["a", "b"] {
        let mut part = Tally::default();
        let took = Duration::from_millis(10);
        part.note((kind, "x"), Class::Good, took, Duration::ZERO, took);
        whole.add(&part);
    }
    assert_eq!(whole.whole().0.good, 2);
    assert_eq!(whole.select(|kind, _| kind == "a").0.good, 1);
    assert_eq!(whole.kinds(), ["a", "b"]);
}

#[test]
fn ended_late_answer_is_no_goodput() {
    let mut tally = Tally::default();
    let deadline = Duration::from_millis(100);
    tally.ended(Class::Good, deadline, deadline);
    tally.ended(Class::Good, deadline * 2, deadline);
    tally.ended(Class::NotRun, Duration::ZERO, deadline);
    assert_eq!(tally.good_ended(), 1);
}
