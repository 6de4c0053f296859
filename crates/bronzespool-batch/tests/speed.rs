//! Placement by the learned speeds of workers, and room that is kept free for urgent jobs.

mod common;

use {
    bronzespool_batch::{
        Event, Step, StepId,
        id::JobId,
        ledger::{RunOutcome, StopCause},
        spec::JobSpec,
    },
    bronzespool_core::{Instance, Time},
    bronzespool_estimate::{Kind, Model, Sample, StepKey},
    common::{Cluster, QUEUES, SECOND, gang, run, step},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// Samples of each worker, enough for a firm estimate.
const STEPS: u64 = 8;

/// Lets the cluster's view know these durations of like tasks, in milliseconds by worker.
fn learn(cluster: &mut Cluster, millis: &[u64]) {
    let mut model = Model::new();
    for step in 0..STEPS {
        for (i, duration) in millis.iter().enumerate() {
            model.record(Sample {
                run: i as u64,
                step: StepKey(step),
                kind: Kind { queue: "reconcile".into(), image: None },
                instance: Instance::try_from(format!("side-{i}")).unwrap(),
                declared: SECOND,
                observed: Duration::from_millis(*duration),
                complete: true,
                at: Time::from_secs(1),
            });
        }
    }
    model.refit(Time::from_secs(2));
    cluster.view.estimates = model.estimates();
}

fn started_on(cluster: &mut Cluster) -> BTreeSet<Arc<str>> {
    cluster.started().into_iter().map(|a| a.incarnation.worker).collect()
}

fn names(workers: &[usize]) -> BTreeSet<Arc<str>> {
    workers.iter().map(|i| format!("w{i}").into()).collect()
}

/// Without the preference, an urgent gang takes the first rack and is late on its slow worker.
#[test]
fn place_urgent_gang_avoids_rack_with_slow_worker() {
    let mut cluster = Cluster::new(2, 2, 0);
    learn(&mut cluster, &[1_000, 4_000, 1_000, 1_000]);
    cluster.submit(1, 0, vec![Step { single_rack: true, ..gang(2, 8) }]);
    assert_eq!(started_on(&mut cluster), names(&[2, 3]));
}

/// Without the preference, work that can wait takes the fast workers that urgent work needs next.
#[test]
fn place_unhurried_task_takes_slow_worker() {
    let mut cluster = Cluster::new(1, 3, 0);
    learn(&mut cluster, &[400, 1_000, 1_000]);
    let spec = Step { estimate: 100, ..step(2, 8) };
    cluster.submit(1, 2, vec![spec]);
    assert_eq!(started_on(&mut cluster), names(&[1, 2]));
    cluster.submit(2, 0, vec![gang(1, 8)]);
    assert_eq!(started_on(&mut cluster), names(&[0]));
}

/// Small differences must not spread small tasks over workers that large ones need whole.
#[test]
fn place_like_workers_are_packed() {
    let mut cluster = Cluster::new(1, 2, 0);
    learn(&mut cluster, &[1_000, 1_100]);
    cluster.submit(1, 2, vec![step(4, 2)]);
    assert_eq!(started_on(&mut cluster).len(), 1);
}

fn stops(events: &[Event]) -> usize {
    let reclaimed = events.iter().filter_map(|e| match e {
        Event::Stopping { runs, cause: StopCause::Reclaimed(_) } => Some(runs.len()),
        _ => None,
    });
    reclaimed.sum()
}

/// Plays an urgent gang every two seconds beside a backlog; returns the runs stopped for the gangs.
fn play_urgent_gangs(headroom: bool) -> usize {
    let mut cluster = Cluster::new(1, 4, 0);
    cluster.view.urgent_headroom = headroom;
    let mut stopped = 0;
    for job in 0..6 {
        cluster.submit(100 + job, 0, vec![gang(2, 4)]);
        stopped += stops(&cluster.plan());
        cluster.submit(200 + job, 2, vec![Step { estimate: 60_000, ..step(16, 1) }]);
        for _ in 0..4 {
            cluster.end_unwanted();
            stopped += stops(&cluster.plan());
            cluster.pass(Duration::from_millis(400));
        }
        for index in 0..2 {
            let member = run(100 + job, 0, index, 1);
            if cluster.ledger.active_run(member).is_some() {
                cluster.end(member, RunOutcome::Done);
            }
        }
        stopped += stops(&cluster.plan());
        cluster.pass(Duration::from_millis(400));
    }
    stopped
}

/// Without headroom, the backlog takes what an urgent gang leaves and is stopped for the next one.
#[test]
fn headroom_urgent_gangs_stop_nothing() {
    assert_eq!(play_urgent_gangs(true), 0);
    assert!(play_urgent_gangs(false) > 0);
}

/// Room must not stay unused once urgent jobs have ceased.
#[test]
fn headroom_ends_after_the_last_urgent_job() {
    let mut cluster = Cluster::new(1, 4, 0);
    cluster.view.urgent_headroom = true;
    cluster.submit(1, 0, vec![gang(3, 8)]);
    cluster.plan();
    cluster.submit(2, 2, vec![Step { estimate: 60_000, ..step(4, 8) }]);
    cluster.plan();
    (0..3).for_each(|i| {
        cluster.end(run(1, 0, i, 1), RunOutcome::Done);
    });
    cluster.pass(SECOND * 11);
    assert!(!cluster.started().is_empty());
    cluster.plan();
    let spec: &JobSpec = &cluster.ledger.job(JobId(2)).unwrap().spec;
    assert_eq!(&*spec.queue, QUEUES[2]);
    let step = StepId { job: JobId(2), occurrence: 0, step: 0 };
    let running = (0..4).filter(|i| {
        let task = cluster.ledger.job(JobId(2)).and_then(|j| j.task(step.task(*i)));
        task.is_some_and(|t| !t.active_runs.is_empty())
    });
    assert_eq!(running.count(), 4);
}
