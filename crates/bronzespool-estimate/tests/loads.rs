//! Replays of loads with noisy progress, wrong declarations and heavy tails.

mod common;

use {
    bronzespool_core::Time,
    bronzespool_estimate::{Kind, StepKey},
    common::{Load, Simulation, instance, kind, sample},
    std::time::Duration,
};

const SEEDS: std::ops::Range<u64> = 0..3;

/// Mean absolute logarithm of the reported speeds divided by the true ones.
fn speed_error(sim: &Simulation, typical: f64) -> f64 {
    let count = sim.load.speeds.len();
    (0..count).map(|w| sim.speed_error(w, typical).abs()).sum::<f64>() / count as f64
}

/// Mean absolute logarithms of the learned and the declared work of the latest steps divided by
/// the true one on a typical worker.
fn work_errors(sim: &Simulation, typical: f64) -> [f64; 2] {
    let estimates = sim.model.estimates();
    let latest = &sim.steps[sim.steps.len().saturating_sub(60)..];
    let mut sums = [0.0; 2];
    for (step, declared, work) in latest {
        let learned = estimates.work(&kind("checks"), Some(*step), *declared).expected;
        for (sum, duration) in sums.iter_mut().zip([learned, *declared]) {
            *sum += (duration.as_secs_f64() / (work / typical)).ln().abs();
        }
    }
    sums.map(|sum| sum / latest.len() as f64)
}

fn uneven(mixed: bool, seed: u64) -> Simulation {
    let mut load = Load::new((0..64).map(|w| [0.7, 0.7, 1.7][w % 3]).collect());
    load.centers = (0..64).map(|w| if mixed { w / 22 } else { w % 3 }).collect();
    Simulation::new(load, seed)
}

/// Guards against a model that needs minutes: half of the difference is known after 10 s, when
/// most workers have completed one or two rounds of tasks.
#[test]
fn speeds_uneven_workers_known_early() {
    let unknown = (1.7_f64 / 0.7).ln() / 3.0;
    for (mixed, seed) in SEEDS.flat_map(|s| [(false, s), (true, s)]) {
        let mut sim = uneven(mixed, seed);
        sim.play(10);
        let early = speed_error(&sim, 0.7);
        assert!(early < unknown * 0.6, "mixed {mixed}, seed {seed}: {early} after 10 s");
        sim.play(30);
        let later = speed_error(&sim, 0.7);
        assert!(later < unknown * 0.45, "mixed {mixed}, seed {seed}: {later} after 40 s");
        let [learned, declared] = work_errors(&sim, 0.7);
        assert!(learned < declared * 0.4, "mixed {mixed}, seed {seed}: {learned} of {declared}");
    }
}

/// Guards against workers of a fast data centre that start as typical, and against a data centre
/// that speaks for a worker which is not like it.
#[test]
fn speeds_new_worker_takes_after_its_center() {
    let mut load = Load::new((0..64).map(|w| [0.7, 0.7, 1.7][w % 3]).collect());
    load.centers = (0..64).map(|w| w % 3).collect();
    load.speeds[2] = 0.7;
    let mut sim = Simulation::new(load, 1);
    sim.play(60);
    let center = bronzespool_core::Center::try_from("center-2").unwrap();
    sim.model.set_center(&instance(99), &center);
    sim.model.refit(sim.now);
    let factor = |w: usize| sim.model.estimates().speed(&instance(w)).factor;
    assert!((2.0..=2.9).contains(&factor(99)), "a new worker: {}", factor(99));
    assert!(factor(2) < 1.4, "a slow worker of the fast data centre: {}", factor(2));
}

/// Guards against noise that is reported as speed: at most one claim in a thousand seconds of a
/// worker.
#[test]
fn speeds_equal_workers_nothing_is_claimed() {
    for workers in [11, 64] {
        let (mut claimed, mut seen) = (0, 0);
        for seed in SEEDS {
            let mut load = Load::new(vec![1.0; workers]);
            load.centers = (0..workers).map(|w| w % 3).collect();
            let mut sim = Simulation::new(load, seed);
            for _ in 0..60 {
                sim.play(1);
                claimed += sim.claimed();
                seen += workers;
            }
        }
        assert!(claimed * 1_000 <= seen, "{claimed} of {seen} with {workers} workers");
    }
}

/// Guards against a tail that moves the expectation: 3 % of the tasks take seven times as long, and
/// of those in progress about 18 % do.
#[test]
fn work_heavy_tail_hardly_moves_the_expectation() {
    for seed in SEEDS {
        let mut load = Load::new(vec![1.0; 64]);
        load.misdeclared = 0.0;
        let mut sim = Simulation::new(load, seed);
        sim.play(90);
        for secs in [2.0, 5.0, 10.0] {
            let declared = Duration::from_secs_f64(secs);
            let work = sim.model.estimates().work(&kind("checks"), None, declared);
            let ratio = work.expected.as_secs_f64() / secs;
            assert!((0.88..=1.15).contains(&ratio), "seed {seed}, declared {secs} s: {ratio}");
        }
    }
}

