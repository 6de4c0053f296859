//! Rules of the model, each shown by a few samples.

mod common;

use {
    bronzespool_core::{Instance, Time},
    bronzespool_estimate::{Estimates, Model, StepKey},
    common::{instance, kind, sample},
    std::time::Duration,
};

fn fitted(model: &mut Model) -> Estimates {
    model.refit(Time::ZERO);
    model.estimates()
}

fn secs(duration: Duration) -> f64 {
    duration.as_secs_f64()
}

/// Guards against claims without evidence.
#[test]
fn estimates_empty_model_declared_and_typical() {
    let estimates = fitted(&mut Model::new());
    let declared = Duration::from_millis(2_345);
    let work = estimates.work(&kind("checks"), Some(StepKey(1)), declared);
    assert_eq!((work.expected, work.high, work.samples), (declared, declared, 0));
    assert_eq!(estimates.speed(&instance(1)).factor, 1.0);
}

/// Guards against a declared duration that outweighs finished siblings.
#[test]
fn work_finished_siblings_count_most() {
    let mut model = Model::new();
    for run in 0..4 {
        model.record(sample(1, run, run as usize, 2.0, 6.0));
    }
    let work = fitted(&mut model).work(&kind("checks"), Some(StepKey(1)), Duration::from_secs(2));
    assert!((5.0..=6.1).contains(&secs(work.expected)), "{work:?}");
    assert_eq!(work.samples, 4);
}

/// Guards against one wrong declaration that rescales all others.
#[test]
fn work_one_step_hardly_changes_its_kind() {
    let mut model = Model::new();
    (0..8).for_each(|run| model.record(sample(1, run, run as usize, 2.0, 6.0)));
    let work = fitted(&mut model).work(&kind("checks"), Some(StepKey(2)), Duration::from_secs(2));
    assert!((2.0..=2.8).contains(&secs(work.expected)), "{work:?}");
}

/// Guards against a fit that ignores a constant factor of all declarations of a kind.
#[test]
fn work_learns_factor_of_kind() {
    let mut model = Model::new();
    for step in 0..40 {
        let declared = 1.0 + step as f64 / 10.0;
        for run in 0..3 {
            let worker = (step * 3 + run) as usize % 12;
            model.record(sample(step, run, worker, declared, declared * 1.8));
        }
    }
    let work = fitted(&mut model).work(&kind("checks"), None, Duration::from_secs(4));
    assert!((6.5..=7.4).contains(&secs(work.expected)), "{work:?}");
    let other = model.estimates().work(&kind("other"), None, Duration::from_secs(4));
    assert_eq!(other.expected, Duration::from_secs(4), "another kind is not affected");
}

/// Guards against speeds taken from how long a worker's own steps last.
#[test]
fn speed_steps_of_one_worker_are_no_evidence() {
    let mut model = Model::new();
    for step in 0..16 {
        for worker in 0..8 {
            let secs = if worker == 0 { 20.0 } else { 2.0 };
            model.record(sample(step * 8 + worker, 1, worker as usize, 2.0, secs));
        }
    }
    let estimates = fitted(&mut model);
    (0..8).for_each(|w| assert_eq!(estimates.speed(&instance(w)).factor, 1.0));
}

/// Guards against a later sample that counts in addition to the earlier one of its run.
#[test]
fn record_later_sample_replaces_earlier() {
    let mut model = Model::new();
    let progress = |secs: f64, at: u64| {
        let complete = sample(1, 7, 1, 2.0, secs);
        bronzespool_estimate::Sample { complete: false, at: Time::from_secs(at), ..complete }
    };
    model.record(progress(9.0, 1));
    model.record(progress(4.0, 2));
    assert_eq!(model.stats().samples, 1);
    let mut end = sample(1, 7, 1, 2.0, 5.0);
    end.at = Time::from_secs(3);
    model.record(end);
    model.record(progress(50.0, 4));
    assert_eq!(model.stats().samples, 1);
    let work = fitted(&mut model).work(&kind("checks"), Some(StepKey(1)), Duration::from_secs(5));
    assert!((4.9..=5.1).contains(&secs(work.expected)), "progress after the end: {work:?}");
}

/// Guards against a faster or slower majority that is reported as untypical.
#[test]
fn speed_is_relative_to_the_median_worker() {
    let mut model = Model::new();
    for step in 0..12 {
        for worker in 0..9 {
            let secs = if worker < 3 { 2.0 / 1.7 } else { 2.0 / 0.7 };
            model.record(sample(step, worker, worker as usize, 2.0, secs));
        }
    }
    let estimates = fitted(&mut model);
    let speed = |name: Instance| estimates.speed(&name).factor;
    for worker in 0..9 {
        let expected = if worker < 3 { 1.7 / 0.7 } else { 1.0 };
        let factor = speed(instance(worker));
        assert!((factor / expected - 1.0).abs() < 0.1, "worker {worker}: {factor}");
    }
}

/// Guards against work that is left behind when fast workers join and another worker becomes
/// typical: the time that a task takes on a given worker stays.
#[test]
fn work_follows_the_typical_worker() {
    let mut model = Model::new();
    let speed = |worker: u64| if worker < 6 { 0.7 } else { 1.7 };
    let mut play = |steps: std::ops::Range<u64>, workers: u64| {
        for step in steps {
            for worker in 0..workers {
                model.record(sample(step, worker, worker as usize, 2.0, 2.0 / speed(worker)));
            }
            model.refit(Time::ZERO);
        }
        let estimates = model.estimates();
        let slow = estimates.speed(&instance(0)).factor;
        (secs(estimates.work(&kind("checks"), None, Duration::from_secs(2)).expected), slow)
    };
    let (before, slow) = play(0..200, 9);
    assert!((0.95..=1.05).contains(&slow), "{slow}");
    let (after, slow) = play(200..206, 24);
    assert!(slow < 0.5, "{slow}");
    let ratio = after / slow / before;
    assert!((0.9..=1.1).contains(&ratio), "{before} s, then {after} s at {slow}");
}
