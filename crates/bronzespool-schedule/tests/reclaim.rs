//! Guarantees, borrowing and reclaim.

mod common;

use {
    bronzespool_core::Level,
    bronzespool_schedule::{Event, MemberOutcome, Settings, StopReason},
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
