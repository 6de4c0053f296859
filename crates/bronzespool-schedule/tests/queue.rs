//! Borrowing order, reservations, demotion, explanations.

mod common;

use {
    bronzespool_core::{Code, Level},
    bronzespool_schedule::{Event, MemberOutcome, Reason, Settings, StopReason, admit, explain},
    common::{World, job},
    std::time::Duration,
};

#[test]
fn decide_small_share_borrows_first() {
    let mut world = World::racks(Settings::default(), &[&[8]]);
    for i in 0..8 {
        world.put(Event::Submitted(job(&format!("a{i}"), "arima", 1, 2, Level::Region)));
    }
    for i in 0..2 {
        world.put(Event::Submitted(job(&format!("c{i}"), "couva", 1, 2, Level::Region)));
    }
    world.run();
    assert!(world.is_started("c0") && world.is_started("c1"));
    assert!(world.is_started("a0") && world.is_started("a1") && world.is_waiting("a2"));
}

/// Small jobs arrive all the time; a borrowing gang of the whole rack starts all the same.
#[test]
fn decide_large_gang_starts_past_exclusive_age() {
    let settings = Settings { exclusive: Duration::from_secs(300), ..Settings::default() };
    let bound = settings.exclusive + settings.grace + settings.lease + settings.clock_bound;
    let mut world = World::racks(settings, &[&[4, 4]]);
    for i in 0..4 {
        world.put(Event::Submitted(job(&format!("old{i}"), "arima", 1, 2, Level::Region)));
    }
    world.run();
    world.put(Event::Submitted(job("gang", "couva", 2, 4, Level::Rack)));
    let start = world.now;
    for round in 0..400 {
        world.advance(Duration::from_secs(1));
        let name = format!("small{round}");
        world.put(Event::Submitted(job(&name, "arima", 1, 1, Level::Region)));
        world.run();
        if round % 7 == 0 && !world.is_started("gang") {
            let running: Vec<String> = world
                .book
                .jobs()
                .filter(|j| j.attempt().is_some_and(|a| a.stop.is_none()) && j.id > 3)
                .map(|j| j.spec.job.to_string())
                .collect();
            running.iter().for_each(|name| world.stop(name, MemberOutcome::Done));
        }
        if world.is_started("gang") {
            break;
        }
    }
    // The four jobs submitted before it are never stopped for it: they end now.
    if !world.is_started("gang") {
        (0..4).for_each(|i| world.stop(&format!("old{i}"), MemberOutcome::Done));
        for _ in 0..5 {
            world.run();
            world.wake();
        }
    }
    assert!(world.is_started("gang"));
    assert!(world.now.since(start) <= bound + Duration::from_secs(110), "{}", world.now);
}

/// A small job that backfills by its learned run time, but runs on, leaves for the gang.
#[test]
fn decide_overdue_backfill_leaves_for_gang() {
    let mut world = World::racks(Settings::default(), &[&[4, 4]]);
    for i in 0..3 {
        let name = format!("short{i}");
        world.put(Event::Submitted(job(&name, "arima", 1, 4, Level::Region)));
        world.run();
        world.advance(Duration::from_secs(10));
        world.stop(&name, MemberOutcome::Done);
        world.settle();
    }
    let mut long = job("long", "talparo", 1, 4, Level::Region);
    long.kind = "history".try_into().unwrap();
    world.put(Event::Submitted(long));
    world.run();
    world.put(Event::Submitted(job("gang", "couva", 2, 4, Level::Rack)));
    world.put(Event::Submitted(job("small", "arima", 1, 1, Level::Region)));
    world.run();
    assert!(world.is_started("small"), "its learned run time ends before the long job");
    world.advance(Duration::from_secs(60));
    world.stop("long", MemberOutcome::Done);
    let events = world.run();
    let stop = |e: &Event| matches!(e, Event::Stopping { reason: StopReason::Reservation, .. });
    assert!(events.iter().any(stop), "{events:?}");
    world.stop("small", MemberOutcome::Stopped);
    world.run();
    assert!(world.is_started("gang"));
}

#[test]
fn decide_equal_shares_lend_to_oldest() {
    let settings = Settings { exclusive: Duration::from_secs(300), ..Settings::default() };
    let mut world = World::racks(settings, &[&[4, 4]]);
    world.put(Event::Submitted(job("first", "arima", 2, 4, Level::Rack)));
    world.run();
    world.put(Event::Submitted(job("gang", "couva", 2, 4, Level::Rack)));
    world.put(Event::Submitted(job("late", "arima", 1, 1, Level::Region)));
    world.run();
    world.stop("first", MemberOutcome::Done);
    world.run();
    assert!(world.is_started("gang"), "the older gang goes before the small job");
}

#[test]
fn decide_scattered_own_work_runs_on_as_borrowed() {
    let mut world = World::racks(Settings::default(), &[&[4], &[4], &[4]]);
    world.guarantees(&[("arima", &["2 x block-4"])]);
    for name in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        world.put(Event::Submitted(job(name, "arima", 1, 1, Level::Region)));
    }
    world.run();
    for name in ["b", "c", "d", "f", "g"] {
        world.stop(name, MemberOutcome::Done);
    }
    world.put(Event::Submitted(job("big", "arima", 1, 4, Level::Region).restart(false)));
    world.run();
    assert!(world.is_started("big") && !world.is_borrowed("big"));
    assert!(["a", "e", "h"].iter().all(|name| world.is_started(name)));
}

#[test]
fn admit_impossible_shape_names_what_is_missing() {
    let mut world = World::racks(Settings::default(), &[&[4, 4]]);
    world.guarantees(&[("arima", &["1 x block-2"])]);
    let refusal = |spec| admit(&world.book, &spec).unwrap_err();
    let large = refusal(job("a", "arima", 1, 8, Level::Region));
    assert_eq!(large.code, Code::Infeasible);
    assert!(large.reason.contains("8 adjacent accelerators"), "{large}");
    let wide = refusal(job("a", "arima", 3, 4, Level::Rack));
    assert!(wide.reason.contains("no rack holds 3 members"), "{wide}");
    let fixed = refusal(job("a", "arima", 1, 4, Level::Region).restart(false));
    assert!(fixed.reason.contains("guarantee of team arima"), "{fixed}");
    assert!(admit(&world.book, &job("a", "arima", 2, 4, Level::Rack)).is_ok());
}

#[test]
fn explain_waiting_names_holders_and_latest_start() {
    let mut world = World::racks(Settings::default(), &[&[4, 4]]);
    world.guarantees(&[("arima", &["1 x rack"])]);
    world.put(Event::Submitted(job("own", "arima", 2, 4, Level::Rack)));
    world.run();
    world.put(Event::Submitted(job("guest", "couva", 1, 4, Level::Region)));
    world.run();
    let found = explain(&world.book, &"guest".try_into().unwrap(), world.now).unwrap();
    assert_eq!(found.reason, Reason::NoCells);
    assert_eq!(found.latest, None, "own guarantees are not bounded");
    assert_eq!(found.holders[0].job.as_str(), "own");
    assert!(!found.holders[0].borrowed);
    let found = explain(&world.book, &"own".try_into().unwrap(), world.now).unwrap();
    assert_eq!(found.reason, Reason::Runs);
}
