//! Bad workers, bad jobs, overuse.

mod common;

use {
    bronzespool_core::{Code, Level},
    bronzespool_schedule::{
        Event, JobOutcome, MemberOutcome, Phase, Settings, StopReason, summary,
    },
    common::{World, instance, job},
    std::time::Duration,
};

/// Runs until nothing is due within a day; jobs end as `outcome` says for their worker.
fn play(world: &mut World, outcome: impl Fn(&str, &str) -> MemberOutcome) {
    let mut left = 2_000;
    loop {
        world.run();
        let running: Vec<(String, String)> = world
            .book
            .jobs()
            .filter_map(|j| {
                let worker = j.attempt().filter(|a| a.stop.is_none())?.cells[0].instance.clone();
                Some((j.spec.job.to_string(), worker.to_string()))
            })
            .collect();
        for (name, worker) in &running {
            world.stop(name, outcome(name, worker));
        }
        let ended = world.book.jobs().all(|j| matches!(j.phase, Phase::Ended { .. }));
        left -= 1;
        if ended || left == 0 {
            return;
        }
        if running.is_empty() {
            world.wake();
        }
    }
}

fn quick() -> Settings {
    Settings { history: Duration::from_secs(1_000_000), ..Settings::default() }
}

#[test]
fn decide_job_failing_everywhere_is_refused() {
    let mut world = World::racks(quick(), &[&[1, 1, 1], &[1, 1, 1]]);
    for i in 0..12 {
        world.put(Event::Submitted(job(&format!("good{i}"), "arima", 1, 1, Level::Region)));
    }
    world.put(Event::Submitted(job("bad", "arima", 1, 1, Level::Region)));
    play(&mut world, |name, _| match name {
        "bad" => MemberOutcome::Failed,
        _ => MemberOutcome::Done,
    });
    let refused = JobOutcome::Refused(Code::JobRefused);
    assert!(matches!(world.phase("bad"), Phase::Ended { outcome, .. } if *outcome == refused));
    assert!(summary(&world.book).quarantined.is_empty());
    let done = Phase::Ended { outcome: JobOutcome::Done, at: world.now };
    let same = |a: &Phase| std::mem::discriminant(a) == std::mem::discriminant(&done);
    assert!((0..12).all(|i| same(world.phase(&format!("good{i}")))));
}

/// Jobs that fail everywhere leave no good worker in quarantine.
#[test]
fn decide_many_bad_jobs_keep_workers_in_service() {
    let mut world = World::racks(quick(), &[&[1, 1], &[1, 1]]);
    for i in 0..8 {
        world.put(Event::Submitted(job(&format!("bad{i}"), "arima", 1, 1, Level::Region)));
    }
    play(&mut world, |_, _| MemberOutcome::Failed);
    let refused = JobOutcome::Refused(Code::JobRefused);
    let is_refused = |j: &bronzespool_schedule::JobState| matches!(j.phase, Phase::Ended { outcome, .. } if outcome == refused);
    assert!(world.book.jobs().all(is_refused));
    assert!(summary(&world.book).quarantined.is_empty());
    let spent = world.now.since(bronzespool_core::Time::ZERO);
    assert!(spent < quick().probation, "a good worker was out of service until its probe");
}

#[test]
fn decide_worker_failing_everything_is_quarantined_and_probed() {
    let mut world = World::racks(quick(), &[&[1, 1, 1], &[1, 1, 1]]);
    for i in 0..40 {
        world.put(Event::Submitted(job(&format!("j{i}"), "arima", 1, 1, Level::Region)));
    }
    play(&mut world, |_, worker| match worker {
        "r0w1" => MemberOutcome::Failed,
        _ => MemberOutcome::Done,
    });
    let quarantined = |e: &&bronzespool_schedule::Record| matches!(&e.event, Event::Quarantined { instance } if instance.as_str() == "r0w1");
    assert!(world.log.iter().any(|r| quarantined(&r)));
    let done = |j: &bronzespool_schedule::JobState| {
        matches!(j.phase, Phase::Ended { outcome: JobOutcome::Done, .. })
    };
    assert!(world.book.jobs().all(done), "a job was lost to the bad worker");
    let failures = world.book.jobs().map(|j| j.failures).max().unwrap();
    assert!(failures <= 2, "{failures}");
    world.advance(quick().probation);
    world.settle();
    world.put(Event::Submitted(job("probe", "arima", 6, 1, Level::Region)));
    world.put(Event::Submitted(job("single", "arima", 1, 1, Level::Region)));
    world.run();
    assert!(world.is_waiting("probe"), "a gang is no probe");
    assert!(world.is_started("single"));
}

