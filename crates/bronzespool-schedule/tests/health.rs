//! Faulty workers, faulty jobs, overuse.

mod common;

use {
    bronzespool_core::{Code, Level},
    bronzespool_schedule::{
        Event, JobOutcome, JobPhase, MemberOutcome, PolicySettings, StopReason, summarize,
    },
    common::{Simulation, instance, job},
    std::time::Duration,
};

/// Runs until all jobs have ended, for at most 2,000 rounds. Running jobs end in each round with
/// the outcome that `outcome` gives for the job and its worker.
fn run_to_end(sim: &mut Simulation, outcome: impl Fn(&str, &str) -> MemberOutcome) {
    let mut left = 2_000;
    loop {
        sim.run_granted();
        let running: Vec<(String, String)> = sim
            .state
            .jobs()
            .filter_map(|j| {
                let worker = j.attempt().filter(|a| a.stop.is_none())?.cells[0].instance.clone();
                Some((j.spec.job.to_string(), worker.to_string()))
            })
            .collect();
        for (name, worker) in &running {
            sim.stop(name, outcome(name, worker));
        }
        let ended = sim.state.jobs().all(|j| matches!(j.phase, JobPhase::Ended { .. }));
        left -= 1;
        if ended || left == 0 {
            return;
        }
        if running.is_empty() {
            sim.advance_to_wake();
        }
    }
}

fn long_retention() -> PolicySettings {
    PolicySettings { retention: Duration::from_secs(1_000_000), ..PolicySettings::default() }
}

#[test]
fn decide_job_failing_everywhere_is_refused() {
    let mut sim = Simulation::racks(long_retention(), &[&[1, 1, 1], &[1, 1, 1]]);
    for i in 0..12 {
        sim.record(Event::Submitted(job(&format!("good{i}"), "arima", 1, 1, Level::Region)));
    }
    sim.record(Event::Submitted(job("bad", "arima", 1, 1, Level::Region)));
    run_to_end(&mut sim, |name, _| match name {
        "bad" => MemberOutcome::Failed,
        _ => MemberOutcome::Done,
    });
    let refused = JobOutcome::Refused(Code::JobRefused);
    assert!(matches!(sim.phase("bad"), JobPhase::Ended { outcome, .. } if *outcome == refused));
    assert!(summarize(&sim.state).quarantined.is_empty());
    let done = JobPhase::Ended { outcome: JobOutcome::Done, at: sim.now };
    let same = |a: &JobPhase| std::mem::discriminant(a) == std::mem::discriminant(&done);
    assert!((0..12).all(|i| same(sim.phase(&format!("good{i}")))));
}

/// Jobs that fail on every worker must not put healthy workers in quarantine.
#[test]
fn decide_many_bad_jobs_keep_workers_in_service() {
    let mut sim = Simulation::racks(long_retention(), &[&[1, 1], &[1, 1]]);
    for i in 0..8 {
        sim.record(Event::Submitted(job(&format!("bad{i}"), "arima", 1, 1, Level::Region)));
    }
    run_to_end(&mut sim, |_, _| MemberOutcome::Failed);
    let refused = JobOutcome::Refused(Code::JobRefused);
    let is_refused = |j: &bronzespool_schedule::JobState| matches!(j.phase, JobPhase::Ended { outcome, .. } if outcome == refused);
    assert!(sim.state.jobs().all(is_refused));
    assert!(summarize(&sim.state).quarantined.is_empty());
    let spent = sim.now.since(bronzespool_core::Time::ZERO);
    assert!(
        spent < long_retention().probe_delay,
        "a healthy worker was in quarantine until its probe"
    );
}

