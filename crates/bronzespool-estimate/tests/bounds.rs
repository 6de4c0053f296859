//! Bounds on memory and cost, and properties under arbitrary samples.

mod common;

use {
    arbtest::arbitrary::{Result, Unstructured},
    bronzespool_core::Time,
    bronzespool_estimate::{
        KIND_STEPS_MAX, KINDS_MAX, Kind, Model, Sample, StepKey, WORKER_SAMPLES_MAX, WORKERS_MAX,
    },
    common::{instance, kind, sample},
    std::time::Duration,
};

/// Most visits of each run by one fit: ten sweeps of two passes and one more, and three passes
/// for the work of steps. A change of speed sweeps twice.
const VISITS_MAX: u64 = 2 * 21 + 3;

fn arbitrary_sample(u: &mut Unstructured<'_>) -> Result<Sample> {
    Ok(Sample {
        run: u.int_in_range(0..=20)?,
        step: StepKey(u.int_in_range(0..=30)?),
        kind: kind(["checks", "loads", "quota"][u.int_in_range(0..=2)?]),
        instance: instance(u.int_in_range(0..=6)?),
        declared: Duration::from_micros(u.arbitrary()?),
        observed: Duration::from_micros(u.arbitrary()?),
        complete: u.arbitrary()?,
        at: Time::from_micros(u.arbitrary()?),
    })
}

/// Guards against panics, figures that are no numbers, and bounds that some order of calls escapes.
#[test]
fn model_any_calls_bounded_and_deterministic() {
    arbtest::arbtest(|u| {
        let mut model = Model::new();
        let mut twin = Model::new();
        for _ in 0..u.arbitrary_len::<[u64; 4]>()? {
            let sample = arbitrary_sample(u)?;
            let action: u8 = u.arbitrary()?;
            for model in [&mut model, &mut twin] {
                match action {
                    0..8 => model.forget(&sample.instance),
                    8..64 => model.refit(sample.at),
                    _ => model.record(sample.clone()),
                }
            }
        }
        [&mut model, &mut twin].into_iter().for_each(|m| m.refit(Time::ZERO));
        let (stats, estimates) = (model.stats(), model.estimates());
        assert!(stats.samples <= 7 * WORKER_SAMPLES_MAX);
        assert!(stats.steps <= stats.samples + 3 * KIND_STEPS_MAX);
        // The fit may have dropped samples that it visited before.
        assert!(stats.visits <= VISITS_MAX * (7 * WORKER_SAMPLES_MAX) as u64);
        assert!(stats.noise.is_finite() && stats.noise > 0.0);
        for worker in 0..7 {
            let factor = estimates.speed(&instance(worker)).factor;
            assert!((0.03..=33.0).contains(&factor), "{factor}");
            assert_eq!(factor, twin.estimates().speed(&instance(worker)).factor);
        }
        for step in 0..31 {
            let declared = Duration::from_secs(step);
            let work = estimates.work(&kind("checks"), Some(StepKey(step)), declared);
            assert!(work.high >= work.expected, "{work:?}");
            assert_eq!(work, twin.estimates().work(&kind("checks"), Some(StepKey(step)), declared));
        }
        assert_eq!(model.summary(), twin.summary());
        Ok(())
    });
}

/// Guards against a fit that depends on the order in which workers of equal evidence were named.
#[test]
fn speed_does_not_depend_on_names() {
    arbtest::arbtest(|u| {
        let speeds: [f64; 8] = std::array::from_fn(|_| 0.0);
        let mut speeds =
            speeds.map(|_| 0.5 + f64::from(u.int_in_range(0..=20).unwrap_or(0)) / 10.0);
        let factors = |speeds: &[f64; 8]| {
            let mut model = Model::new();
            for step in 0..10 {
                for (worker, speed) in speeds.iter().enumerate() {
                    model.record(sample(step, worker as u64, worker, 2.0, 4.0 / speed));
                }
            }
            model.refit(Time::ZERO);
            [0, 1, 2, 3, 4, 5, 6, 7].map(|w| model.estimates().speed(&instance(w)).factor)
        };
        let forward = factors(&speeds);
        speeds.reverse();
        let mut backward = factors(&speeds);
        backward.reverse();
        for (a, b) in forward.iter().zip(backward) {
            assert!((a / b - 1.0).abs() < 1e-3, "{forward:?} and {backward:?}");
        }
        Ok(())
    });
}

/// Guards against memory that grows with the names that were ever seen.
#[test]
fn model_many_names_bounded() {
    let mut model = Model::new();
    for n in 0..6_000_usize {
        let mut sample = sample(n as u64, 0, n, 2.0, 3.0);
        sample.kind = Kind { queue: "checks".into(), image: Some(format!("image-{n}").into()) };
        model.record(sample);
    }
    model.refit(Time::ZERO);
    let stats = model.stats();
    assert_eq!(stats.workers, WORKERS_MAX);
    assert_eq!(stats.kinds, KINDS_MAX);
    assert!(stats.steps <= KINDS_MAX * KIND_STEPS_MAX, "{stats:?}");
}

/// Guards against the oldest names that stay while the latest are evicted.
#[test]
fn model_full_keeps_the_latest() {
    let mut model = Model::new();
    for n in 0..KINDS_MAX + 10 {
        for run in 0..4 {
            let mut sample = sample(n as u64, run, run as usize, 2.0, 8.0);
            sample.kind = kind(&format!("queue-{n}"));
            model.record(sample);
        }
    }
    model.refit(Time::ZERO);
    let expected = |n: usize| {
        let kind = kind(&format!("queue-{n}"));
        model.estimates().work(&kind, None, Duration::from_secs(2)).expected
    };
    assert_eq!(expected(0), Duration::from_secs(2));
    assert!(expected(KINDS_MAX + 9) > Duration::from_secs(2));
}

/// Guards against a fit whose cost grows faster than the samples.
#[test]
fn refit_at_890_workers_visits_each_run_few_times() {
    let mut model = Model::new();
    for step in 0..890 * 4 {
        for run in 0..4 {
            let worker = (step * 7 + run * 223) as usize % 890;
            model.record(sample(step, run, worker, 2.0, 3.0 / [0.7, 1.0, 1.7][worker % 3]));
        }
    }
    model.refit(Time::ZERO);
    let stats = model.stats();
    assert_eq!(stats.samples, 890 * WORKER_SAMPLES_MAX);
    assert!(stats.visits <= VISITS_MAX * stats.samples as u64, "{stats:?}");
    model.refit(Time::ZERO);
    assert_eq!(model.stats().visits, stats.visits, "a fit without new samples does nothing");
}