#[test]
fn decide_many_bad_workers_keeps_share_in_service() {
    let mut world = World::racks(quick(), &[&[1; 10], &[1; 10]]);
    for i in 0..60 {
        world.put(Event::Submitted(job(&format!("j{i}"), "arima", 1, 1, Level::Region)));
    }
    for _ in 0..40 {
        world.run();
        let names: Vec<String> = world
            .book
            .jobs()
            .filter(|j| j.attempt().is_some())
            .map(|j| j.spec.job.to_string())
            .collect();
        names.iter().for_each(|name| world.stop(name, MemberOutcome::Failed));
        let quarantined = summary(&world.book).quarantined.len();
        assert!(quarantined <= 2, "{quarantined} of 20 workers, a tenth is allowed");
        world.wake();
    }
}

#[test]
fn decide_overuse_throttles_then_stops_and_grows() {
    let mut world = World::racks(quick(), &[&[0, 0]]);
    world.put(Event::Submitted(job("a", "arima", 1, 0, Level::Region)));
    world.run();
    let usage = |world: &World| Event::Usage {
        job: "a".try_into().unwrap(),
        attempt: 1,
        member: 0,
        cores: 5_000,
        memory: 512,
        seen: world.now,
    };
    world.advance(Duration::from_secs(5));
    world.put(usage(&world));
    let events = world.settle();
    assert!(matches!(events[..], [Event::Throttled { .. }]), "{events:?}");
    world.advance(Duration::from_secs(61));
    world.put(usage(&world));
    let events = world.settle();
    let stop = |e: &Event| matches!(e, Event::Stopping { reason: StopReason::Overuse, .. });
    assert!(events.iter().any(stop), "{events:?}");
    world.stop("a", MemberOutcome::Stopped);
    world.run();
    let state = world.book.job(&"a".try_into().unwrap()).unwrap();
    assert_eq!(state.spec.need.cores, 5_000);
    assert!(world.is_started("a"));
}

#[test]
fn apply_stale_usage_is_ignored() {
    let mut world = World::racks(quick(), &[&[0, 0]]);
    world.advance(Duration::from_secs(100));
    world.put(Event::Submitted(job("a", "arima", 1, 0, Level::Region)));
    world.run();
    let seen = world.now - Duration::from_secs(10);
    let job = "a".try_into().unwrap();
    world.put(Event::Usage { job, attempt: 1, member: 0, cores: 8_000, memory: 1, seen });
    assert!(world.settle().is_empty());
    assert_eq!(world.book.grid().slots[0].cores_used, 1_000);
}

#[test]
fn summary_lost_rack_reports_broken_guarantee() {
    let mut world = World::racks(quick(), &[&[4, 4], &[2, 2]]);
    world.guarantees(&[("arima", &["1 x rack"]), ("couva", &["3 x block-2"])]);
    assert!(summary(&world.book).broken.is_empty());
    world.put(Event::WorkerDown { instance: instance("r0w0") });
    world.settle();
    assert!(!summary(&world.book).broken.is_empty());
    let w = &world.book.workers()[&instance("r0w0")];
    let (place, capacity) = (w.place.clone(), w.capacity);
    world.put(Event::WorkerUp { place, capacity, incarnation: 2 });
    assert!(summary(&world.book).broken.is_empty());
}