#[test]
fn decide_worker_failing_everything_is_quarantined_and_probed() {
    let mut sim = Simulation::racks(long_retention(), &[&[1, 1, 1], &[1, 1, 1]]);
    for i in 0..40 {
        sim.record(Event::Submitted(job(&format!("j{i}"), "arima", 1, 1, Level::Region)));
    }
    run_to_end(&mut sim, |_, worker| match worker {
        "r0w1" => MemberOutcome::Failed,
        _ => MemberOutcome::Done,
    });
    let quarantined = |e: &&bronzespool_schedule::Record| matches!(&e.event, Event::Quarantined { instance } if instance.as_str() == "r0w1");
    assert!(sim.log.iter().any(|r| quarantined(&r)));
    let done = |j: &bronzespool_schedule::JobState| {
        matches!(j.phase, JobPhase::Ended { outcome: JobOutcome::Done, .. })
    };
    assert!(sim.state.jobs().all(done), "a job failed because of the faulty worker");
    let failures = sim.state.jobs().map(|j| j.failures).max().unwrap();
    assert!(failures <= 2, "{failures}");
    sim.advance(long_retention().probe_delay);
    sim.decide_all();
    sim.record(Event::Submitted(job("probe", "arima", 6, 1, Level::Region)));
    sim.record(Event::Submitted(job("single", "arima", 1, 1, Level::Region)));
    sim.run_granted();
    assert!(sim.is_waiting("probe"), "a gang must not be a probe");
    assert!(sim.is_started("single"));
}

#[test]
fn decide_many_bad_workers_keeps_share_in_service() {
    let mut sim = Simulation::racks(long_retention(), &[&[1; 10], &[1; 10]]);
    for i in 0..60 {
        sim.record(Event::Submitted(job(&format!("j{i}"), "arima", 1, 1, Level::Region)));
    }
    for _ in 0..40 {
        sim.run_granted();
        let names: Vec<String> = sim
            .state
            .jobs()
            .filter(|j| j.attempt().is_some())
            .map(|j| j.spec.job.to_string())
            .collect();
        names.iter().for_each(|name| sim.stop(name, MemberOutcome::Failed));
        let quarantined = summarize(&sim.state).quarantined.len();
        assert!(quarantined <= 2, "{quarantined} of 20 workers, a tenth is allowed");
        sim.advance_to_wake();
    }
}

#[test]
fn decide_overuse_throttles_then_stops_and_grows() {
    let mut sim = Simulation::racks(long_retention(), &[&[0, 0]]);
    sim.record(Event::Submitted(job("a", "arima", 1, 0, Level::Region)));
    sim.run_granted();
    let usage = |sim: &Simulation| Event::Usage {
        job: "a".try_into().unwrap(),
        attempt: 1,
        member: 0,
        cores: 5_000,
        memory: 512,
        seen: sim.now,
    };
    sim.advance(Duration::from_secs(5));
    sim.record(usage(&sim));
    let events = sim.decide_all();
    assert!(matches!(events[..], [Event::Throttled { .. }]), "{events:?}");
    sim.advance(Duration::from_secs(61));
    sim.record(usage(&sim));
    let events = sim.decide_all();
    let stop = |e: &Event| matches!(e, Event::Stopping { reason: StopReason::Overuse, .. });
    assert!(events.iter().any(stop), "{events:?}");
    sim.stop("a", MemberOutcome::Stopped);
    sim.run_granted();
    let state = sim.state.job(&"a".try_into().unwrap()).unwrap();
    assert_eq!(state.spec.need.cores, 5_000);
    assert!(sim.is_started("a"));
}

#[test]
fn apply_stale_usage_is_ignored() {
    let mut sim = Simulation::racks(long_retention(), &[&[0, 0]]);
    sim.advance(Duration::from_secs(100));
    sim.record(Event::Submitted(job("a", "arima", 1, 0, Level::Region)));
    sim.run_granted();
    let seen = sim.now - Duration::from_secs(10);
    let job = "a".try_into().unwrap();
    sim.record(Event::Usage { job, attempt: 1, member: 0, cores: 8_000, memory: 1, seen });
    assert!(sim.decide_all().is_empty());
    assert_eq!(sim.state.occupancy().slots[0].cores_used, 1_000);
}

#[test]
fn summarize_lost_rack_reports_broken_guarantee() {
    let mut sim = Simulation::racks(long_retention(), &[&[4, 4], &[2, 2]]);
    sim.guarantees(&[("arima", &["1 x rack"]), ("couva", &["3 x block-2"])]);
    assert!(summarize(&sim.state).broken.is_empty());
    sim.record(Event::WorkerDown { instance: instance("r0w0") });
    sim.decide_all();
    assert!(!summarize(&sim.state).broken.is_empty());
    let w = &sim.state.workers()[&instance("r0w0")];
    let (place, capacity) = (w.place.clone(), w.capacity);
    sim.record(Event::WorkerUp { place, capacity, incarnation: 2 });
    assert!(summarize(&sim.state).broken.is_empty());
}
