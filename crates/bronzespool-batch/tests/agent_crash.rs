//! What an agent takes for a crash of its worker, and what it reports of it.

use {
    bronzespool_batch::{
        JobId, RunId, StepId, TaskId, WorkerIncarnation,
        agent::{Action, Limits, ListFailure, Listing, Reconciler, StartOutcome},
        crash::CrashedRun,
        ledger::WorkerSpec,
        message::{Orders, RunStatus, Start},
        spec::Resources,
    },
    bronzespool_core::{Instance, Time},
    std::time::Duration,
};

const LIMITS: Limits =
    Limits { lease_max: Duration::from_secs(6), heartbeat_interval: Duration::from_millis(1_500) };

fn incarnation(worker: &str, started_at: u64) -> WorkerIncarnation {
    WorkerIncarnation { worker: worker.into(), started_at }
}

fn spec(incarnation: WorkerIncarnation, leaving: bool) -> WorkerSpec {
    WorkerSpec {
        incarnation,
        agent: Instance::try_from("side-1").unwrap(),
        service: "desk".into(),
        center: "c1".into(),
        labels: vec!["r0".into()],
        capacity: Resources { cpu: 1_000, memory: 1_000, gpu: 8 },
        leaving,
    }
}

fn run(index: u32) -> RunId {
    let step = StepId { job: JobId(1), occurrence: 0, step: 0 };
    RunId { task: TaskId { step, index }, run: 1 }
}

fn status(run: RunId) -> RunStatus {
    RunStatus { run, checkpoint: "".into(), percent: 0, usage: 0 }
}

/// An agent whose worker `w0`, started at 1, has checked in and been listed.
struct Agent {
    reconciler: Reconciler,
    now: Time,
    listed: Vec<RunStatus>,
}

impl Agent {
    fn new() -> Self {
        let now = Time::from_millis(10_000);
        let mut reconciler = Reconciler::new(Instance::try_from("side-1").unwrap(), 7, LIMITS, now);
        assert!(reconciler.check_in(now, spec(incarnation("w0", 1), false), 1));
        let mut agent = Self { reconciler, now, listed: Vec::new() };
        agent.list();
        agent
    }

