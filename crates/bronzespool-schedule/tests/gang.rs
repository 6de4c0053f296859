//! Gangs: prepare, start, loss of a member, restart from the last checkpoint.

mod common;

use {
    bronzespool_core::Level,
    bronzespool_schedule::{
        Event, JobOutcome, JobPhase, MemberOutcome, PolicySettings, StopReason,
    },
    common::{Simulation, instance, job},
    std::time::Duration,
};

fn sim() -> Simulation {
    Simulation::racks(PolicySettings::default(), &[&[4, 4], &[4, 4]])
}

#[test]
fn decide_unprepared_member_keeps_gang_from_start() {
    let mut sim = sim();
    sim.record(Event::Submitted(job("a", "arima", 4, 4, Level::Region)));
    sim.decide_all();
    for member in 0..3 {
        sim.record(Event::Prepared { job: "a".try_into().unwrap(), attempt: 1, member });
        sim.decide_all();
    }
    assert!(!sim.is_started("a"));
    sim.advance(PolicySettings::default().prepare_timeout);
    let events = sim.decide_all();
    let stop = |e: &Event| matches!(e, Event::Stopping { reason: StopReason::Prepare, .. });
    assert!(events.iter().any(stop));
    assert!(sim.is_waiting("a"));
    assert!(sim.state.occupancy().slots.iter().all(|slot| slot.used == 0));
}

#[test]
fn decide_lost_member_ends_rest_within_lease() {
    let mut sim = sim();
    sim.record(Event::Submitted(job("a", "arima", 4, 4, Level::Region)));
    sim.run_granted();
    let start = sim.now;
    sim.record(Event::WorkerDown { instance: instance("r0w0") });
    sim.decide_all();
    let settings = PolicySettings::default();
    while !sim.is_waiting("a") {
        sim.advance_to_wake();
        sim.decide_all();
    }
    assert!(sim.now.since(start) <= settings.borrowed_lease + settings.clock_error_max);
}

// The gang was started anew while a member of its former attempt could still run: hubs renewed that
// member's session during the slow commit of its stop.
#[test]
fn decide_lost_member_waits_for_leases_of_rest_after_slow_commit() {
    let mut sim = sim();
    sim.record(Event::Submitted(job("a", "arima", 4, 4, Level::Region)));
    sim.run_granted();
    sim.record(Event::WorkerDown { instance: instance("r0w0") });
    let records = sim.planner.decide(&sim.state, sim.now);
    sim.commit_slowly(records);
    let applied = sim.now;
    sim.decide_all();
    let settings = PolicySettings::default();
    while !sim.is_waiting("a") {
        sim.advance_to_wake();
        sim.decide_all();
    }
    assert_eq!(sim.now, applied + settings.borrowed_lease + settings.clock_error_max);
}

#[test]
fn decide_restart_keeps_last_checkpoint() {
    let mut sim = sim();
    let spec =
        job("a", "arima", 2, 4, Level::Rack).checkpoint_interval(Some(Duration::from_secs(60)));
    sim.record(Event::Submitted(spec));
    sim.run_granted();
    sim.advance(Duration::from_secs(100));
    sim.record(Event::Checkpointed { job: "a".try_into().unwrap(), attempt: 1 });
    sim.advance(Duration::from_secs(40));
    sim.stop("a", MemberOutcome::Lost);
    sim.decide_all();
    let state = sim.state.job(&"a".try_into().unwrap()).unwrap();
    assert_eq!(state.saved_progress, Duration::from_secs(100));
    assert_eq!(state.lost_runtime, Duration::from_secs(40));
    assert!(sim.is_waiting("a"));
}

#[test]
fn decide_protected_lost_is_never_started_again() {
    let mut sim = sim();
    sim.guarantees(&[("arima", &["1 x worker"])]);
    sim.record(Event::Submitted(job("a", "arima", 1, 4, Level::Region).protected(true)));
    sim.run_granted();
    sim.record(Event::WorkerDown { instance: instance("r0w0") });
    sim.decide_all();
    while matches!(sim.phase("a"), JobPhase::Active(_)) {
        sim.advance_to_wake();
        sim.decide_all();
    }
    assert!(matches!(sim.phase("a"), JobPhase::Ended { outcome: JobOutcome::Unknown, .. }));
}

#[test]
fn decide_adjacent_members_share_a_rack() {
    let mut sim = Simulation::racks(PolicySettings::default(), &[&[4], &[4, 4]]);
    sim.record(Event::Submitted(job("a", "arima", 2, 4, Level::Rack)));
    sim.run_granted();
    let JobPhase::Active(attempt) = sim.phase("a") else { panic!("not granted") };
    assert!(attempt.cells.iter().all(|cell| cell.instance.as_str().starts_with("r1")));
}

#[test]
fn apply_many_cancelled_jobs_is_one_record() {
    let mut sim = sim();
    let names: Vec<String> = (0..500).map(|i| format!("a{i}")).collect();
    for name in &names {
        sim.record(Event::Submitted(job(name, "arima", 1, 1, Level::Region)));
    }
    sim.run_granted();
    let jobs = names.iter().map(|n| n.as_str().try_into().unwrap()).collect();
    sim.record(Event::Cancelled { jobs });
    let stops = sim.planner.decide(&sim.state, sim.now);
    assert_eq!(stops.len(), 16, "one stop for each running job, in one pass");
    sim.decide_all();
    sim.advance_to_wake();
    sim.decide_all();
    assert!(sim.state.jobs().all(|job| matches!(job.phase, JobPhase::Ended { .. })));
}
