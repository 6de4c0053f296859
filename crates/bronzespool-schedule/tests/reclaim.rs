//! Guarantees, borrowing and reclaim.

mod common;

use {
    bronzespool_core::{Level, Time},
    bronzespool_schedule::{Event, JobPhase, MemberOutcome, PolicySettings, StopReason},
    common::{Simulation, job},
};

fn sim() -> Simulation {
    let mut sim = Simulation::racks(PolicySettings::default(), &[&[4, 4], &[4, 4]]);
    sim.guarantees(&[("arima", &["2 x worker"]), ("couva", &["1 x rack"])]);
    sim
}

#[test]
fn decide_within_guarantee_runs_unborrowed() {
    let mut sim = sim();
    sim.put(Event::Submitted(job("a", "arima", 2, 4, Level::Region)));
    sim.run();
    assert!(sim.is_started("a"));
    assert!(!sim.is_borrowed("a"));
}

#[test]
fn decide_beyond_guarantee_borrows_then_gives_back() {
    let mut sim = sim();
    sim.put(Event::Submitted(job("a", "arima", 4, 4, Level::Region)));
    sim.run();
    assert!(sim.is_started("a") && sim.is_borrowed("a"));
    sim.put(Event::Submitted(job("c", "couva", 2, 4, Level::Rack)));
    let events = sim.run();
    assert!(
        events.iter().any(|e| matches!(e, Event::Stopping { reason: StopReason::Reclaim, .. }))
    );
    sim.stop("a", MemberOutcome::Stopped);
    sim.run();
    assert!(sim.is_started("c") && !sim.is_borrowed("c"));
    assert!(sim.is_waiting("a"));
}

#[test]
fn decide_silent_borrower_frees_cells_at_lease_end() {
    let mut sim = sim();
    sim.put(Event::Submitted(job("a", "arima", 4, 4, Level::Region)));
    sim.run();
    sim.put(Event::Submitted(job("c", "couva", 2, 4, Level::Rack).urgent(true)));
    sim.run();
    let start = sim.now;
    sim.wake();
    sim.run();
    assert!(sim.is_started("c"));
    let settings = PolicySettings::default();
    let bound = settings.urgent_grace + settings.borrowed_lease + settings.clock_error_max;
    assert!(sim.now.since(start) <= bound, "{:?}", sim.now);
}

#[test]
fn decide_uninterruptible_never_borrows() {
    let mut sim = sim();
    sim.put(Event::Submitted(job("a", "arima", 3, 4, Level::Region).restartable(false)));
    sim.run();
    assert!(sim.is_waiting("a"));
    sim.put(Event::Submitted(job("b", "arima", 2, 4, Level::Region).restartable(false)));
    sim.run();
    assert!(sim.is_started("b") && !sim.is_borrowed("b"));
}

#[test]
fn decide_bind_keeps_other_guarantees_packable() {
    let mut sim = sim();
    sim.put(Event::Submitted(job("a", "arima", 1, 4, Level::Region).restartable(false)));
    sim.put(Event::Submitted(job("b", "arima", 1, 4, Level::Region).restartable(false)));
    sim.put(Event::Submitted(job("c", "couva", 2, 4, Level::Rack).restartable(false)));
    sim.run();
    assert!(sim.is_started("a") && sim.is_started("b") && sim.is_started("c"));
}

/// Advances to the next decision until `name` holds cells, and returns when that is.
fn until_granted(sim: &mut Simulation, name: &str) -> Time {
    for _ in 0..20 {
        sim.run();
        if matches!(sim.phase(name), JobPhase::Active(_)) {
            return sim.now;
        }
        sim.wake();
    }
    panic!("{name} is never granted");
}

#[test]
fn decide_silent_borrower_keeps_cells_until_lease_end() {
    let mut sim = sim();
    sim.put(Event::Submitted(job("a", "arima", 4, 4, Level::Region)));
    sim.run();
    let start = sim.now;
    sim.put(Event::Submitted(job("c", "couva", 2, 4, Level::Rack).urgent(true)));
    let granted = until_granted(&mut sim, "c");
    let settings = PolicySettings::default();
    assert!(
        granted.since(start) >= settings.borrowed_lease + settings.clock_error_max,
        "{granted}"
    );
}

/// Work made borrowed may still hold a long lease: its cells are handed on after that.
#[test]
fn decide_demoted_silent_work_keeps_cells_until_old_lease_end() {
    let mut sim = Simulation::racks(PolicySettings::default(), &[&[4], &[4]]);
    sim.guarantees(&[("arima", &["2 x block-4"])]);
    for name in ["a", "b", "c", "d", "e", "f"] {
        sim.put(Event::Submitted(job(name, "arima", 1, 1, Level::Region)));
    }
    sim.run();
    for name in ["b", "c", "d", "f"] {
        sim.stop(name, MemberOutcome::Done);
    }
    let start = sim.now;
    let claim = job("big", "arima", 1, 4, Level::Region).restartable(false).urgent(true);
    sim.put(Event::Submitted(claim));
    let events = sim.run();
    assert!(events.iter().any(|e| matches!(e, Event::Demoted { .. })), "{events:?}");
    let granted = until_granted(&mut sim, "big");
    let settings = PolicySettings::default();
    assert!(
        granted.since(start) >= settings.guaranteed_lease + settings.clock_error_max,
        "{granted}"
    );
}
