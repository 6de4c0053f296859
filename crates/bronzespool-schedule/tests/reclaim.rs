//! Guarantees, borrowing and reclaim.

mod common;

use {
    bronzespool_core::{Level, Time},
    bronzespool_schedule::{
        Attempt, Delivery, Event, JobPhase, MemberOutcome, Planner, PolicySettings, StopReason,
    },
    common::{COMMIT_TIME, Simulation, job},
    std::time::Duration,
};

fn sim() -> Simulation {
    let mut sim = Simulation::racks(PolicySettings::default(), &[&[4, 4], &[4, 4]]);
    sim.guarantees(&[("arima", &["2 x worker"]), ("couva", &["1 x rack"])]);
    sim
}

#[test]
fn decide_within_guarantee_runs_unborrowed() {
    let mut sim = sim();
    sim.record(Event::Submitted(job("a", "arima", 2, 4, Level::Region)));
    sim.run_granted();
    assert!(sim.is_started("a"));
    assert!(!sim.is_borrowed("a"));
}

#[test]
fn decide_beyond_guarantee_borrows_then_gives_back() {
    let mut sim = sim();
    sim.record(Event::Submitted(job("a", "arima", 4, 4, Level::Region)));
    sim.run_granted();
    assert!(sim.is_started("a") && sim.is_borrowed("a"));
    sim.record(Event::Submitted(job("c", "couva", 2, 4, Level::Rack)));
    let events = sim.run_granted();
    assert!(
        events.iter().any(|e| matches!(e, Event::Stopping { reason: StopReason::Reclaim, .. }))
    );
    sim.stop("a", MemberOutcome::Stopped);
    sim.run_granted();
    assert!(sim.is_started("c") && !sim.is_borrowed("c"));
    assert!(sim.is_waiting("a"));
}

#[test]
fn decide_silent_borrower_frees_cells_at_lease_end() {
    let mut sim = sim();
    sim.record(Event::Submitted(job("a", "arima", 4, 4, Level::Region)));
    sim.run_granted();
    sim.record(Event::Submitted(job("c", "couva", 2, 4, Level::Rack).urgent(true)));
    sim.run_granted();
    let start = sim.now;
    sim.advance_to_wake();
    sim.run_granted();
    assert!(sim.is_started("c"));
    let settings = PolicySettings::default();
    let bound = settings.urgent_grace + settings.borrowed_lease + settings.clock_error_max;
    assert!(sim.now.since(start) <= bound, "{:?}", sim.now);
}

#[test]
fn decide_uninterruptible_never_borrows() {
    let mut sim = sim();
    sim.record(Event::Submitted(job("a", "arima", 3, 4, Level::Region).restartable(false)));
    sim.run_granted();
    assert!(sim.is_waiting("a"));
    sim.record(Event::Submitted(job("b", "arima", 2, 4, Level::Region).restartable(false)));
    sim.run_granted();
    assert!(sim.is_started("b") && !sim.is_borrowed("b"));
}

#[test]
fn decide_bind_keeps_other_guarantees_packable() {
    let mut sim = sim();
    sim.record(Event::Submitted(job("a", "arima", 1, 4, Level::Region).restartable(false)));
    sim.record(Event::Submitted(job("b", "arima", 1, 4, Level::Region).restartable(false)));
    sim.record(Event::Submitted(job("c", "couva", 2, 4, Level::Rack).restartable(false)));
    sim.run_granted();
    assert!(sim.is_started("a") && sim.is_started("b") && sim.is_started("c"));
}

/// Advances the clock until cells are granted to `name`, and returns the time of the grant.
fn until_granted(sim: &mut Simulation, name: &str) -> Time {
    for _ in 0..20 {
        sim.run_granted();
        if matches!(sim.phase(name), JobPhase::Active(_)) {
            return sim.now;
        }
        sim.advance_to_wake();
    }
    panic!("{name} is never granted");
}

#[test]
fn decide_silent_borrower_keeps_cells_until_lease_end() {
    let mut sim = sim();
    sim.record(Event::Submitted(job("a", "arima", 4, 4, Level::Region)));
    sim.run_granted();
    let start = sim.now;
    sim.record(Event::Submitted(job("c", "couva", 2, 4, Level::Rack).urgent(true)));
    let granted = until_granted(&mut sim, "c");
    let settings = PolicySettings::default();
    assert!(
        granted.since(start) >= settings.borrowed_lease + settings.clock_error_max,
        "{granted}"
    );
}

// The commit of a stop took seconds, in which hubs renewed the borrower's session from the state
// before it; the cells were granted to another job while the silent borrower could still run.
#[test]
fn decide_silent_borrower_keeps_cells_until_lease_end_after_slow_commit() {
    let mut sim = sim();
    sim.record(Event::Submitted(job("a", "arima", 4, 4, Level::Region)));
    sim.run_granted();
    sim.record(Event::Submitted(job("c", "couva", 2, 4, Level::Rack).urgent(true)));
    let applied = commit_until(&mut sim, "a", |attempt| attempt.stop.is_some());
    let granted = until_granted(&mut sim, "c");
    let settings = PolicySettings::default();
    let free = applied + settings.borrowed_lease + settings.clock_error_max;
    assert!(granted >= free, "granted at {granted}, free at {free}");
}

/// Commits decisions slowly until the attempt of `name` is as wanted; returns
/// the time at which that record is applied.
fn commit_until(sim: &mut Simulation, name: &str, wanted: fn(&Attempt) -> bool) -> Time {
    for _ in 0..20 {
        let records = sim.planner.decide(&sim.state, sim.now);
        sim.commit_slowly(records);
        if matches!(sim.phase(name), JobPhase::Active(a) if wanted(a)) {
            return sim.now;
        }
    }
    panic!("{name} is never changed");
}

