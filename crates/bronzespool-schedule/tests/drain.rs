//! Moves of work away from draining workers.

mod common;

use {
    bronzespool_core::{Level, Time},
    bronzespool_schedule::{
        Event, PolicySettings, Record, StopReason, policy::drain::drain_records,
    },
    common::{Simulation, instance, job},
    std::time::Duration,
};

/// Settings with a lease on a team's own guarantee that is much longer than one on borrowed cells.
fn settings() -> PolicySettings {
    PolicySettings { guaranteed_lease: Duration::from_secs(300), ..PolicySettings::default() }
}

/// A running job with checkpoints on the guarantee of its team.
fn sim() -> Simulation {
    let mut sim = Simulation::racks(settings(), &[&[4]]);
    sim.guarantees(&[("arima", &["1 x worker"])]);
    let spec = job("a", "arima", 1, 4, Level::Region);
    sim.record(Event::Submitted(spec.checkpoint_interval(Some(Duration::from_secs(60)))));
    sim.run_granted();
    assert!(sim.is_started("a") && !sim.is_borrowed("a"));
    sim
}

fn drain(sim: &mut Simulation) -> Vec<Record> {
    sim.record(Event::DrainingChanged { instance: instance("r0w0"), draining: true });
    drain_records(&sim.state, sim.now)
}

fn stop_deadline(records: &[Record]) -> Time {
    match records {
        [Record { event: Event::Stopping { reason: StopReason::Move, deadline, .. }, .. }] => {
            *deadline
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn drain_records_moves_work_within_its_lease() {
    let mut sim = sim();
    let records = drain(&mut sim);
    let settings = settings();
    let lease = settings.grace + settings.guaranteed_lease + settings.clock_error_max;
    assert_eq!(stop_deadline(&records), sim.now + lease);
}

/// Members of work that was made borrowed may still run under the longer lease from before, so the
/// cells are not free before that lease has ended.
#[test]
fn drain_records_demoted_work_waits_for_old_lease() {
    let mut sim = sim();
    sim.record(Event::Demoted { jobs: vec!["a".try_into().unwrap()] });
    let demoted = sim.now;
    let records = drain(&mut sim);
    let settings = settings();
    let lease = settings.guaranteed_lease + settings.clock_error_max;
    assert!(stop_deadline(&records) >= demoted + lease, "{records:?}");
}

// Work on a draining worker was placed elsewhere while it could still run there, since hubs granted
// leases during the slow commit of its stop.
#[test]
fn drain_records_work_is_placed_after_its_lease_after_slow_commit() {
    let mut sim = sim();
    let grace = settings().grace;
    let records = drain(&mut sim);
    let deadline = stop_deadline(&records);
    // The commit takes longer than the grace.
    sim.advance(grace);
    sim.commit_slowly(records);
    let applied = sim.now;
    sim.decide_all();
    while !sim.is_waiting("a") {
        sim.advance_to_wake();
        sim.decide_all();
    }
    assert!(sim.now > deadline, "{}", sim.now);
    assert_eq!(sim.now, applied + settings().guaranteed_lease + settings().clock_error_max);
}

#[test]
fn drain_records_leaves_work_without_checkpoints() {
    let mut sim = Simulation::racks(settings(), &[&[4]]);
    sim.guarantees(&[("arima", &["1 x worker"])]);
    sim.record(Event::Submitted(job("a", "arima", 1, 4, Level::Region)));
    sim.run_granted();
    assert!(drain(&mut sim).is_empty());
}