    fn pass(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    fn list(&mut self) {
        let request = self.reconciler.list_request(self.now).unwrap();
        let (running, clock) = (self.listed.clone(), self.now.as_millis());
        let listing = Listing { started_at: Some(1), clock, running, ..Listing::default() };
        self.reconciler.receive_listing(self.now, &request, listing);
    }

    /// Sends starts, each of which has an outcome.
    fn start(&mut self, runs: &[RunId], outcome: StartOutcome) {
        let none = || "".into();
        let starts =
            runs.iter().map(|r| Start { run: *r, text: none(), checkpoint: none(), permit: None });
        let orders = Orders {
            epoch: 3,
            incarnation: Some(incarnation("w0", 1)),
            cursor: 0,
            lease: 8_000,
            starts: starts.collect(),
            stops: Vec::new(),
            classes: Vec::new(),
        };
        let poll = self.reconciler.poll(self.now, 1);
        self.reconciler.receive_orders(self.now, &poll, orders);
        for action in self.reconciler.actions(self.now) {
            let Action::Start { start, incarnation, .. } = action else { continue };
            self.reconciler.start_answered(self.now, &incarnation, start.run, outcome);
            if outcome == StartOutcome::Present {
                self.listed.push(status(start.run));
            }
        }
    }

    fn fail_list(&mut self, failure: ListFailure) {
        let request = self.reconciler.list_request(self.now).unwrap();
        self.reconciler.list_unanswered(self.now, &request, failure);
    }

    /// Lets the next incarnation check in; returns the runs of the crash that is to be reported.
    fn replaced_by(&mut self, next: WorkerIncarnation) -> Option<Vec<CrashedRun>> {
        assert!(self.reconciler.check_in(self.now, spec(next, false), 1));
        self.reconciler.crash().map(|c| {
            assert_eq!(c.incarnation, incarnation("w0", 1));
            c.runs.clone()
        })
    }
}

#[test]
fn crash_closed_connection_and_next_worker_is_reported_with_ages() {
    let mut a = Agent::new();
    a.start(&[run(0)], StartOutcome::Present);
    a.pass(5_000);
    a.list();
    a.start(&[run(1)], StartOutcome::Present);
    a.pass(10);
    a.fail_list(ListFailure::Closed);
    a.pass(3_000);
    a.fail_list(ListFailure::Closed);
    let runs = a.replaced_by(incarnation("w9", 9)).unwrap();
    let ages: Vec<_> = runs.iter().map(|r| (r.run, r.age)).collect();
    assert_eq!(ages, [(run(0), Some(5_010)), (run(1), Some(10))]);
}

#[test]
fn crash_worker_back_under_its_name_is_reported() {
    let mut a = Agent::new();
    a.start(&[run(0)], StartOutcome::Present);
    a.fail_list(ListFailure::Closed);
    assert!(a.replaced_by(incarnation("w0", 2)).is_some());
}

// A worker may crash before it answers the start.
#[test]
fn crash_run_without_an_answer_has_no_age() {
    let mut a = Agent::new();
    a.start(&[run(0)], StartOutcome::Unknown);
    a.pass(4_000);
    a.fail_list(ListFailure::Closed);
    let runs = a.replaced_by(incarnation("w9", 9)).unwrap();
    assert_eq!(runs, [CrashedRun { run: run(0), age: None }]);
}

#[test]
fn crash_run_that_was_never_sent_is_not_named() {
    let mut a = Agent::new();
    a.pass(10_000);
    a.list();
    a.start(&[run(0)], StartOutcome::Late);
    a.fail_list(ListFailure::Closed);
    assert_eq!(a.replaced_by(incarnation("w9", 9)), None);
}

#[test]
fn crash_restart_behind_a_cut_is_none() {
    for failures in
        [[ListFailure::Silent, ListFailure::Absent], [ListFailure::Closed, ListFailure::Silent]]
    {
        let mut a = Agent::new();
        a.start(&[run(0)], StartOutcome::Present);
        failures.into_iter().for_each(|f| a.fail_list(f));
        assert_eq!(a.replaced_by(incarnation("w0", 2)), None, "{failures:?}");
    }
}

// A worker that leaves some calls unanswered is not cut off: an answer to another call, or a
// connection that it closes, shows that it was there when it crashed.
#[test]
fn crash_after_calls_without_an_answer_is_reported() {
    let since = [
        [ListFailure::Silent, ListFailure::Refused, ListFailure::Absent],
        [ListFailure::Silent, ListFailure::Closed, ListFailure::Absent],
    ];
    for failures in since {
        let mut a = Agent::new();
        a.start(&[run(0)], StartOutcome::Unknown);
        failures.into_iter().for_each(|f| a.fail_list(f));
        assert!(a.replaced_by(incarnation("w9", 9)).is_some(), "{failures:?}");
    }
    let mut a = Agent::new();
    a.fail_list(ListFailure::Silent);
    a.start(&[run(0)], StartOutcome::Present);
    a.fail_list(ListFailure::Absent);
    assert!(a.replaced_by(incarnation("w9", 9)).is_some());
}

#[test]
fn crash_worker_that_leaves_is_none() {
    let mut a = Agent::new();
    a.start(&[run(0)], StartOutcome::Present);
    a.reconciler.check_in(a.now, spec(incarnation("w0", 1), true), 2);
    a.fail_list(ListFailure::Closed);
    assert_eq!(a.replaced_by(incarnation("w9", 9)), None);
}

#[test]
fn crash_worker_that_answers_again_is_none() {
    let mut a = Agent::new();
    a.start(&[run(0)], StartOutcome::Present);
    a.fail_list(ListFailure::Closed);
    a.list();
    a.fail_list(ListFailure::Silent);
    assert_eq!(a.replaced_by(incarnation("w9", 9)), None);
}

// An agent that lost power together with its worker has not seen it.
#[test]
fn crash_of_a_worker_of_before_the_agent_is_none() {
    let now = Time::from_millis(10_000);
    let mut reconciler = Reconciler::new(Instance::try_from("side-1").unwrap(), 7, LIMITS, now);
    reconciler.check_in(now, spec(incarnation("w9", 9), false), 1);
    assert_eq!(reconciler.crash(), None);
}

#[test]
fn crash_worker_that_does_not_come_back_is_reported_after_its_leases() {
    let mut a = Agent::new();
    a.start(&[run(0)], StartOutcome::Present);
    for _ in 0..20 {
        a.pass(1_000);
        if a.reconciler.expire(a.now) {
            break;
        }
        a.fail_list(ListFailure::Closed);
    }
    assert_eq!(a.reconciler.incarnation(), None);
    assert!(a.reconciler.crash().is_some());
}

// A run that an earlier process of the agent has started keeps its age between lists.
#[test]
fn crash_run_of_a_former_process_has_the_age_since_its_first_list() {
    let mut a = Agent::new();
    a.listed.push(status(run(0)));
    for _ in 0..5 {
        a.list();
        a.pass(1_000);
    }
    a.fail_list(ListFailure::Closed);
    let runs = a.replaced_by(incarnation("w9", 9)).unwrap();
    assert_eq!(runs, [CrashedRun { run: run(0), age: Some(5_000) }]);
}

#[test]
fn crash_unreported_is_repeated_for_a_while() {
    let mut a = Agent::new();
    a.start(&[run(0)], StartOutcome::Present);
    a.fail_list(ListFailure::Closed);
    a.replaced_by(incarnation("w9", 9));
    let former = incarnation("w0", 1);
    let repeated = (0..100).take_while(|_| a.reconciler.crash_unreported(&former)).count();
    assert!((5..20).contains(&repeated), "{repeated}");
    assert_eq!(a.reconciler.crash(), None);
}

#[test]
fn crash_reported_is_not_repeated() {
    let mut a = Agent::new();
    a.start(&[run(0)], StartOutcome::Present);
    a.fail_list(ListFailure::Closed);
    a.replaced_by(incarnation("w9", 9));
    a.reconciler.crash_reported(&incarnation("w0", 1));
    assert_eq!(a.reconciler.crash(), None);
}

// Tasks were given to a worker that had crashed, and waited until it was back.
#[test]
fn poll_names_no_worker_that_is_down() {
    let mut a = Agent::new();
    a.start(&[run(0)], StartOutcome::Present);
    a.fail_list(ListFailure::Closed);
    assert!(a.reconciler.poll(a.now, 1).worker.is_some(), "a reset of one connection");
    a.pass(300);
    a.fail_list(ListFailure::Absent);
    assert!(a.reconciler.poll(a.now, 2).worker.is_none());
    a.list();
    assert!(a.reconciler.poll(a.now, 3).worker.is_some());
}

#[test]
fn poll_names_a_worker_that_was_cut_off_briefly() {
    let mut a = Agent::new();
    a.fail_list(ListFailure::Silent);
    a.pass(1_000);
    assert!(a.reconciler.poll(a.now, 1).worker.is_some());
}