/// A job `c` that waits for the cells of the silent borrower `a`, whose stop is applied.
fn sim_with_silent_borrower() -> Simulation {
    let mut sim = sim();
    sim.record(Event::Submitted(job("a", "arima", 4, 4, Level::Region)));
    sim.run_granted();
    sim.record(Event::Submitted(job("c", "couva", 2, 4, Level::Rack).urgent(true)));
    sim.run_granted();
    sim
}

// A hub whose log lagged renewed the borrower's session after the leader had applied the stop.
#[test]
fn decide_silent_borrower_keeps_cells_until_sessions_reach_stop() {
    let mut sim = sim();
    let settle_time = Duration::from_secs(1);
    let lagging = Delivery { applied: 7, reached: 6, settle_time };
    sim.planner.set_delivery(lagging);
    sim.record(Event::Submitted(job("a", "arima", 4, 4, Level::Region)));
    sim.run_granted();
    sim.record(Event::Submitted(job("c", "couva", 2, 4, Level::Rack).urgent(true)));
    for _ in 0..100 {
        sim.run_granted();
        assert!(!sim.is_started("c"), "granted at {}", sim.now);
        let before = sim.now;
        sim.advance_to_wake();
        assert!(sim.now > before, "no later look at {before}");
    }
    let reached = sim.now;
    sim.planner.set_delivery(Delivery { reached: 7, ..lagging });
    let granted = until_granted(&mut sim, "c");
    let settings = PolicySettings::default();
    assert_eq!(granted, reached + settle_time + settings.clock_error_max);
}

#[test]
fn decide_silent_borrower_frees_cells_once_sessions_reached_stop() {
    let mut sim = sim();
    sim.planner.set_delivery(Delivery { applied: 7, reached: 7, ..Delivery::default() });
    sim.record(Event::Submitted(job("a", "arima", 4, 4, Level::Region)));
    sim.run_granted();
    let start = sim.now;
    sim.record(Event::Submitted(job("c", "couva", 2, 4, Level::Rack).urgent(true)));
    sim.run_granted();
    // A session that was opened later is at an earlier index until its first renewal.
    sim.planner.set_delivery(Delivery { applied: 9, reached: 0, ..Delivery::default() });
    let granted = until_granted(&mut sim, "c");
    let settings = PolicySettings::default();
    let bound = settings.urgent_grace + settings.borrowed_lease + settings.clock_error_max;
    assert_eq!(granted, start + bound);
}

// A new leader does not know when the stop was applied, so it counts from its own first decision.
#[test]
fn decide_silent_borrower_keeps_cells_after_change_of_leader() {
    let mut sim = sim_with_silent_borrower();
    sim.advance(COMMIT_TIME);
    sim.planner = Planner::default();
    let first = sim.now;
    let granted = until_granted(&mut sim, "c");
    let settings = PolicySettings::default();
    assert_eq!(granted, first + settings.borrowed_lease + settings.clock_error_max);
}

/// Work of `arima` that is scattered over its guaranteed cells, and the claim of `big` for one of
/// them.
fn sim_with_scattered_work() -> Simulation {
    let mut sim = Simulation::racks(PolicySettings::default(), &[&[4], &[4]]);
    sim.guarantees(&[("arima", &["2 x block-4"])]);
    for name in ["a", "b", "c", "d", "e", "f"] {
        sim.record(Event::Submitted(job(name, "arima", 1, 1, Level::Region)));
    }
    sim.run_granted();
    for name in ["b", "c", "d", "f"] {
        sim.stop(name, MemberOutcome::Done);
    }
    let claim = job("big", "arima", 1, 4, Level::Region).restartable(false).urgent(true);
    sim.record(Event::Submitted(claim));
    sim
}

/// Work that was made borrowed may still have its former, longer lease, so its cells must not be
/// granted to another job before that lease has expired.
#[test]
fn decide_demoted_silent_work_keeps_cells_until_old_lease_end() {
    let mut sim = sim_with_scattered_work();
    let start = sim.now;
    let events = sim.run_granted();
    assert!(events.iter().any(|e| matches!(e, Event::Demoted { .. })), "{events:?}");
    let granted = until_granted(&mut sim, "big");
    let settings = PolicySettings::default();
    assert!(
        granted.since(start) >= settings.guaranteed_lease + settings.clock_error_max,
        "{granted}"
    );
}

// Hubs granted the longer lease until the demotion was applied, seconds after its decision.
#[test]
fn decide_demoted_silent_work_keeps_cells_until_old_lease_end_after_slow_commit() {
    let mut sim = sim_with_scattered_work();
    let applied = commit_until(&mut sim, "a", |attempt| attempt.demoted.is_some());
    let granted = until_granted(&mut sim, "big");
    let settings = PolicySettings::default();
    let free = applied + settings.guaranteed_lease + settings.clock_error_max;
    assert!(granted >= free, "granted at {granted}, free at {free}");
}

#[test]
fn decide_demoted_silent_work_keeps_cells_until_sessions_reach_demotion() {
    let mut sim = sim_with_scattered_work();
    let (settings, settle_time) = (PolicySettings::default(), Duration::from_secs(1));
    let lagging = Delivery { applied: 7, reached: 6, settle_time };
    sim.planner.set_delivery(lagging);
    sim.decide_all();
    sim.advance(settings.guaranteed_lease);
    sim.planner.set_delivery(Delivery { applied: 8, reached: 8, ..lagging });
    let reached = sim.now;
    let granted = until_granted(&mut sim, "big");
    let grace = settings.guaranteed_lease - settings.borrowed_lease;
    assert!(granted >= reached + settle_time + grace + settings.clock_error_max, "{granted}");
}
