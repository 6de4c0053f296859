//! Workers whose capacity shrinks and grows while they run.

mod common;

use {
    bronzespool_batch::{
        Event, EventOutcome, JobId, Phase, RunId, Step, Withdrawals,
        exchange::poll_orders,
        ledger::{Assignment, RunOutcome, StopCause, WorkerSpec},
        message::{Orders, Poll, PollId, RunStatus},
        spec::{JobSpec, Resources},
    },
    bronzespool_core::Instance,
    common::{Cluster, QUEUES, SECOND, WORKER_CAPACITY, incarnation, run, step},
    std::{collections::BTreeSet, sync::Arc},
};

/// Changes the accelerators of a worker.
fn resize(cluster: &mut Cluster, worker: usize, gpu: u64) {
    let spec = spec_of(cluster, worker);
    let capacity = Resources { gpu, ..WORKER_CAPACITY };
    let event = Event::WorkerUp(Box::new(WorkerSpec { capacity, ..spec }));
    assert_eq!(cluster.apply(event), EventOutcome::Applied);
}

fn spec_of(cluster: &Cluster, worker: usize) -> WorkerSpec {
    cluster.ledger.worker(&incarnation(worker)).expect("a worker").spec.clone()
}

/// Starts single tasks of a job on a worker.
fn assign(cluster: &mut Cluster, job: u64, indices: std::ops::Range<u32>, worker: usize) {
    for index in indices {
        let run = run(job, 0, index, 1);
        let assignment = Assignment {
            run,
            incarnation: incarnation(worker),
            checkpoint: "".into(),
            permit: None,
        };
        assert_eq!(cluster.apply(Event::Started(vec![assignment])), EventOutcome::Applied);
    }
}

/// Returns the orders for a worker that lists these runs.
fn orders(cluster: &Cluster, worker: usize, running: &[RunId], in_flight: &[RunId]) -> Orders {
    let status = |run: &RunId| RunStatus { run: *run, checkpoint: "".into(), percent: 1, usage: 0 };
    let poll = Poll {
        agent: Instance::try_from(format!("side-{worker}")).unwrap(),
        id: PollId::new(1, 1),
        relay: None,
        worker: Some(spec_of(cluster, worker)),
        gone: Vec::new(),
        running: running.iter().map(status).collect(),
        ends: Vec::new(),
        refused: Vec::new(),
        in_flight: in_flight.to_vec(),
    };
    poll_orders(&cluster.ledger, &Withdrawals::default(), &poll, 1, 8 * SECOND)
}

fn started_runs(orders: &Orders) -> BTreeSet<RunId> {
    orders.starts.iter().map(|s| s.run).collect()
}

// An agent that starts again holds none of its worker's runs. All were ordered in one answer, each with the
// text of its job: 8 MB for these.
#[test]
fn poll_orders_starts_with_long_texts_come_in_several_answers() {
    const TASKS: u32 = 2_000;
    let mut cluster = Cluster::new(1, 1, 0);
    let text = "t".repeat(4_000);
    let spec = JobSpec {
        id: JobId(1),
        queue: QUEUES[0].into(),
        team: None,
        text: text.into(),
        steps: vec![Step { count: TASKS, ..Step::default() }],
        times: 0,
        start: 0,
        interval: 0,
    };
    assert_eq!(cluster.apply(Event::Submitted(Arc::new(spec))), EventOutcome::Applied);
    assign(&mut cluster, 1, 0..TASKS, 0);
    let mut running = Vec::new();
    while running.len() < TASKS as usize {
        let ordered = orders(&cluster, 0, &running, &[]).starts;
        let bytes: usize = ordered.iter().map(|s| s.text.len()).sum();
        assert!(bytes <= (1 << 20) + 4_000, "{bytes} bytes of texts");
        assert!(!ordered.is_empty());
        running.extend(ordered.iter().map(|s| s.run));
    }
}

