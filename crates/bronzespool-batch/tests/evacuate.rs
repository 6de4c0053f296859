//! Runs on workers that have announced their end.

mod common;

use {
    bronzespool_batch::{
        Event, RunId, Step,
        departure::DepartureReport,
        ledger::{RunOutcome, StopCause},
        plan::Progress,
    },
    common::{Cluster, SECOND, gang, incarnation, run, step},
    std::time::Duration,
};

const MILLI: Duration = Duration::from_millis(1);

/// Lets a worker announce that it ends.
fn leave(cluster: &mut Cluster, worker: usize, notice: Duration) {
    cluster.up(worker, 0, true);
    let remaining = notice.as_millis() as u64;
    let report = DepartureReport { incarnation: incarnation(worker), remaining };
    cluster.view.departures.record(cluster.view.now, report);
}

/// The runs that a plan stops because their workers end.
fn evacuated(cluster: &mut Cluster) -> Vec<RunId> {
    let events = cluster.plan();
    let runs = events.into_iter().filter_map(|e| match e {
        Event::Stopping { runs, cause: StopCause::Leaving } => Some(runs),
        _ => None,
    });
    runs.flatten().collect()
}

/// A cluster in which one task runs, on the first worker.
fn cluster_with(task: Step) -> Cluster {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 1, vec![task]);
    assert_eq!(cluster.started().len(), 1);
    cluster
}

fn long_step() -> Step {
    Step { estimate: 10_000, ..step(1, 8) }
}

/// Guards against a task that waits for the leases of a worker that was taken away with it.
#[test]
fn plan_run_that_outlasts_its_worker_starts_elsewhere() {
    let mut cluster = cluster_with(long_step());
    leave(&mut cluster, 0, SECOND * 2);
    cluster.up(1, 0, false);
    assert_eq!(evacuated(&mut cluster), [run(1, 0, 0, 1)]);
    assert!(evacuated(&mut cluster).is_empty(), "a run is stopped once");
    cluster.end(run(1, 0, 0, 1), RunOutcome::Stopped);
    let started = cluster.started();
    assert_eq!(started[0].incarnation, incarnation(1));
}

/// Guards against a gang of which each member waits for the one that was lost.
#[test]
fn plan_gang_with_a_member_on_it_starts_elsewhere_whole() {
    let mut cluster = Cluster::new(1, 2, 0);
    cluster.submit(1, 1, vec![Step { estimate: 10_000, ..gang(2, 8) }]);
    assert_eq!(cluster.started().len(), 2);
    leave(&mut cluster, 0, SECOND * 2);
    cluster.up(2, 0, false);
    assert_eq!(evacuated(&mut cluster).len(), 1);
    cluster.plan();
    cluster.end(run(1, 0, 0, 1), RunOutcome::Stopped);
    cluster.end(run(1, 0, 1, 1), RunOutcome::Stopped);
    cluster.pass(SECOND);
    assert_eq!(cluster.started().len(), 2);
}

#[test]
fn plan_run_that_ends_before_its_worker_goes_on() {
    let mut cluster = cluster_with(long_step());
    cluster.pass(SECOND * 9);
    let progress = Progress { checkpoint: "".into(), percent: 90 };
    cluster.view.progress.insert(run(1, 0, 0, 1), progress);
    leave(&mut cluster, 0, SECOND * 2);
    assert!(evacuated(&mut cluster).is_empty());
}

/// Guards against work that is given up before it has to be: what such a run does until its stop is
/// saved.
#[test]
fn plan_run_that_saves_progress_is_stopped_late() {
    let mut cluster = cluster_with(Step { checkpoints: true, ..long_step() });
    leave(&mut cluster, 0, SECOND * 2);
    assert!(evacuated(&mut cluster).is_empty());
    cluster.pass(MILLI * 1_200);
    assert_eq!(evacuated(&mut cluster), [run(1, 0, 0, 1)]);
}

/// Guards against lost work on workers that drain without saying when they end.
#[test]
fn plan_worker_that_leaves_without_notice_keeps_its_runs() {
    let mut cluster = cluster_with(long_step());
    cluster.up(0, 0, true);
    assert!(evacuated(&mut cluster).is_empty());
}

#[test]
fn plan_long_lived_run_goes_on() {
    let mut cluster = cluster_with(Step { long_lived: true, ..long_step() });
    leave(&mut cluster, 0, SECOND * 2);
    assert!(evacuated(&mut cluster).is_empty());
}