/// Guards against a high quantile that leaves the tail out once it holds more than a tenth of the
/// tasks.
#[test]
fn work_high_quantile_covers_the_tail() {
    let mut model = bronzespool_estimate::Model::new();
    for step in 0..60_u64 {
        for run in 0..6 {
            let secs = if (step * 6 + run) % 6 == 0 { 28.0 } else { 4.0 };
            model.record(sample(step, run, (step + run * 7) as usize % 40, 4.0, secs));
        }
        model.refit(Time::from_secs(step));
    }
    let work = model.estimates().work(&kind("checks"), Some(StepKey(59)), Duration::from_secs(4));
    assert!(work.expected < Duration::from_secs(5), "{work:?}");
    assert!(work.high > Duration::from_secs(20), "{work:?}");
}

/// Guards against declarations that are corrected although they are right.
#[test]
fn work_true_declarations_stay() {
    let mut load = Load::new(vec![1.0; 64]);
    (load.misdeclared, load.tail) = (0.0, 0.0);
    let mut sim = Simulation::new(load, 1);
    sim.play(60);
    for secs in [2.0, 5.0, 10.0] {
        let declared = Duration::from_secs_f64(secs);
        let work = sim.model.estimates().work(&kind("checks"), None, declared);
        let ratio = work.expected.as_secs_f64() / secs;
        assert!((0.9..=1.1).contains(&ratio), "declared {secs} s: {ratio}");
    }
}

/// Guards against a regression that keeps trusting declarations which say nothing about the work.
#[test]
fn work_meaningless_declarations_lose_their_weight() {
    let mut load = Load::new(vec![1.0; 64]);
    load.work = [2.1, 2.5];
    let mut sim = Simulation::new(load, 1);
    sim.play(60);
    let work = |secs: f64| {
        let declared = Duration::from_secs_f64(secs);
        sim.model.estimates().work(&kind("checks"), None, declared).expected.as_secs_f64()
    };
    assert!(work(0.5) > 1.5, "{}", work(0.5));
    assert!(work(4.4) < 3.2, "{}", work(4.4));
}

/// Guards against evidence that outlives a change of the worker's speed, in either direction, and
/// against other workers that are affected.
#[test]
fn speeds_worker_turns_slow_and_recovers() {
    for seed in SEEDS {
        let mut sim = Simulation::new(Load::new(vec![1.0; 64]), seed);
        sim.play(30);
        sim.load.speeds[5] = 0.125;
        sim.play(8);
        let factor = |sim: &Simulation| sim.model.estimates().speed(&instance(5)).factor;
        assert!(factor(&sim) < 0.5, "seed {seed}: {} after 8 s", factor(&sim));
        sim.play(22);
        assert!(factor(&sim) < 0.25, "seed {seed}: {} after 30 s", factor(&sim));
        assert!(sim.claimed() <= 2, "seed {seed}: {} workers", sim.claimed());
        sim.load.speeds[5] = 1.0;
        sim.play(6);
        assert_eq!(factor(&sim), 1.0, "seed {seed}: 6 s after its recovery");
    }
}

/// Guards against the speed of a machine that is kept for the one which replaces it under its
/// name, with and without the owner's notice.
#[test]
fn speeds_incarnation_under_an_old_name() {
    for (notice, seed) in SEEDS.flat_map(|s| [(true, s), (false, s)]) {
        let mut sim = Simulation::new(Load::new(vec![1.0; 64]), seed);
        sim.load.speeds[9] = 0.4;
        sim.play(60);
        let factor = |sim: &Simulation| sim.model.estimates().speed(&instance(9)).factor;
        assert!(factor(&sim) < 0.6, "seed {seed}: {}", factor(&sim));
        sim.end_runs(9);
        sim.load.speeds[9] = 1.0;
        if notice {
            sim.model.forget(&instance(9));
            sim.model.refit(sim.now);
            assert_eq!(factor(&sim), 1.0, "seed {seed}: forgotten");
        }
        sim.play(15);
        assert_eq!(factor(&sim), 1.0, "notice {notice}, seed {seed}");
    }
}

/// Guards against a kind whose steps crowd out those of another kind.
#[test]
fn work_kinds_are_learned_apart() {
    let mut model = bronzespool_estimate::Model::new();
    for step in 0..200_u64 {
        for run in 0..4 {
            let (queue, factor) = if step % 5 == 0 { ("checks", 0.5) } else { ("loads", 2.0) };
            let mut sample = sample(step, run, (step + run) as usize % 40, 4.0, 4.0 * factor);
            sample.kind = Kind { image: Some("trainer".into()), ..kind(queue) };
            model.record(sample);
        }
        model.refit(Time::from_secs(step));
    }
    let work = |queue: &str| {
        let kind = Kind { image: Some("trainer".into()), ..kind(queue) };
        let work = model.estimates().work(&kind, Some(StepKey(9_999)), Duration::from_secs(4));
        work.expected.as_secs_f64()
    };
    assert!((1.8..=2.4).contains(&work("checks")), "{}", work("checks"));
    assert!((7.0..=8.4).contains(&work("loads")), "{}", work("loads"));
}
