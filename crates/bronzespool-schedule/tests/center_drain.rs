//! Drains of data centres: placement, moves and explanations.

mod common;

use {
    bronzespool_core::Level,
    bronzespool_schedule::{
        Event, JobPhase, JobSpec, MemberOutcome, PolicySettings, Record, StatusReason, StopReason,
        admit, explain, policy::drain::drain_records,
    },
    common::{Simulation, job},
    std::time::Duration,
};

/// One worker of four accelerators in each of two data centres.
fn sim() -> Simulation {
    let mut sim = Simulation::new(PolicySettings::default());
    sim.add_worker_in("couva", "c1", "r1", 4);
    sim.add_worker_in("arima", "a1", "r2", 4);
    sim
}

fn drain(sim: &mut Simulation, centers: &[&str]) {
    let centers = centers.iter().map(|&name| name.try_into().unwrap()).collect();
    sim.state.set_drained_centers(centers);
}

fn submit(sim: &mut Simulation, spec: JobSpec) {
    sim.record(Event::Submitted(spec));
    sim.run_granted();
}

fn saved(name: &str) -> JobSpec {
    let checkpoint = Some(Duration::from_secs(60));
    job(name, "arima", 1, 4, Level::Region).checkpoint_interval(checkpoint)
}

fn worker_of(sim: &Simulation, name: &str) -> String {
    let attempt = sim.state.job(&name.try_into().unwrap()).unwrap().attempt();
    attempt.map_or_else(String::new, |a| a.cells[0].instance.to_string())
}

fn reason(sim: &Simulation, name: &str) -> StatusReason {
    explain(&sim.state, &name.try_into().unwrap(), sim.now).unwrap().reason
}

/// Guards against work that is placed in a drained data centre, and against a restore that brings
/// no capacity back.
#[test]
fn decide_places_elsewhere_until_restore() {
    let mut sim = sim();
    drain(&mut sim, &["couva"]);
    submit(&mut sim, saved("a"));
    submit(&mut sim, saved("b"));
    assert_eq!(worker_of(&sim, "a"), "a1");
    assert!(sim.is_waiting("b"));
    assert_eq!(reason(&sim, "b"), StatusReason::CentersDrained("couva".to_owned()));
    drain(&mut sim, &[]);
    sim.run_granted();
    assert_eq!(worker_of(&sim, "b"), "c1");
    submit(&mut sim, saved("c"));
    drain(&mut sim, &["couva"]);
    assert_eq!(reason(&sim, "c"), StatusReason::NoFreeCells, "the drain changes nothing for it");
}

/// Guards against work with checkpoints that stays, and against other work that is stopped.
#[test]
fn drain_records_move_only_work_with_checkpoints() {
    let mut sim = sim();
    submit(&mut sim, saved("a"));
    submit(&mut sim, job("b", "arima", 1, 4, Level::Region));
    drain(&mut sim, &["couva", "arima"]);
    let records = drain_records(&sim.state, sim.now);
    let [Record { event: Event::Stopping { job, reason, .. }, .. }] = records.as_slice() else {
        panic!("{records:?}");
    };
    assert_eq!((job.as_str(), *reason), ("a", StopReason::Move));
    let stopping = records[0].event.clone();
    sim.record(stopping);
    sim.stop("a", MemberOutcome::Stopped);
    sim.run_granted();
    assert!(sim.is_waiting("a") && sim.is_started("b"));
}

/// Guards against a gang that was only preparing when the data centre was drained and starts there
/// all the same, also by a record that was decided before.
#[test]
fn apply_start_and_grant_decided_before_drain_are_refused() {
    let mut sim = sim();
    sim.record(Event::Submitted(job("a", "arima", 1, 4, Level::Region)));
    let grant = sim.planner.decide(&sim.state, sim.now).remove(0);
    let mut late = sim.state.clone();
    sim.state.apply(&grant).unwrap();
    let worker = worker_of(&sim, "a");
    let center = if worker == "c1" { "couva" } else { "arima" };
    late.set_drained_centers([center.try_into().unwrap()].into());
    assert!(late.apply(&grant).is_err());

    let job = || "a".try_into().unwrap();
    sim.record(Event::Prepared { job: job(), attempt: 1, member: 0 });
    drain(&mut sim, &[center]);
    let start = Record::new(sim.now, Event::Started { job: job(), attempt: 1 });
    assert!(sim.state.apply(&start).is_err());
    sim.run_granted();
    assert!(sim.is_started("a"), "{:?}", sim.phase("a"));
    assert_ne!(worker_of(&sim, "a"), worker);
}

/// Guards against a guarantee that is not met from the other data centres.
#[test]
fn decide_meets_guarantee_from_other_center() {
    let mut sim = sim();
    sim.guarantees(&[("arima", &["1 x worker"])]);
    drain(&mut sim, &["couva"]);
    submit(&mut sim, job("guest", "couva", 1, 4, Level::Region));
    assert_eq!(worker_of(&sim, "guest"), "a1");
    sim.record(Event::Submitted(job("own", "arima", 1, 4, Level::Region).restartable(false)));
    sim.decide_all();
    assert!(matches!(sim.phase("own"), JobPhase::Reserved { .. }), "{:?}", sim.phase("own"));
    sim.stop("guest", MemberOutcome::Stopped);
    sim.run_granted();
    assert_eq!(worker_of(&sim, "own"), "a1");
}

/// Guards against jobs that are refused or lost while all data centres are drained.
#[test]
fn decide_all_centers_drained_jobs_wait() {
    let mut sim = sim();
    sim.guarantees(&[("arima", &["1 x worker"])]);
    drain(&mut sim, &["arima", "couva"]);
    let fixed = job("a", "arima", 1, 4, Level::Region).restartable(false);
    assert!(admit(&sim.state, &fixed).is_ok());
    submit(&mut sim, fixed);
    assert!(sim.is_waiting("a"));
    assert_eq!(reason(&sim, "a"), StatusReason::CentersDrained("arima, couva".to_owned()));
    drain(&mut sim, &["arima"]);
    sim.run_granted();
    assert_eq!(worker_of(&sim, "a"), "c1");
}
