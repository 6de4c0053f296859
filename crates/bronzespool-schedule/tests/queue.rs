//! Borrowing order, reservations, demotion, admission and explanations.

mod common;

use {
    bronzespool_core::{Code, Level},
    bronzespool_schedule::{
        Event, MemberOutcome, PolicySettings, StatusReason, StopReason, admit, explain,
    },
    common::{Simulation, job},
    std::time::Duration,
};

#[test]
fn decide_small_share_borrows_first() {
    let mut sim = Simulation::racks(PolicySettings::default(), &[&[8]]);
    for i in 0..8 {
        sim.record(Event::Submitted(job(&format!("a{i}"), "arima", 1, 2, Level::Region)));
    }
    for i in 0..2 {
        sim.record(Event::Submitted(job(&format!("c{i}"), "couva", 1, 2, Level::Region)));
    }
    sim.run_granted();
    assert!(sim.is_started("c0") && sim.is_started("c1"));
    assert!(sim.is_started("a0") && sim.is_started("a1") && sim.is_waiting("a2"));
}

/// A borrowing gang that needs the whole rack must not starve while small jobs keep arriving.
#[test]
fn decide_large_gang_starts_past_exclusive_age() {
    let settings =
        PolicySettings { exclusive_age: Duration::from_secs(300), ..PolicySettings::default() };
    let bound = settings.exclusive_age
        + settings.grace
        + settings.borrowed_lease
        + settings.clock_error_max;
    let mut sim = Simulation::racks(settings, &[&[4, 4]]);
    for i in 0..4 {
        sim.record(Event::Submitted(job(&format!("old{i}"), "arima", 1, 2, Level::Region)));
    }
    sim.run_granted();
    sim.record(Event::Submitted(job("gang", "couva", 2, 4, Level::Rack)));
    let start = sim.now;
    for round in 0..400 {
        sim.advance(Duration::from_secs(1));
        let name = format!("small{round}");
        sim.record(Event::Submitted(job(&name, "arima", 1, 1, Level::Region)));
        sim.run_granted();
        if round % 7 == 0 && !sim.is_started("gang") {
            let running: Vec<String> = sim
                .state
                .jobs()
                .filter(|j| j.attempt().is_some_and(|a| a.stop.is_none()) && j.id > 3)
                .map(|j| j.spec.job.to_string())
                .collect();
            running.iter().for_each(|name| sim.stop(name, MemberOutcome::Done));
        }
        if sim.is_started("gang") {
            break;
        }
    }
    // The four jobs submitted before the gang are not preempted for it, so they end here.
    if !sim.is_started("gang") {
        (0..4).for_each(|i| sim.stop(&format!("old{i}"), MemberOutcome::Done));
        for _ in 0..5 {
            sim.run_granted();
            sim.advance_to_wake();
        }
    }
    assert!(sim.is_started("gang"));
    assert!(sim.now.since(start) <= bound + Duration::from_secs(110), "{}", sim.now);
}

/// A backfill job that runs longer than its estimated run time must be preempted for the gang.
#[test]
fn decide_overdue_backfill_leaves_for_gang() {
    let mut sim = Simulation::racks(PolicySettings::default(), &[&[4, 4]]);
    for i in 0..3 {
        let name = format!("short{i}");
        sim.record(Event::Submitted(job(&name, "arima", 1, 4, Level::Region)));
        sim.run_granted();
        sim.advance(Duration::from_secs(10));
        sim.stop(&name, MemberOutcome::Done);
        sim.decide_all();
    }
    let mut long = job("long", "talparo", 1, 4, Level::Region);
    long.kind = "history".try_into().unwrap();
    sim.record(Event::Submitted(long));
    sim.run_granted();
    sim.record(Event::Submitted(job("gang", "couva", 2, 4, Level::Rack)));
    sim.record(Event::Submitted(job("small", "arima", 1, 1, Level::Region)));
    sim.run_granted();
    assert!(sim.is_started("small"), "its learned run time ends before the long job");
    sim.advance(Duration::from_secs(60));
    sim.stop("long", MemberOutcome::Done);
    let events = sim.run_granted();
    let stop = |e: &Event| matches!(e, Event::Stopping { reason: StopReason::Reservation, .. });
    assert!(events.iter().any(stop), "{events:?}");
    sim.stop("small", MemberOutcome::Stopped);
    sim.run_granted();
    assert!(sim.is_started("gang"));
}

