//! A worker that starts again under its name is registered once no run of its former incarnation can
//! start on it any more.

mod common;

use {
    bronzespool_batch::{
        Event, Phase, Withdrawals, WorkerIncarnation,
        contact::AGENT_TIMEOUT,
        exchange::{poll_events, poll_orders},
        grant::Grants,
        ledger::{RunEnd, RunOutcome, WorkerSpec},
        message::{Orders, Poll, PollId, RunStatus},
    },
    bronzespool_core::{Instance, Time},
    common::{Cluster, SECOND, incarnation, run, step},
};

const NOW: Time = Time::from_secs(100);

/// The next incarnation of the only worker.
fn next_incarnation() -> WorkerIncarnation {
    WorkerIncarnation { started_at: 2, ..incarnation(0) }
}

/// A leader whose only worker was assigned two runs, and that has ordered the next incarnation of
/// this worker to stop them.
struct Leader {
    cluster: Cluster,
    grants: Grants,
    polls: u32,
}

impl Leader {
    fn new() -> Self {
        let mut cluster = Cluster::new(1, 1, 0);
        cluster.submit(1, 0, vec![step(2, 1)]);
        assert_eq!(cluster.started().len(), 2);
        let mut leader = Self { cluster, grants: Grants::default(), polls: 0 };
        let orders = leader.answer(leader.poll());
        assert_eq!(orders.incarnation, Some(next_incarnation()));
        assert_eq!(orders.stops, [run(1, 0, 0, 1), run(1, 0, 1, 1)]);
        assert_eq!((orders.starts.len(), orders.lease), (0, 0));
        leader
    }

    /// The poll of the agent after its worker has started again.
    fn poll(&self) -> Poll {
        let worker = self.cluster.ledger.workers().next().unwrap().spec.clone();
        Poll {
            agent: Instance::try_from("side-0").unwrap(),
            id: PollId::new(1, self.polls + 1),
            relay: None,
            worker: Some(WorkerSpec { incarnation: next_incarnation(), ..worker }),
            gone: Vec::new(),
            running: Vec::new(),
            ends: Vec::new(),
            refused: Vec::new(),
            in_flight: Vec::new(),
        }
    }

    /// Applies what a poll reports and returns the orders.
    fn answer(&mut self, poll: Poll) -> Orders {
        self.polls += 1;
        for event in poll_events(self.now(), &self.cluster.ledger, &self.grants, &poll) {
            self.cluster.apply(event);
        }
        let withdrawals = Withdrawals::default();
        let orders = poll_orders(&self.cluster.ledger, &withdrawals, &poll, 1, SECOND);
        if let Some(incarnation) = &orders.incarnation {
            for at in [NOW, NOW + AGENT_TIMEOUT / 2] {
                self.grants.record(at, incarnation, poll.id);
            }
        }
        orders
    }

    /// A time at which the first grant is old enough to show that no other process polls.
    fn now(&self) -> Time {
        NOW + AGENT_TIMEOUT
    }

    fn is_registered(&self) -> bool {
        self.cluster.ledger.worker(&next_incarnation()).is_some()
    }
}

// A start that was on its way to the former incarnation was carried out by the next one, while the
// task had been given to another worker.
#[test]
fn poll_events_next_incarnation_frees_no_run_before_it_has_stopped_it() {
    let mut leader = Leader::new();
    assert!(
        poll_events(leader.now(), &leader.cluster.ledger, &leader.grants, &leader.poll())
            .is_empty()
    );
    let first = Poll { refused: vec![run(1, 0, 0, 1)], ..leader.poll() };
    assert_eq!(leader.answer(first).stops, [run(1, 0, 1, 1)]);
    assert!(leader.cluster.ledger.active_run(run(1, 0, 0, 1)).is_none());
    assert!(leader.cluster.ledger.active_run(run(1, 0, 1, 1)).is_some());
    assert!(!leader.is_registered());
    let second = Poll { refused: vec![run(1, 0, 1, 1)], ..leader.poll() };
    assert_eq!(leader.answer(second).lease, 1_000);
    assert!(leader.is_registered());
}

#[test]
fn poll_events_run_that_the_next_incarnation_has_completed_is_done() {
    let mut leader = Leader::new();
    let end = |number, index, outcome| RunEnd {
        number,
        run: run(1, 0, index, 1),
        outcome,
        checkpoint: "".into(),
    };
    let ends = vec![end(1, 0, RunOutcome::Done), end(2, 1, RunOutcome::Stopped)];
    leader.answer(Poll { ends, ..leader.poll() });
    assert!(leader.is_registered());
    let ledger = &leader.cluster.ledger;
    let done = |index| {
        ledger
            .job(run(1, 0, 0, 1).task.step.job)
            .unwrap()
            .task(run(1, 0, index, 1).task)
            .unwrap()
            .done
    };
    assert!(done(0) && !done(1));
    assert_eq!(leader.cluster.phase(1), Phase::Running);
}

#[test]
fn poll_orders_run_that_the_next_incarnation_runs_is_stopped() {
    let mut leader = Leader::new();
    let status = RunStatus { run: run(1, 0, 0, 1), checkpoint: "".into(), percent: 0, usage: 0 };
    let poll = Poll { running: vec![status], ..leader.poll() };
    assert_eq!(leader.answer(poll).stops, [run(1, 0, 0, 1), run(1, 0, 1, 1)]);
}

#[test]
fn poll_events_worker_without_runs_is_registered_at_once() {
    let mut leader = Leader::new();
    for index in 0..2 {
        leader.cluster.end(run(1, 0, index, 1), RunOutcome::Done);
    }
    let events = poll_events(leader.now(), &leader.cluster.ledger, &leader.grants, &leader.poll());
    assert!(matches!(events[..], [Event::WorkerUp(_)]), "{events:?}");
}

// A worker whose clock was set back started again, and each poll of its agent proposed the same
// record in vain and was answered at once, so that the agent and the log had no pause.
#[test]
fn poll_events_incarnation_that_looks_older_proposes_nothing_in_vain() {
    let mut cluster = Cluster::new(1, 1, 0);
    let worker = cluster.ledger.workers().next().unwrap().spec.clone();
    let younger = WorkerIncarnation { started_at: 5, ..incarnation(0) };
    cluster.apply(Event::WorkerUp(Box::new(WorkerSpec {
        incarnation: younger.clone(),
        ..worker.clone()
    })));
    let poll = Poll {
        agent: Instance::try_from("side-0").unwrap(),
        id: PollId::new(1, 1),
        relay: None,
        worker: Some(WorkerSpec {
            incarnation: WorkerIncarnation { started_at: 3, ..incarnation(0) },
            ..worker
        }),
        gone: vec![younger],
        running: Vec::new(),
        ends: Vec::new(),
        refused: Vec::new(),
        in_flight: Vec::new(),
    };
    // A new leader has granted nothing yet, so the lease rule decides on the younger one.
    let grants = Grants::default();
    for event in poll_events(NOW, &cluster.ledger, &grants, &poll) {
        cluster.apply(event);
    }
    assert_eq!(poll_events(NOW, &cluster.ledger, &grants, &poll), []);
}
