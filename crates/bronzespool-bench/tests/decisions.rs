//! Targets of the scheduling decisions, checked on the two deployments that exist today.

use bronzespool_bench::{
    decisions::{Scale, Simulator, Stream},
    policies::{Fifo, Scheduler},
    report::{Target, targets},
    suite,
};

const FIFO: &str = "fifo-quota";
const ORACLE: &str = "oracle";
const SCHEDULER: &str = "bronzespool";
/// Seed of the scenarios.
const SEED: u64 = 1;
/// Hours of submissions; within them, busy and idle teams swap once.
const HOURS: u64 = 6;
const STREAMS: [Stream; 5] =
    [Stream::Steady, Stream::BurstSmall, Stream::BurstLarge, Stream::BadWorkers, Stream::RackLoss];

/// Checks the named targets on all streams; `baseline` is the policy that they refer to.
fn check(scale: Scale, baseline: &str, names: &[&str]) {
    let mut missed = Vec::new();
    for stream in STREAMS {
        let run = suite::run_scenario(&stream.scenario(scale, SEED, HOURS), &[baseline, SCHEDULER]);
        let wanted = |t: &Target| names.contains(&t.name) && !t.met;
        let text = |t: Target| {
            format!("{}: {} is {:.3}, bound {:.3}", stream.name(), t.name, t.value, t.bound)
        };
        missed.extend(targets(&run).into_iter().filter(wanted).map(text));
    }
    assert!(missed.is_empty(), "{} seed {SEED}:\n{}", scale.name(), missed.join("\n"));
}

#[test]
fn guarantees_registry_never_broken() {
    check(Scale::Registry, SCHEDULER, &["broken guarantees"]);
}

#[test]
fn guarantees_cooperative_never_broken() {
    check(Scale::Cooperative, SCHEDULER, &["broken guarantees"]);
}

#[test]
fn completion_registry_below_strict_quotas() {
    check(Scale::Registry, FIFO, &["mean completion", "p99 completion"]);
}

#[test]
fn completion_cooperative_below_strict_quotas() {
    check(Scale::Cooperative, FIFO, &["mean completion", "p99 completion"]);
}

#[test]
fn fragmentation_registry_below_strict_quotas() {
    check(Scale::Registry, FIFO, &["fragmentation"]);
}

#[test]
fn fragmentation_cooperative_below_strict_quotas() {
    check(Scale::Cooperative, FIFO, &["fragmentation"]);
}

#[test]
fn utilisation_registry_near_oracle() {
    check(Scale::Registry, ORACLE, &["utilisation"]);
}

#[test]
fn utilisation_cooperative_near_oracle() {
    check(Scale::Cooperative, ORACLE, &["utilisation"]);
}

/// Checks that every policy grants whole gangs, orders valid actions only and leaves no job
/// unfinished.
fn check_sound(scale: Scale) {
    for stream in STREAMS {
        for f in suite::run_scenario(&stream.scenario(scale, SEED, HOURS), &suite::POLICIES) {
            let at = format!("{} on {}, {}", f.policy, f.scale, f.stream);
            assert_eq!(f.gang_violations, 0, "gang violations: {at}");
            assert_eq!(f.invalid, 0, "invalid actions: {at}");
            assert_eq!(f.unfinished, 0, "unfinished jobs: {at}");
        }
    }
}

#[test]
fn orders_registry_sound() {
    check_sound(Scale::Registry);
}

#[test]
fn orders_cooperative_sound() {
    check_sound(Scale::Cooperative);
}

#[test]
fn figures_same_seed_repeat() {
    let run = || {
        let scenario = Stream::RackLoss.scenario(Scale::Cooperative, 3, 6);
        let cluster = &scenario.cluster;
        let scheduler = Simulator::new(&scenario).run(&mut Scheduler::new(cluster));
        (Simulator::new(&scenario).run(&mut Fifo::new(cluster)), scheduler)
    };
    assert_eq!(run(), run());
}
