//! Guarantees, borrowing and reclaim.

mod common;

use {
    bronzespool_core::{Level, Time},
    bronzespool_schedule::{Event, MemberOutcome, Phase, Settings, StopReason},
    common::{World, job},
};

fn world() -> World {
    let mut world = World::racks(Settings::default(), &[&[4, 4], &[4, 4]]);
    world.guarantees(&[("arima", &["2 x worker"]), ("couva", &["1 x rack"])]);
    world
}

#[test]
fn decide_within_guarantee_runs_unborrowed() {
    let mut world = world();
    world.put(Event::Submitted(job("a", "arima", 2, 4, Level::Region)));
    world.run();
    assert!(world.is_started("a"));
    assert!(!world.is_borrowed("a"));
}

#[test]
fn decide_beyond_guarantee_borrows_then_gives_back() {
    let mut world = world();
    world.put(Event::Submitted(job("a", "arima", 4, 4, Level::Region)));
    world.run();
    assert!(world.is_started("a") && world.is_borrowed("a"));
    world.put(Event::Submitted(job("c", "couva", 2, 4, Level::Rack)));
    let events = world.run();
    assert!(
        events.iter().any(|e| matches!(e, Event::Stopping { reason: StopReason::Reclaim, .. }))
    );
    world.stop("a", MemberOutcome::Stopped);
    world.run();
    assert!(world.is_started("c") && !world.is_borrowed("c"));
    assert!(world.is_waiting("a"));
}

#[test]
fn decide_silent_borrower_frees_cells_at_lease_end() {
    let mut world = world();
    world.put(Event::Submitted(job("a", "arima", 4, 4, Level::Region)));
    world.run();
    world.put(Event::Submitted(job("c", "couva", 2, 4, Level::Rack).urgent(true)));
    world.run();
    let start = world.now;
    world.wake();
    world.run();
    assert!(world.is_started("c"));
    let settings = Settings::default();
    let bound = settings.urgent_grace + settings.lease + settings.clock_bound;
    assert!(world.now.since(start) <= bound, "{:?}", world.now);
}

#[test]
fn decide_uninterruptible_never_borrows() {
    let mut world = world();
    world.put(Event::Submitted(job("a", "arima", 3, 4, Level::Region).restart(false)));
    world.run();
    assert!(world.is_waiting("a"));
    world.put(Event::Submitted(job("b", "arima", 2, 4, Level::Region).restart(false)));
    world.run();
    assert!(world.is_started("b") && !world.is_borrowed("b"));
}

#[test]
fn decide_bind_keeps_other_guarantees_packable() {
    let mut world = world();
    world.put(Event::Submitted(job("a", "arima", 1, 4, Level::Region).restart(false)));
    world.put(Event::Submitted(job("b", "arima", 1, 4, Level::Region).restart(false)));
    world.put(Event::Submitted(job("c", "couva", 2, 4, Level::Rack).restart(false)));
    world.run();
    assert!(world.is_started("a") && world.is_started("b") && world.is_started("c"));
}

/// Advances to the next decision until `name` holds cells, and returns when that is.
fn until_granted(world: &mut World, name: &str) -> Time {
    for _ in 0..20 {
        world.run();
        if matches!(world.phase(name), Phase::Active(_)) {
            return world.now;
        }
        world.wake();
    }
    panic!("{name} is never granted");
}

#[test]
fn decide_silent_borrower_keeps_cells_until_lease_end() {
    let mut world = world();
    world.put(Event::Submitted(job("a", "arima", 4, 4, Level::Region)));
    world.run();
    let start = world.now;
    world.put(Event::Submitted(job("c", "couva", 2, 4, Level::Rack).urgent(true)));
    let granted = until_granted(&mut world, "c");
    let settings = Settings::default();
    assert!(granted.since(start) >= settings.lease + settings.clock_bound, "{granted}");
}

/// Work made borrowed may still hold a long lease: its cells are handed on after that.
#[test]
fn decide_demoted_silent_work_keeps_cells_until_old_lease_end() {
    let mut world = World::racks(Settings::default(), &[&[4], &[4]]);
    world.guarantees(&[("arima", &["2 x block-4"])]);
    for name in ["a", "b", "c", "d", "e", "f"] {
        world.put(Event::Submitted(job(name, "arima", 1, 1, Level::Region)));
    }
    world.run();
    for name in ["b", "c", "d", "f"] {
        world.stop(name, MemberOutcome::Done);
    }
    let start = world.now;
    let claim = job("big", "arima", 1, 4, Level::Region).restart(false).urgent(true);
    world.put(Event::Submitted(claim));
    let events = world.run();
    assert!(events.iter().any(|e| matches!(e, Event::Demoted { .. })), "{events:?}");
    let granted = until_granted(&mut world, "big");
    let settings = Settings::default();
    assert!(granted.since(start) >= settings.gang_lease + settings.clock_bound, "{granted}");
}
