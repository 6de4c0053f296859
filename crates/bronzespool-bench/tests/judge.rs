//! Counting of broken guarantees.

use {
    bronzespool_bench::decisions::{
        Cluster, GuaranteeMonitor, Job, PlannedOutcome, RECLAIM_BOUND, Scale, Stream,
    },
    bronzespool_core::Time,
    std::time::Duration,
};

/// A job of a team. In the registry deployment, kind 1 takes 2 accelerators and kind 2 takes 4.
fn job(cluster: &Cluster, id: usize, team: usize, kind: usize) -> Job {
    let plan = cluster.kinds[kind];
    let actual = Duration::from_secs(60);
    Job { id, team, kind, plan, submit: Time::ZERO, actual, outcome: PlannedOutcome::Completes }
}

#[test]
fn broken_late_start_counts_once() {
    let cluster = Scale::Registry.cluster();
    let mut monitor = GuaranteeMonitor::new(&cluster);
    monitor.submitted(Time::ZERO, &job(&cluster, 0, 1, 2));
    monitor.started(Time::from_secs(2), 0);
    monitor.stopped(Time::from_secs(3), 0, Time::from_secs(3));
    monitor.started(Time::from_secs(9), 0);
    assert_eq!(monitor.broken.len(), 1);
    assert_eq!(monitor.broken[0].wait, 2.0);
}

#[test]
fn broken_start_within_bound_does_not_count() {
    let cluster = Scale::Registry.cluster();
    let mut monitor = GuaranteeMonitor::new(&cluster);
    monitor.submitted(Time::ZERO, &job(&cluster, 0, 1, 2));
    monitor.started(Time::ZERO + RECLAIM_BOUND, 0);
    assert!(monitor.broken.is_empty());
}

#[test]
fn broken_beyond_guarantee_does_not_count() {
    let cluster = Scale::Registry.cluster();
    let mut monitor = GuaranteeMonitor::new(&cluster);
    for id in 0..3 {
        monitor.submitted(Time::ZERO, &job(&cluster, id, 1, 2));
    }
    monitor.started(Time::ZERO, 0);
    monitor.started(Time::ZERO, 1);
    monitor.finish(Time::from_secs(100));
    assert!(monitor.broken.is_empty(), "two cells of 4 hold two jobs of 4, not three");
}

#[test]
fn broken_waits_from_the_time_cells_fall_free() {
    let cluster = Scale::Registry.cluster();
    let mut monitor = GuaranteeMonitor::new(&cluster);
    for id in 0..3 {
        monitor.submitted(Time::ZERO, &job(&cluster, id, 1, 2));
    }
    monitor.started(Time::ZERO, 0);
    monitor.started(Time::ZERO, 1);
    monitor.ended(Time::from_secs(50), 0);
    monitor.started(Time::from_secs(53), 2);
    assert_eq!(monitor.broken.len(), 1);
    assert_eq!(monitor.broken[0].since, 50.0);
}

#[test]
fn broken_still_waiting_at_end_counts() {
    let cluster = Scale::Registry.cluster();
    let mut monitor = GuaranteeMonitor::new(&cluster);
    monitor.submitted(Time::ZERO, &job(&cluster, 0, 3, 3));
    monitor.finish(Time::from_secs(2));
    assert_eq!(monitor.broken.len(), 1, "two members of 8 fit into the guaranteed rack");
}

#[test]
fn due_gang_of_many_cells_not_owed_adjacency() {
    let cluster = Scale::TwoYear.cluster();
    let mut monitor = GuaranteeMonitor::new(&cluster);
    monitor.submitted(Time::ZERO, &job(&cluster, 0, 0, 4));
    monitor.finish(Time::from_secs(9));
    assert!(
        monitor.broken.is_empty(),
        "64 cells of one accelerator do not guarantee a common data centre"
    );
}

#[test]
fn stream_two_year_has_declared_size() {
    let cluster = Scale::TwoYear.cluster();
    assert_eq!((cluster.workers.len(), cluster.accels(), cluster.teams.len()), (890, 1_600, 350));
    let jobs = Stream::Steady.scenario(Scale::TwoYear, 1, 24).jobs.len();
    assert!((1_500..2_100).contains(&jobs), "{jobs} jobs a day");
}