#[test]
fn decide_equal_shares_lend_to_oldest() {
    let settings =
        PolicySettings { exclusive_age: Duration::from_secs(300), ..PolicySettings::default() };
    let mut sim = Simulation::racks(settings, &[&[4, 4]]);
    sim.record(Event::Submitted(job("first", "arima", 2, 4, Level::Rack)));
    sim.run_granted();
    sim.record(Event::Submitted(job("gang", "couva", 2, 4, Level::Rack)));
    sim.record(Event::Submitted(job("late", "arima", 1, 1, Level::Region)));
    sim.run_granted();
    sim.stop("first", MemberOutcome::Done);
    sim.run_granted();
    assert!(sim.is_started("gang"), "the older gang starts before the small job");
}

#[test]
fn decide_scattered_own_work_runs_on_as_borrowed() {
    let mut sim = Simulation::racks(PolicySettings::default(), &[&[4], &[4], &[4]]);
    sim.guarantees(&[("arima", &["2 x block-4"])]);
    for name in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        sim.record(Event::Submitted(job(name, "arima", 1, 1, Level::Region)));
    }
    sim.run_granted();
    for name in ["b", "c", "d", "f", "g"] {
        sim.stop(name, MemberOutcome::Done);
    }
    sim.record(Event::Submitted(job("big", "arima", 1, 4, Level::Region).restartable(false)));
    sim.run_granted();
    assert!(sim.is_started("big") && !sim.is_borrowed("big"));
    assert!(["a", "e", "h"].iter().all(|name| sim.is_started(name)));
}

#[test]
fn admit_impossible_shape_names_what_is_missing() {
    let mut sim = Simulation::racks(PolicySettings::default(), &[&[4, 4]]);
    sim.guarantees(&[("arima", &["1 x block-2"])]);
    let refusal = |spec| admit(&sim.state, &spec).unwrap_err();
    let large = refusal(job("a", "arima", 1, 8, Level::Region));
    assert_eq!(large.code, Code::Infeasible);
    assert!(large.reason.contains("8 adjacent accelerators"), "{large}");
    let wide = refusal(job("a", "arima", 3, 4, Level::Rack));
    assert!(wide.reason.contains("no rack holds 3 members"), "{wide}");
    let fixed = refusal(job("a", "arima", 1, 4, Level::Region).restartable(false));
    assert!(fixed.reason.contains("guarantee of team arima"), "{fixed}");
    assert!(admit(&sim.state, &job("a", "arima", 2, 4, Level::Rack)).is_ok());
}

#[test]
fn explain_waiting_names_holders_and_latest_start() {
    let mut sim = Simulation::racks(PolicySettings::default(), &[&[4, 4]]);
    sim.guarantees(&[("arima", &["1 x rack"])]);
    sim.record(Event::Submitted(job("own", "arima", 2, 4, Level::Rack)));
    sim.run_granted();
    sim.record(Event::Submitted(job("guest", "couva", 1, 4, Level::Region)));
    sim.run_granted();
    let found = explain(&sim.state, &"guest".try_into().unwrap(), sim.now).unwrap();
    assert_eq!(found.reason, StatusReason::NoFreeCells);
    assert_eq!(found.latest_start, None, "work on its own guarantee has no latest end");
    assert_eq!(found.holders[0].job.as_str(), "own");
    assert!(!found.holders[0].borrowed);
    let found = explain(&sim.state, &"own".try_into().unwrap(), sim.now).unwrap();
    assert_eq!(found.reason, StatusReason::Running);
}