// A run that was assigned before its worker shrank was started over the capacity that is left.
#[test]
fn poll_orders_run_that_no_longer_fits_is_withdrawn() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![step(6, 1)]);
    assign(&mut cluster, 1, 0..6, 0);
    let all: Vec<RunId> = (0..6).map(|i| run(1, 0, i, 1)).collect();
    assert_eq!(orders(&cluster, 0, &all[..2], &[]).starts.len(), 4);
    resize(&mut cluster, 0, 4);
    let shrunk = orders(&cluster, 0, &all[..2], &[]);
    assert_eq!(started_runs(&shrunk), all[2..4].iter().copied().collect());
    assert_eq!(shrunk.stops, &all[4..]);
    // A start that has no answer yet may be carried out.
    let waiting = orders(&cluster, 0, &all[..2], &all[4..]);
    assert_eq!((waiting.starts.len(), &*waiting.stops), (0, &all[2..4]));
    resize(&mut cluster, 0, 8);
    assert_eq!(orders(&cluster, 0, &all[..2], &[]).starts.len(), 4);
}

#[test]
fn poll_orders_run_that_is_being_stopped_still_counts() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![step(4, 1)]);
    assign(&mut cluster, 1, 0..4, 0);
    let all: Vec<RunId> = (0..4).map(|i| run(1, 0, i, 1)).collect();
    cluster.apply(Event::Stopping { runs: vec![all[0]], cause: StopCause::Broken });
    resize(&mut cluster, 0, 2);
    let orders = orders(&cluster, 0, &all[..2], &[]);
    assert!(orders.starts.is_empty(), "{:?}", started_runs(&orders));
}

#[test]
fn plan_worker_that_shrank_is_given_nothing_until_its_runs_fit() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![step(6, 1)]);
    assign(&mut cluster, 1, 0..6, 0);
    resize(&mut cluster, 0, 4);
    cluster.submit(2, 0, vec![step(1, 1)]);
    for index in 0..2 {
        assert_eq!(cluster.started(), []);
        cluster.end(run(1, 0, index, 1), RunOutcome::Done);
        cluster.pass(SECOND);
    }
    assert_eq!(cluster.started(), [], "as much as fits still runs");
    cluster.end(run(1, 0, 2, 1), RunOutcome::Done);
    assert_eq!(cluster.started().len(), 1);
}

#[test]
fn plan_worker_that_grew_is_used_at_once() {
    let mut cluster = Cluster::new(1, 1, 0);
    resize(&mut cluster, 0, 2);
    cluster.submit(1, 0, vec![step(6, 1)]);
    assert_eq!(cluster.started().len(), 2);
    resize(&mut cluster, 0, 8);
    assert_eq!(cluster.started().len(), 4);
}

// Stopping as much as a task needs freed nothing on a worker that held more than its capacity.
#[test]
fn plan_preemption_on_a_worker_that_shrank_covers_what_is_over() {
    let mut cluster = Cluster::new(1, 1, 8);
    cluster.submit(1, 2, vec![step(8, 1)]);
    assign(&mut cluster, 1, 0..8, 0);
    resize(&mut cluster, 0, 4);
    cluster.submit(2, 0, vec![step(1, 2)]);
    let mut stops = 0;
    for _ in 0..3 {
        cluster.plan();
        stops += cluster.end_unwanted();
        cluster.pass(SECOND);
    }
    cluster.plan();
    assert_eq!(stops, 6, "four over the capacity, and two for the task");
    assert_eq!(cluster.phase(2), Phase::Running);
}

// While a run that is being stopped only makes up for what is over, nothing is reserved on it.
#[test]
fn plan_runs_being_stopped_free_only_what_is_not_over() {
    let mut cluster = Cluster::new(1, 2, 16);
    cluster.submit(1, 2, vec![step(8, 1)]);
    assign(&mut cluster, 1, 0..8, 0);
    cluster.submit(3, 2, vec![step(8, 1)]);
    (0..8).for_each(|i| assign(&mut cluster, 3, i..i + 1, 1));
    resize(&mut cluster, 0, 4);
    let stopping: Vec<RunId> = (0..4).map(|i| run(1, 0, i, 1)).collect();
    cluster.apply(Event::Stopping { runs: stopping, cause: StopCause::Maintenance });
    cluster.submit(2, 0, vec![step(4, 1)]);
    cluster.plan();
    let stopped = cluster.end_unwanted();
    assert_eq!(stopped, 8, "four more make room for the four tasks");
    cluster.pass(SECOND);
    assert_eq!(cluster.started().len(), 4);
}
