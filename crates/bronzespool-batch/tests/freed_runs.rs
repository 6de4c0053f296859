//! What frees the runs of a worker, and that nothing is given out again before.

mod common;

use {
    bronzespool_batch::{
        Event, RunId, Step, WorkerIncarnation,
        ledger::{RunEnd, RunOutcome, StopCause, WorkerSpec},
    },
    common::{Cluster, SECOND, gang, incarnation, run, step},
};

/// Job of a gang, and of single tasks of which copies are allowed.
const JOBS: [u64; 2] = [1, 2];
/// Random histories.
const HISTORIES: u64 = 300;
/// Changes in each of them.
const CHANGES: usize = 60;

/// A cluster of three workers that hold the members of a gang and single tasks.
fn cluster() -> Cluster {
    let mut cluster = Cluster::new(1, 3, 0);
    cluster.submit(JOBS[0], 0, vec![gang(4, 4)]);
    cluster.submit(JOBS[1], 0, vec![Step { speculation: true, ..step(4, 1) }]);
    assert_eq!(cluster.started().len(), 8);
    cluster
}

fn runs_on(cluster: &Cluster, worker: usize) -> Vec<RunId> {
    let worker = cluster.ledger.worker(&incarnation(worker));
    worker.map_or_else(Vec::new, |w| w.runs.keys().copied().collect())
}

fn spec(cluster: &Cluster, worker: usize) -> WorkerSpec {
    cluster.ledger.worker(&incarnation(worker)).unwrap().spec.clone()
}

// Only a worker's own word, or the end of its leases, may free what it holds.
#[test]
fn apply_what_names_another_worker_frees_no_run() {
    let mut cluster = cluster();
    let held = runs_on(&cluster, 0);
    assert!(!held.is_empty());
    let end = |(i, run): (usize, &RunId)| RunEnd {
        number: i as u64 + 1,
        run: *run,
        outcome: RunOutcome::Stopped,
        checkpoint: "".into(),
    };
    let ends: Vec<RunEnd> = held.iter().enumerate().map(end).collect();
    let former = WorkerIncarnation { started_at: 0, ..incarnation(0) };
    let next = WorkerIncarnation { started_at: 2, ..incarnation(1) };
    let up = |spec| Event::WorkerUp(Box::new(spec));
    let events = [
        Event::Ended { incarnation: incarnation(1), ends: ends.clone() },
        Event::Ended { incarnation: former.clone(), ends },
        Event::Refused { incarnation: incarnation(1), run: held[0] },
        Event::Refused { incarnation: former.clone(), run: held[0] },
        Event::WorkerGone(former.clone()),
        Event::TakenDown("w0".into()),
        Event::CenterDrained { center: "c1".into(), base: 0 },
        up(WorkerSpec { incarnation: former, ..spec(&cluster, 0) }),
        up(WorkerSpec { leaving: true, ..spec(&cluster, 0) }),
        up(WorkerSpec { incarnation: next.clone(), ..spec(&cluster, 1) }),
        Event::WorkerGone(next),
        Event::Stopping { runs: held.clone(), cause: StopCause::Broken },
    ];
    for event in events {
        cluster.apply(event.clone());
        assert_eq!(runs_on(&cluster, 0), held, "{event:?}");
        assert!(held.iter().all(|r| cluster.ledger.active_run(*r).is_some()), "{event:?}");
    }
}

/// Ends, refuses or loses something at random.
fn change(cluster: &mut Cluster, rng: &mut fastrand::Rng) {
    let worker = rng.usize(..3);
    let held = runs_on(cluster, worker);
    match rng.u8(..8) {
        0 => {
            cluster.apply(Event::WorkerGone(incarnation(worker)));
        }
        1 => {
            cluster.up(worker, 0, false);
        }
        2 | 3 if !held.is_empty() => {
            let run = held[rng.usize(..held.len())];
            cluster.apply(Event::Refused { incarnation: incarnation(worker), run });
        }
        4 => {
            cluster.end_unwanted();
        }
        _ => {}
    }
    cluster.pass(SECOND / 2);
}

// A task, or a gang, is given out only while no worker may hold a run of it.
#[test]
fn plan_gives_out_nothing_that_a_worker_may_hold() {
    let mut count = 0;
    for seed in 0..HISTORIES {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut cluster = cluster();
        for _ in 0..CHANGES {
            change(&mut cluster, &mut rng);
            let held: Vec<RunId> = (0..3).flat_map(|i| runs_on(&cluster, i)).collect();
            for assignment in cluster.started() {
                count += 1;
                let task = assignment.run.task;
                let is_gang = task.step == run(JOBS[0], 0, 0, 1).task.step;
                let same = |r: &&RunId| r.task == task || is_gang && r.task.step == task.step;
                assert_eq!(held.iter().find(same), None, "seed {seed}, {assignment:?}");
            }
        }
    }
    assert!(count > 0, "something was given out again");
}
