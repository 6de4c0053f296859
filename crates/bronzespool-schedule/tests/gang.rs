//! Gangs: prepare, go, loss of a member, restart from the last checkpoint.

mod common;

use {
    bronzespool_core::Level,
    bronzespool_schedule::{Event, JobOutcome, MemberOutcome, Phase, Settings, StopReason},
    common::{World, instance, job},
    std::time::Duration,
};

fn world() -> World {
    World::racks(Settings::default(), &[&[4, 4], &[4, 4]])
}

#[test]
fn decide_unprepared_member_keeps_gang_from_start() {
    let mut world = world();
    world.put(Event::Submitted(job("a", "arima", 4, 4, Level::Region)));
    world.settle();
    for member in 0..3 {
        world.put(Event::Prepared { job: "a".try_into().unwrap(), attempt: 1, member });
        world.settle();
    }
    assert!(!world.is_started("a"));
    world.advance(Settings::default().prepare);
    let events = world.settle();
    let stop = |e: &Event| matches!(e, Event::Stopping { reason: StopReason::Prepare, .. });
    assert!(events.iter().any(stop));
    assert!(world.is_waiting("a"));
    assert!(world.book.grid().slots.iter().all(|slot| slot.used == 0));
}

#[test]
fn decide_lost_member_ends_rest_within_lease() {
    let mut world = world();
    world.put(Event::Submitted(job("a", "arima", 4, 4, Level::Region)));
    world.run();
    let start = world.now;
    world.put(Event::WorkerDown { instance: instance("r0w0") });
    world.settle();
    let settings = Settings::default();
    while !world.is_waiting("a") {
        world.wake();
        world.settle();
    }
    assert!(world.now.since(start) <= settings.lease + settings.clock_bound);
}

#[test]
fn decide_restart_keeps_last_checkpoint() {
    let mut world = world();
    let spec = job("a", "arima", 2, 4, Level::Rack).checkpoint(Some(Duration::from_secs(60)));
    world.put(Event::Submitted(spec));
    world.run();
    world.advance(Duration::from_secs(100));
    world.put(Event::Checkpointed { job: "a".try_into().unwrap(), attempt: 1 });
    world.advance(Duration::from_secs(40));
    world.stop("a", MemberOutcome::Lost);
    world.settle();
    let state = world.book.job(&"a".try_into().unwrap()).unwrap();
    assert_eq!(state.saved, Duration::from_secs(100));
    assert_eq!(state.lost, Duration::from_secs(40));
    assert!(world.is_waiting("a"));
}

#[test]
fn decide_protected_lost_is_never_started_again() {
    let mut world = world();
    world.guarantees(&[("arima", &["1 x worker"])]);
    world.put(Event::Submitted(job("a", "arima", 1, 4, Level::Region).protected(true)));
    world.run();
    world.put(Event::WorkerDown { instance: instance("r0w0") });
    world.settle();
    while matches!(world.phase("a"), Phase::Active(_)) {
        world.wake();
        world.settle();
    }
    assert!(matches!(world.phase("a"), Phase::Ended { outcome: JobOutcome::Unknown, .. }));
}

#[test]
fn decide_adjacent_members_share_a_rack() {
    let mut world = World::racks(Settings::default(), &[&[4], &[4, 4]]);
    world.put(Event::Submitted(job("a", "arima", 2, 4, Level::Rack)));
    world.run();
    let Phase::Active(attempt) = world.phase("a") else { panic!("not granted") };
    assert!(attempt.cells.iter().all(|cell| cell.instance.as_str().starts_with("r1")));
}

#[test]
fn apply_cancelled_wave_is_one_record() {
    let mut world = world();
    let names: Vec<String> = (0..500).map(|i| format!("a{i}")).collect();
    for name in &names {
        world.put(Event::Submitted(job(name, "arima", 1, 1, Level::Region)));
    }
    world.run();
    let jobs = names.iter().map(|n| n.as_str().try_into().unwrap()).collect();
    world.put(Event::Cancelled { jobs });
    let stops = world.planner.decide(&world.book, world.now);
    assert_eq!(stops.len(), 16, "one stop for each running job, in one pass");
    world.settle();
    world.wake();
    world.settle();
    assert!(world.book.jobs().all(|job| matches!(job.phase, Phase::Ended { .. })));
}
