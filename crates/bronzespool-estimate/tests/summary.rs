//! Summaries: size, restoring, and a new leader in the middle of a load.

mod common;

use {
    bronzespool_core::Time,
    bronzespool_estimate::{Kind, Model, Sample, StepKey, Summary},
    common::{Load, Simulation, instance, kind, sample},
    std::time::Duration,
};

/// Bytes that a summary may take at 890 workers.
const BYTES_MAX: usize = 16_384;

fn bytes(summary: &Summary) -> usize {
    postcard::to_stdvec(summary).unwrap().len()
}

/// Guards against a summary that grows beyond what a log record should take.
#[test]
fn summary_all_workers_uneven_all_kinds_within_bound() {
    let mut model = Model::new();
    for step in 0..890 * 4 {
        for run in 0..4 {
            let worker = (step * 7 + run * 223) as usize % 890;
            let speed = [0.7, 1.0, 1.7][worker % 3];
            let mut sample = sample(step, run, worker, 2.0, 3.0 / speed);
            sample.kind = Kind { queue: format!("queue-{}", step % 512).into(), image: None };
            model.record(sample);
        }
    }
    model.refit(Time::ZERO);
    let stats = model.stats();
    assert_eq!((stats.workers, stats.kinds), (890, 512));
    assert!(stats.atypical > 500, "{stats:?}");
    let bytes = bytes(&model.summary());
    assert!(bytes <= BYTES_MAX, "{bytes} bytes");
}

/// Guards against summaries that are written though nothing was learned.
#[test]
fn summary_equal_workers_names_no_worker() {
    let mut sim = Simulation::new(Load::new(vec![1.0; 64]), 1);
    sim.play(30);
    let before = sim.model.summary();
    assert!(bytes(&before) < 64, "{before:?}");
    sim.play(1);
    assert!(before.is_near(&sim.model.summary()));
}

/// Guards against a restored model that has forgotten speeds or kinds.
#[test]
fn restore_answers_as_before() {
    let mut sim = uneven(2);
    sim.play(30);
    let summary = sim.model.summary();
    let encoded = postcard::to_stdvec(&summary).unwrap();
    let decoded: Summary = postcard::from_bytes(&encoded).unwrap();
    assert_eq!(summary, decoded);
    let restored = Model::restore(&decoded);
    let (before, after) = (sim.model.estimates(), restored.estimates());
    for worker in 0..64 {
        let [a, b] = [&before, &after].map(|e| e.speed(&instance(worker)).factor);
        assert!((a / b - 1.0).abs() < 0.02, "worker {worker}: {a} and {b}");
    }
    for secs in [1, 3, 9] {
        let declared = Duration::from_secs(secs);
        let work = |e: &bronzespool_estimate::Estimates| e.work(&kind("checks"), None, declared);
        let ratio = work(&before).expected.as_secs_f64() / work(&after).expected.as_secs_f64();
        assert!((ratio - 1.0).abs() < 0.05, "declared {secs} s: {ratio}");
    }
    assert!(restored.summary().is_near(&summary), "a second leader in a row");
}

fn uneven(seed: u64) -> Simulation {
    Simulation::new(Load::new((0..64).map(|w| [0.7, 0.7, 1.7][w % 3]).collect()), seed)
}

fn error(sim: &Simulation) -> f64 {
    (0..64).map(|w| sim.speed_error(w, 0.7).abs()).sum::<f64>() / 64.0
}

/// Guards against a new leader that starts from nothing, or that is held back by the summary.
#[test]
fn restore_new_leader_keeps_speeds() {
    for seed in 0..3 {
        let mut sim = uneven(seed);
        sim.play(40);
        let before = error(&sim);
        sim.model = Model::restore(&sim.model.summary());
        for second in 0..10 {
            sim.play(1);
            let after = error(&sim);
            assert!(after < before + 0.025, "seed {seed}, {second} s: {before} to {after}");
        }
    }
}

/// Guards against restored speeds that outlive a change of the workers.
#[test]
fn restore_wrong_summary_is_corrected() {
    let mut sim = uneven(1);
    sim.play(40);
    let model = Model::restore(&sim.model.summary());
    let mut sim = Simulation::new(Load::new(vec![1.0; 64]), 2);
    sim.model = model;
    sim.play(30);
    let claimed = sim.claimed();
    assert!(claimed <= 2, "{claimed} workers still have a speed of the summary");
}

/// Guards against a panic or a senseless figure from a damaged summary.
#[test]
fn restore_any_bytes_gives_sane_estimates() {
    arbtest::arbtest(|u| {
        let bytes: Vec<u8> = u.arbitrary()?;
        let Ok(summary) = postcard::from_bytes::<Summary>(&bytes) else { return Ok(()) };
        let mut model = Model::restore(&summary);
        model.record(Sample { complete: false, ..sample(1, 1, 1, 2.0, 3.0) });
        model.refit(Time::ZERO);
        let work =
            model.estimates().work(&kind("checks"), Some(StepKey(1)), Duration::from_secs(1));
        assert!(work.high >= work.expected);
        assert!(model.estimates().speed(&instance(1)).factor.is_finite());
        Ok(())
    });
}
