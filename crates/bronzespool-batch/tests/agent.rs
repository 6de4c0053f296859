//! The agent's reconciler: its calls to the worker and its reports to the leader.

use {
    bronzespool_batch::{
        JobId, RunId, StepId, TaskId, WorkerIncarnation,
        agent::{
            Action, ClockReading, Lease, Limits, ListFailure, ListRequest, Listing, Reconciler,
            StartOutcome, StopOutcome, lease_duration_max,
        },
        ledger::{RunEnd, RunOutcome, WorkerSpec},
        message::{Orders, Poll, RunStatus, Start},
        spec::Resources,
    },
    bronzespool_core::{Instance, Time},
    std::time::Duration,
};

const LIMITS: Limits =
    Limits { lease_max: Duration::from_secs(6), heartbeat_interval: Duration::from_millis(1_500) };
const LEASE_MILLIS: u64 = 8_000;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn incarnation(started_at: u64) -> WorkerIncarnation {
    WorkerIncarnation { worker: "w0".into(), started_at }
}

fn spec(started_at: u64, leaving: bool) -> WorkerSpec {
    WorkerSpec {
        incarnation: incarnation(started_at),
        agent: Instance::try_from("side-1").unwrap(),
        service: "desk".into(),
        center: "c1".into(),
        labels: vec!["a".into(), "r0".into()],
        capacity: Resources { cpu: 1_000, memory: 1_000, gpu: 1 },
        leaving,
    }
}

fn run(number: u32) -> RunId {
    let step = StepId { job: JobId(1), occurrence: 0, step: 0 };
    RunId { task: TaskId { step, index: 0 }, run: number }
}

fn start(number: u32) -> Start {
    Start { run: run(number), text: "".into(), checkpoint: "".into(), permit: None }
}

fn orders(epoch: u64, starts: Vec<Start>, stops: Vec<RunId>) -> Orders {
    Orders {
        epoch,
        incarnation: Some(incarnation(1)),
        cursor: 0,
        lease: LEASE_MILLIS,
        starts,
        stops,
        classes: Vec::new(),
    }
}

fn running(number: u32) -> RunStatus {
    RunStatus { run: run(number), checkpoint: "".into(), percent: 0, usage: 0 }
}

fn ended(number: u32, outcome: RunOutcome) -> RunEnd {
    RunEnd { number: 1, run: run(number), outcome, checkpoint: "".into() }
}

/// An agent whose worker has checked in and been listed.
struct Agent {
    reconciler: Reconciler,
    now: Time,
}

impl Agent {
    fn new() -> Self {
        let now = at(10_000);
        let mut reconciler = Reconciler::new(Instance::try_from("side-1").unwrap(), 7, LIMITS, now);
        assert!(reconciler.check_in(now, spec(1, false), 1));
        let mut agent = Self { reconciler, now };
        agent.list(Vec::new(), Vec::new());
        agent
    }

    /// Lets the time pass in which a start of an earlier process may still be carried out.
    fn outlive_former_calls(&mut self) {
        self.now += lease_duration_max(LIMITS.lease_max) + Duration::from_millis(1);
        self.list(Vec::new(), Vec::new());
    }

    fn list(&mut self, running: Vec<RunStatus>, ends: Vec<RunEnd>) -> ListRequest {
        let list = self.reconciler.list_request(self.now).unwrap();
        let clock = self.now.as_millis();
        let listing = Listing { started_at: Some(1), clock, running, ends, truncated: false };
        self.reconciler.receive_listing(self.now, &list, listing);
        list
    }

    /// Takes a list of another incarnation.
    fn list_of(&mut self, started_at: u64, running: Vec<RunStatus>) {
        let list = self.reconciler.list_request(self.now).unwrap();
        let clock = self.now.as_millis();
        let listing =
            Listing { started_at: Some(started_at), clock, running, ..Listing::default() };
        self.reconciler.receive_listing(self.now, &list, listing);
    }

    /// Takes a list that does not name all ended runs.
    fn list_truncated(&mut self, ends: Vec<RunEnd>) {
        let list = self.reconciler.list_request(self.now).unwrap();
        let clock = self.now.as_millis();
        let listing =
            Listing { started_at: Some(1), clock, ends, truncated: true, ..Listing::default() };
        self.reconciler.receive_listing(self.now, &list, listing);
    }

    fn order(&mut self, orders: Orders) -> Vec<Action> {
        let poll = self.reconciler.poll(self.now, 1);
        self.reconciler.receive_orders(self.now, &poll, orders);
        self.reconciler.actions(self.now)
    }

    fn poll(&self) -> Poll {
        self.reconciler.poll(self.now, 1)
    }
}

fn starts(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Start { .. })).count()
}

#[test]
fn actions_order_is_carried_out_once() {
    let mut a = Agent::new();
    assert_eq!(starts(&a.order(orders(3, vec![start(1)], Vec::new()))), 1);
    assert_eq!(a.poll().in_flight, [run(1)]);
    assert_eq!(starts(&a.order(orders(3, vec![start(1)], Vec::new()))), 0);
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Present);
    a.list(vec![running(1)], Vec::new());
    assert!(a.poll().in_flight.is_empty());
    assert_eq!(a.poll().running.len(), 1);
}

#[test]
fn actions_draining_worker_is_told_to_start_nothing() {
    let mut a = Agent::new();
    a.reconciler.check_in(a.now, spec(1, true), 2);
    // A former process may have started the run.
    let actions = a.order(orders(3, vec![start(1)], Vec::new()));
    assert!(matches!(actions[..], [Action::Stop { .. }]), "{actions:?}");
}

#[test]
fn actions_draining_worker_gives_up_what_it_was_never_told_to_start() {
    let mut a = Agent::new();
    a.outlive_former_calls();
    a.reconciler.check_in(a.now, spec(1, true), 2);
    assert!(a.order(orders(3, vec![start(1)], Vec::new())).is_empty());
    assert_eq!(a.poll().refused, [run(1)]);
}

#[test]
fn actions_old_orders_start_nothing() {
    let mut a = Agent::new();
    let poll = a.poll();
    let sent = a.now;
    a.now += Duration::from_secs(2);
    a.reconciler.receive_orders(sent, &poll, orders(3, vec![start(1)], vec![run(5)]));
    let actions = a.reconciler.actions(a.now);
    assert_eq!((starts(&actions), actions.len()), (0, 1), "a stop is never too late");
}

#[test]
fn actions_orders_for_another_incarnation_are_ignored() {
    let mut a = Agent::new();
    let other =
        Orders { incarnation: Some(incarnation(9)), ..orders(3, vec![start(1)], Vec::new()) };
    assert!(a.order(other).is_empty());
}

#[test]
fn receive_orders_older_epoch_is_ignored() {
    let mut a = Agent::new();
    a.order(orders(4, Vec::new(), Vec::new()));
    assert!(a.order(orders(3, vec![start(1)], Vec::new())).is_empty());
}

#[test]
fn fenced_orders_of_that_leader_are_ignored() {
    let mut a = Agent::new();
    a.order(orders(4, Vec::new(), Vec::new()));
    a.reconciler.fenced(a.now, Some(4));
    assert!(a.order(orders(4, vec![start(1)], Vec::new())).is_empty());
    assert_eq!(starts(&a.order(orders(5, vec![start(1)], Vec::new()))), 1);
}

#[test]
fn fenced_orders_of_the_same_leader_count_by_a_later_poll() {
    let mut a = Agent::new();
    a.order(orders(4, Vec::new(), Vec::new()));
    a.reconciler.fenced(a.now, Some(4));
    // A former process of the agent knew of a restart of the worker.
    a.now += Duration::from_millis(1);
    let actions = a.order(orders(4, vec![start(1)], Vec::new()));
    assert!(matches!(actions[..], [Action::Start { epoch, .. }] if epoch > u64::from(u32::MAX)));
    a.now += Duration::from_millis(1);
    assert!(a.order(orders(3, vec![start(2)], Vec::new())).is_empty());
}

#[test]
fn fenced_call_for_former_incarnation_leaves_orders_in_force() {
    let mut a = Agent::new();
    a.order(orders(4, Vec::new(), Vec::new()));
    assert!(a.reconciler.check_in(a.now, spec(2, false), 1));
    a.order(Orders { incarnation: Some(incarnation(2)), ..orders(4, Vec::new(), Vec::new()) });
    let token = a.reconciler.list_request(a.now).unwrap().epoch;
    a.reconciler.fenced(a.now, Some(4));
    assert_eq!(a.reconciler.list_request(a.now).unwrap().epoch, token);
}

#[test]
fn list_request_token_is_higher_for_the_next_incarnation_of_one_name() {
    let mut a = Agent::new();
    a.order(orders(4, Vec::new(), Vec::new()));
    assert_eq!(a.list(Vec::new(), Vec::new()).epoch, Some(4));
    assert!(a.reconciler.check_in(a.now, spec(2, false), 1));
    let first = a.reconciler.list_request(a.now).unwrap().epoch;
    assert_eq!(first, Some((1 << 32) + 4));
    // A check-in of the same incarnation is no restart.
    assert!(a.reconciler.check_in(a.now, spec(2, false), 2));
    assert_eq!(a.reconciler.list_request(a.now).unwrap().epoch, first);
}

#[test]
fn list_request_token_is_higher_after_an_answer_of_the_next_incarnation() {
    let mut a = Agent::new();
    a.order(orders(4, Vec::new(), Vec::new()));
    let list = a.reconciler.list_request(a.now).unwrap();
    let listing = Listing { started_at: Some(2), ..Listing::default() };
    a.reconciler.receive_listing(a.now, &list, listing);
    let first = a.reconciler.list_request(a.now).unwrap().epoch;
    assert_eq!(first, Some((1 << 32) + 4));
    assert!(a.reconciler.check_in(a.now, spec(2, false), 1));
    assert_eq!(a.reconciler.list_request(a.now).unwrap().epoch, first);
}

// The request would let the next incarnation forget ends that nobody has seen, and run on by the
// clock of the former one.
#[test]
fn list_request_after_an_answer_of_the_next_incarnation_acknowledges_and_extends_nothing() {
    let mut a = Agent::new();
    a.order(Orders { cursor: 1, ..orders(4, Vec::new(), Vec::new()) });
    let list = a.reconciler.list_request(a.now).unwrap();
    assert_eq!((list.cursor, list.until.is_some()), (1, true));
    let listing = Listing { started_at: Some(2), ..Listing::default() };
    a.reconciler.receive_listing(a.now, &list, listing);
    let list = a.reconciler.list_request(a.now).unwrap();
    assert_eq!((list.cursor, list.until), (0, None));
}

#[test]
fn list_request_token_of_a_worker_with_another_name_is_the_term() {
    let mut a = Agent::new();
    a.order(orders(4, Vec::new(), Vec::new()));
    let other = WorkerIncarnation { worker: "w1".into(), started_at: 2 };
    let spec = WorkerSpec { incarnation: other, ..spec(2, false) };
    assert!(a.reconciler.check_in(a.now, spec, 1));
    assert_eq!(a.reconciler.list_request(a.now).unwrap().epoch, Some(4));
}

#[test]
fn fenced_request_without_a_token_leaves_later_orders_in_force() {
    let now = at(10_000);
    let mut reconciler = Reconciler::new(Instance::try_from("side-1").unwrap(), 7, LIMITS, now);
    assert!(reconciler.check_in(now, spec(1, false), 1));
    // A restarted agent lists its worker before it has heard from the leader. The orders overtake
    // the rejection, which the worker gives since it has seen a token of the former agent.
    let list = reconciler.list_request(now).unwrap();
    assert_eq!(list.epoch, None);
    let mut a = Agent { reconciler, now };
    a.order(orders(4, Vec::new(), Vec::new()));
    a.reconciler.fenced(a.now, list.epoch);
    assert_eq!(a.list(Vec::new(), Vec::new()).epoch, Some(4));
    assert_eq!(starts(&a.order(orders(4, vec![start(1)], Vec::new()))), 1);
}

// A restarted agent asks the sender of a check-in again and again who it is. Each rejection voided the
// orders that were on the way, so that the agent never learnt the token that the worker accepts.
#[test]
fn identity_request_that_is_rejected_again_leaves_orders_on_the_way_in_force() {
    let mut a = Agent::new();
    a.order(orders(4, Vec::new(), Vec::new()));
    let ask_rejected = |a: &mut Agent| {
        a.now += Duration::from_millis(1);
        let token = a.reconciler.identity_request(&incarnation(1)).epoch;
        a.reconciler.fenced(a.now, token);
        a.now += Duration::from_millis(1);
    };
    ask_rejected(&mut a);
    let (sent, poll) = (a.now, a.poll());
    ask_rejected(&mut a);
    a.reconciler.receive_orders(sent, &poll, orders(4, Vec::new(), Vec::new()));
    let token = a.reconciler.identity_request(&incarnation(1)).epoch;
    assert_eq!(token, Some((1 << 32) + 4));
}

#[test]
fn start_answered_fenced_late_leaves_newer_orders_in_force() {
    let mut a = Agent::new();
    a.order(orders(4, vec![start(1)], Vec::new()));
    a.order(orders(5, Vec::new(), Vec::new()));
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Fenced(4));
    assert_eq!(a.list(Vec::new(), Vec::new()).epoch, Some(5));
    assert_eq!(starts(&a.order(orders(5, vec![start(1)], Vec::new()))), 1);
}

#[test]
fn start_answered_unknown_is_refused_only_after_a_stop() {
    let mut a = Agent::new();
    a.order(orders(3, vec![start(1)], Vec::new()));
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Unknown);
    assert!(a.poll().refused.is_empty());
    // The worker refuses another attempt while the first call may still be carried out.
    a.list(Vec::new(), Vec::new());
    assert_eq!(starts(&a.order(orders(3, vec![start(1)], Vec::new()))), 1);
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Refused);
    assert!(a.poll().refused.is_empty());
    assert_eq!(a.order(orders(3, Vec::new(), vec![run(1)])).len(), 1);
    a.reconciler.stop_answered(a.now, &incarnation(1), run(1), StopOutcome::Noted);
    a.list(Vec::new(), Vec::new());
    assert_eq!(a.poll().refused, [run(1)]);
}

// Each copy of a start that is on its way can outlive the run, and be carried out by the worker's
// next incarnation of the same name.
#[test]
fn start_answered_unknown_is_repeated_after_a_later_list() {
    let mut a = Agent::new();
    a.order(orders(3, vec![start(1)], Vec::new()));
    let earlier = a.reconciler.list_request(a.now).unwrap();
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Unknown);
    assert!(a.order(orders(3, vec![start(1)], Vec::new())).is_empty());
    let listing = Listing { started_at: Some(1), clock: a.now.as_millis(), ..Listing::default() };
    a.reconciler.receive_listing(a.now, &earlier, listing);
    assert!(a.order(orders(3, vec![start(1)], Vec::new())).is_empty());
    a.list(Vec::new(), Vec::new());
    assert!(a.poll().refused.is_empty());
    assert_eq!(starts(&a.order(orders(3, vec![start(1)], Vec::new()))), 1);
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Unknown);
    a.list(vec![running(1)], Vec::new());
    assert!(a.order(orders(3, vec![start(1)], Vec::new())).is_empty());
}

#[test]
fn start_answered_only_start_refused_is_reported_at_once() {
    let mut a = Agent::new();
    a.outlive_former_calls();
    a.order(orders(3, vec![start(1)], Vec::new()));
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Refused);
    assert_eq!(a.poll().refused, [run(1)]);
}

// The worker answered a second start of a running run with 503, and the run was given out again.
#[test]
fn start_answered_running_run_refused_again_is_not_reported() {
    let mut a = Agent::new();
    a.outlive_former_calls();
    a.order(orders(3, vec![start(1)], Vec::new()));
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Present);
    a.list(vec![running(1)], Vec::new());
    for action in a.order(orders(3, vec![start(1)], Vec::new())) {
        assert!(matches!(action, Action::Start { .. }), "{action:?}");
        a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Refused);
    }
    assert!(a.poll().refused.is_empty());
}

// A start of the former process was carried out late, after the worker had refused the next one.
#[test]
fn start_answered_refused_while_a_former_process_may_have_started_it_is_stopped_first() {
    let mut a = Agent::new();
    a.order(orders(3, vec![start(1)], Vec::new()));
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Refused);
    assert!(a.poll().refused.is_empty());
    let actions = a.order(orders(3, vec![start(1)], Vec::new()));
    assert!(matches!(actions[..], [Action::Stop { .. }]), "{actions:?}");
    a.reconciler.stop_answered(a.now, &incarnation(1), run(1), StopOutcome::Noted);
    a.list(Vec::new(), Vec::new());
    assert_eq!(a.poll().refused, [run(1)]);
}

#[test]
fn start_answered_refused_run_that_starts_late_is_kept() {
    let mut a = Agent::new();
    a.outlive_former_calls();
    a.order(orders(3, vec![start(1)], Vec::new()));
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Unknown);
    a.list(Vec::new(), Vec::new());
    assert_eq!(starts(&a.order(orders(3, vec![start(1)], Vec::new()))), 1);
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Refused);
    a.list(vec![running(1)], Vec::new());
    assert!(a.order(orders(3, vec![start(1)], Vec::new())).is_empty());
    assert!(a.poll().refused.is_empty());
}

// A worker that refused a start refused all stops too: the run was neither started nor given up.
#[test]
fn stop_answered_run_of_a_worker_that_refuses_stops_is_given_up_after_its_lease() {
    let mut a = Agent::new();
    a.outlive_former_calls();
    a.order(orders(3, vec![start(1)], Vec::new()));
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Unknown);
    for _ in 0..40 {
        a.now += Duration::from_millis(500);
        for action in a.order(orders(3, vec![start(1)], Vec::new())) {
            match action {
                Action::Start { .. } => {
                    a.reconciler.start_answered(
                        a.now,
                        &incarnation(1),
                        run(1),
                        StartOutcome::Refused,
                    );
                }
                Action::Stop { .. } => {
                    let refused = StopOutcome::Unknown;
                    a.reconciler.stop_answered(a.now, &incarnation(1), run(1), refused);
                }
                Action::Pace { .. } => {}
            }
        }
        a.list(Vec::new(), Vec::new());
        if a.poll().refused == [run(1)] {
            return;
        }
    }
    panic!("the run is not given up though each start's lease has ended");
}

#[test]
fn receive_listing_requested_before_the_answer_confirms_nothing() {
    let mut a = Agent::new();
    a.order(orders(3, vec![start(1)], Vec::new()));
    let before = a.reconciler.list_request(a.now).unwrap();
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Present);
    let listing = Listing { started_at: Some(1), clock: 10_000, ..Listing::default() };
    a.reconciler.receive_listing(a.now, &before, listing);
    assert!(a.poll().refused.is_empty());
    assert_eq!(a.poll().in_flight, [run(1)]);
}

// A run ended as done behind 500 other ends, was reported as not started and ran again.
#[test]
fn receive_listing_truncated_one_shows_no_run_as_refused() {
    let mut a = Agent::new();
    a.outlive_former_calls();
    a.order(orders(3, vec![start(1)], Vec::new()));
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Present);
    a.list_truncated(vec![ended(9, RunOutcome::Done)]);
    assert!(a.poll().refused.is_empty());
    a.order(orders(3, vec![start(1)], Vec::new()));
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Old);
    a.list(Vec::new(), vec![ended(1, RunOutcome::Done)]);
    let poll = a.poll();
    assert!(poll.refused.is_empty() && poll.in_flight.is_empty());
    assert_eq!(poll.ends, [ended(1, RunOutcome::Done)]);
}

// A list without a run whose start was answered freed the run, which another worker started.
#[test]
fn receive_listing_without_a_run_that_the_worker_has_is_no_refusal() {
    let mut a = Agent::new();
    a.outlive_former_calls();
    a.order(orders(3, vec![start(1)], Vec::new()));
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Present);
    a.list(Vec::new(), Vec::new());
    assert!(a.poll().refused.is_empty());
    a.now += Duration::from_millis(100);
    a.list(Vec::new(), Vec::new());
    assert_eq!(starts(&a.order(orders(3, vec![start(1)], Vec::new()))), 1);
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Old);
    a.list(Vec::new(), Vec::new());
    assert_eq!(a.poll().refused, [run(1)], "the worker itself says that the run is over");
}

// The next process of an agent did not know of the start, and took the refusal of another one.
#[test]
fn start_answered_refused_for_a_run_that_was_listed_is_not_reported() {
    let mut a = Agent::new();
    a.outlive_former_calls();
    a.list(vec![running(1)], Vec::new());
    a.list(Vec::new(), Vec::new());
    assert_eq!(starts(&a.order(orders(3, vec![start(1)], Vec::new()))), 1);
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Refused);
    assert!(a.poll().refused.is_empty());
}

// A worker that leaves had a run of the agent's former process, and one list did not name it.
#[test]
fn receive_orders_run_that_was_listed_is_stopped_on_a_leaving_worker() {
    let mut a = Agent::new();
    a.outlive_former_calls();
    a.list(vec![running(1)], Vec::new());
    assert!(a.reconciler.check_in(a.now, spec(1, true), 9));
    a.list(Vec::new(), Vec::new());
    let actions = a.order(orders(3, vec![start(1)], Vec::new()));
    assert!(matches!(actions[..], [Action::Stop { .. }]), "{actions:?}");
    assert!(a.poll().refused.is_empty());
}

// A run that was being stopped was freed by a list without it, before it had ended.
#[test]
fn stop_answered_run_that_is_not_listed_meanwhile_is_awaited() {
    let mut a = Agent::new();
    a.list(vec![running(1)], Vec::new());
    a.order(orders(3, Vec::new(), vec![run(1)]));
    a.reconciler.stop_answered(a.now, &incarnation(1), run(1), StopOutcome::Noted);
    a.list(Vec::new(), Vec::new());
    assert_eq!((a.poll().refused.len(), a.poll().in_flight.len()), (0, 1));
    a.now += Duration::from_millis(2_001);
    a.list(Vec::new(), Vec::new());
    assert_eq!(a.poll().refused, [run(1)]);
}

// A list named a run as running and as ended, and the run was started elsewhere.
#[test]
fn receive_listing_end_of_a_run_that_it_names_as_running_is_none_yet() {
    let mut a = Agent::new();
    let second = RunEnd { number: 2, ..ended(9, RunOutcome::Done) };
    let ends = vec![ended(1, RunOutcome::Stopped), second];
    a.list(vec![running(1)], ends.clone());
    assert!(a.poll().ends.is_empty(), "the second is not acknowledged before the first");
    a.list(Vec::new(), ends.clone());
    assert_eq!(a.poll().ends, ends);
}

#[test]
fn stop_answered_run_that_still_ends_is_not_refused() {
    let mut a = Agent::new();
    a.list(vec![running(1)], Vec::new());
    a.order(orders(3, Vec::new(), vec![run(1)]));
    a.reconciler.stop_answered(a.now, &incarnation(1), run(1), StopOutcome::Noted);
    a.list(vec![running(1)], Vec::new());
    assert_eq!(a.poll().in_flight, [run(1)], "the run takes a while to stop");
    a.list(Vec::new(), vec![ended(1, RunOutcome::Stopped)]);
    let poll = a.poll();
    assert!(poll.refused.is_empty() && poll.in_flight.is_empty());
    assert_eq!(poll.ends.len(), 1);
}

// A worker that shed load refused a stop every millisecond.
#[test]
fn stop_answered_failed_stop_is_repeated_after_a_pause() {
    let mut a = Agent::new();
    a.list(vec![running(1)], Vec::new());
    a.order(orders(3, Vec::new(), vec![run(1)]));
    a.reconciler.stop_answered(a.now, &incarnation(1), run(1), StopOutcome::Unknown);
    a.list(vec![running(1)], Vec::new());
    assert_eq!(a.poll().in_flight, [run(1)], "the leader orders nothing for it");
    assert!(a.order(orders(3, Vec::new(), vec![run(1)])).is_empty());
    a.now += Duration::from_millis(100);
    a.list(vec![running(1)], Vec::new());
    assert!(a.poll().in_flight.is_empty());
    assert_eq!(a.order(orders(3, Vec::new(), vec![run(1)])).len(), 1);
}

#[test]
fn list_request_acknowledges_recorded_ends_only() {
    let mut a = Agent::new();
    a.list(Vec::new(), vec![ended(1, RunOutcome::Done)]);
    assert_eq!(a.list(Vec::new(), vec![ended(1, RunOutcome::Done)]).cursor, 0);
    a.order(Orders { cursor: 1, ..orders(3, Vec::new(), Vec::new()) });
    assert_eq!(a.list(Vec::new(), Vec::new()).cursor, 1);
    assert!(a.poll().ends.is_empty());
}

// A list request of before a restart acknowledged ends of the next incarnation.
#[test]
fn list_request_acknowledges_each_end_once() {
    let mut a = Agent::new();
    a.list(Vec::new(), vec![ended(1, RunOutcome::Done)]);
    a.order(Orders { cursor: 1, ..orders(3, Vec::new(), Vec::new()) });
    let lost = a.reconciler.list_request(a.now).unwrap();
    a.reconciler.list_unanswered(a.now, &lost, ListFailure::Silent);
    assert_eq!(a.list(Vec::new(), Vec::new()).cursor, 1, "the first one had no answer");
    assert_eq!(a.list(Vec::new(), Vec::new()).cursor, 0);
}

#[test]
fn list_request_extends_leases_only_as_control_allows() {
    let mut a = Agent::new();
    assert_eq!(a.list(Vec::new(), Vec::new()).until, None, "no orders yet");
    a.order(orders(3, Vec::new(), Vec::new()));
    assert_eq!(a.list(Vec::new(), Vec::new()).until, Some(16_000));
    let granted = a.now;
    a.now = granted + Duration::from_millis(3_000);
    assert_eq!(
        a.list(Vec::new(), Vec::new()).until,
        Some(18_000),
        "the longest lease that the worker accepts"
    );
    a.now = granted + Duration::from_millis(9_000);
    assert_eq!(a.list(Vec::new(), Vec::new()).until, None);
}

#[test]
fn check_in_late_one_is_ignored() {
    let mut a = Agent::new();
    assert!(!a.reconciler.check_in(a.now, spec(1, true), 1));
    assert!(!a.reconciler.check_in(a.now, spec(0, true), 9));
    assert!(!a.reconciler.is_leaving());
}

// A late check-in of an earlier incarnation ended a worker that was cut off and ran on.
#[test]
fn check_in_incarnation_that_looks_older_counts_once_the_leases_of_the_silent_one_have_ended() {
    let mut a = Agent::new();
    a.order(orders(3, Vec::new(), Vec::new()));
    a.list(vec![running(1)], Vec::new());
    let list = a.reconciler.list_request(a.now).unwrap();
    a.reconciler.list_unanswered(a.now, &list, ListFailure::Silent);
    assert!(!a.reconciler.check_in(a.now, spec(0, false), 1));
    a.now += Duration::from_secs(5);
    assert!(!a.reconciler.check_in(a.now, spec(0, false), 2), "its leases have not ended");
    a.now += Duration::from_secs(2);
    assert!(a.reconciler.check_in(a.now, spec(0, false), 3));
    assert_eq!(a.poll().gone, [incarnation(1)]);
}

#[test]
fn check_in_worker_of_another_name_reports_the_old_one_gone() {
    let mut a = Agent::new();
    a.order(orders(3, vec![start(1)], Vec::new()));
    let mut other = spec(2, false);
    other.incarnation.worker = "w1".into();
    assert!(a.reconciler.check_in(a.now, other, 1));
    let poll = a.poll();
    assert_eq!(poll.gone, [incarnation(1)]);
    assert!(poll.in_flight.is_empty());
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Refused);
    assert!(a.poll().refused.is_empty(), "the answer is about the old incarnation");
}

// The clock had been set back between two workers: a late check-in of the one that was gone looked
// younger, and made the agent report the current one as gone, which ran on.
#[test]
fn check_in_late_one_of_a_worker_that_is_gone_ends_no_worker_that_looks_older() {
    let mut a = Agent::new();
    let list = a.reconciler.list_request(a.now).unwrap();
    a.reconciler.list_unanswered(a.now, &list, ListFailure::Silent);
    a.now += Duration::from_secs(7);
    let mut other = spec(0, false);
    other.incarnation.worker = "w1".into();
    assert!(a.reconciler.check_in(a.now, other.clone(), 1));
    assert!(!a.reconciler.check_in(a.now, spec(1, false), 9));
    assert_eq!(a.reconciler.incarnation(), Some(&other.incarnation));
    assert_eq!(a.poll().gone, [incarnation(1)]);
}

// As before, with a worker that was dropped before the next one checked in.
#[test]
fn check_in_late_one_of_a_worker_that_was_dropped_ends_no_worker_that_looks_older() {
    let mut a = Agent::new();
    let list = a.reconciler.list_request(a.now).unwrap();
    a.reconciler.list_unanswered(a.now, &list, ListFailure::Silent);
    a.now += Duration::from_secs(7);
    assert!(a.reconciler.expire(a.now));
    let mut other = spec(0, false);
    other.incarnation.worker = "w1".into();
    assert!(a.reconciler.check_in(a.now, other, 1));
    assert!(!a.reconciler.check_in(a.now, spec(1, false), 9));
    assert_eq!(a.poll().gone, [incarnation(1)]);
}

// As before, but the check-in that looked older was the late one: the worker that had been cut off
// comes back once the other one is gone.
#[test]
fn check_in_worker_that_was_replaced_comes_back_once_the_other_one_is_gone() {
    let mut a = Agent::new();
    let list = a.reconciler.list_request(a.now).unwrap();
    a.reconciler.list_unanswered(a.now, &list, ListFailure::Silent);
    a.now += Duration::from_secs(7);
    let mut other = spec(0, false);
    other.incarnation.worker = "w1".into();
    assert!(a.reconciler.check_in(a.now, other.clone(), 1));
    a.now += Duration::from_secs(7);
    assert!(a.reconciler.check_in(a.now, spec(1, false), 9));
    assert_eq!(a.poll().gone, [incarnation(1), other.incarnation]);
}

// A run that a late start began on the next incarnation was kept alive by the lease for the former
// one, beyond the time after which the leader gave its task to another worker.
#[test]
fn list_request_next_incarnation_is_not_leased_by_orders_for_the_former_one() {
    let mut a = Agent::new();
    a.order(orders(3, Vec::new(), Vec::new()));
    a.now += Duration::from_secs(4);
    assert!(a.reconciler.check_in(a.now, spec(2, false), 1));
    let first = a.reconciler.list_request(a.now).unwrap();
    let listing = |clock| Listing { started_at: Some(2), clock, ..Listing::default() };
    a.reconciler.receive_listing(a.now, &first, listing(200));
    a.now += Duration::from_secs(2);
    assert_eq!(a.reconciler.list_request(a.now).unwrap().until, None);
}

// A start that was sent to the former incarnation reached the next one under the same name.
#[test]
fn check_in_next_incarnation_of_the_same_name_reports_nothing_gone() {
    let mut a = Agent::new();
    a.order(orders(3, vec![start(1)], Vec::new()));
    assert!(a.reconciler.check_in(a.now, spec(2, false), 1));
    let poll = a.poll();
    assert!(poll.gone.is_empty() && poll.in_flight.is_empty());
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Refused);
    assert!(a.poll().refused.is_empty(), "the answer is about the old incarnation");
}

#[test]
fn receive_listing_of_another_incarnation_starts_nothing_more() {
    let mut a = Agent::new();
    let list = a.reconciler.list_request(a.now).unwrap();
    let listing = Listing { started_at: Some(2), clock: 1, ..Listing::default() };
    assert!(!a.reconciler.receive_listing(a.now, &list, listing));
    assert!(a.order(orders(3, vec![start(1)], vec![run(5)])).is_empty());
}

#[test]
fn expire_silent_worker_is_gone_after_its_lease() {
    let mut a = Agent::new();
    a.order(orders(3, Vec::new(), Vec::new()));
    a.list(Vec::new(), Vec::new());
    let last = a.now;
    let list = a.reconciler.list_request(a.now).unwrap();
    a.reconciler.list_unanswered(a.now, &list, ListFailure::Silent);
    a.now = last + Duration::from_millis(6_000);
    assert!(!a.reconciler.expire(a.now));
    a.now = last + lease_duration_max(LIMITS.lease_max) + Duration::from_millis(100);
    assert!(a.reconciler.expire(a.now));
    assert_eq!(a.poll().gone, [incarnation(1)]);
}

// The agent dropped a silent worker that came back, started a run by orders from before, and then
// reported the worker as gone.
#[test]
fn expire_orders_from_before_start_nothing_on_the_worker_that_came_back() {
    let mut a = Agent::new();
    a.order(orders(3, Vec::new(), Vec::new()));
    a.list(Vec::new(), Vec::new());
    let (sent, poll) = (a.now, a.poll());
    let list = a.reconciler.list_request(a.now).unwrap();
    a.reconciler.list_unanswered(a.now, &list, ListFailure::Silent);
    a.now += Duration::from_secs(7);
    assert!(a.reconciler.expire(a.now));
    assert!(a.reconciler.check_in(a.now, spec(1, false), 2));
    a.list(Vec::new(), Vec::new());
    a.reconciler.receive_orders(sent, &poll, orders(3, vec![start(1)], vec![run(5)]));
    assert!(a.reconciler.actions(a.now).is_empty());
    assert_eq!(a.list(Vec::new(), Vec::new()).until, None);
}

// The agent was suspended while it waited for the answer to a start, and read this refusal after it
// had dropped the worker, which came back, and had sent the start again.
#[test]
fn start_answered_refused_before_the_worker_was_dropped_settles_no_later_start() {
    let mut a = Agent::new();
    a.outlive_former_calls();
    assert_eq!(starts(&a.order(orders(3, vec![start(1)], Vec::new()))), 1);
    let list = a.reconciler.list_request(a.now).unwrap();
    a.reconciler.list_unanswered(a.now, &list, ListFailure::Silent);
    a.now += Duration::from_secs(7);
    assert!(a.reconciler.expire(a.now));
    assert!(a.reconciler.check_in(a.now, spec(1, false), 2));
    a.list(Vec::new(), Vec::new());
    a.now += Duration::from_millis(10);
    assert_eq!(starts(&a.order(orders(3, vec![start(1)], Vec::new()))), 1);
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Refused);
    assert!(a.poll().refused.is_empty(), "the second start may still be carried out");
    let actions = a.order(orders(3, vec![start(1)], Vec::new()));
    assert!(matches!(actions[..], [Action::Stop { .. }]), "{actions:?}");
}

#[test]
fn expire_answering_worker_stays() {
    let mut a = Agent::new();
    a.now += Duration::from_secs(60);
    a.list(Vec::new(), Vec::new());
    assert!(
        !a.reconciler.expire(a.now),
        "the worker answers requests for its list, though its check-ins are lost"
    );
}

#[test]
fn extend_slow_clock_never_outlives_the_grant() {
    arbtest::arbtest(|u| {
        // True time in milliseconds; the worker's clock runs at 98 % to 100 % of it.
        let rate = u.int_in_range(98..=100_u64)?;
        let clock = |t: u64| t * rate / 100;
        let span = Duration::from_millis(LEASE_MILLIS);
        let mut lease = Lease::default();
        let mut now = 100_000;
        let granted = now;
        for _ in 0..u.int_in_range(1..=8)? {
            let asked = now;
            now += u.int_in_range(0..=1_500)?;
            lease.read(ClockReading { clock: clock(asked), at: at(now) });
            now += u.int_in_range(0..=1_500)?;
            if let Some(until) = lease.extend(at(now), at(granted), span, LIMITS.lease_max) {
                let end = until * 100 / rate;
                assert!(
                    end <= granted + lease_duration_max(span).as_millis() as u64,
                    "{end} {granted}"
                );
                let over = end + 500 + LEASE_MILLIS;
                assert!(lease.has_expired(at(over), at(0), LIMITS.lease_max));
                assert!(!lease.has_expired(at(end.saturating_sub(500)), at(0), LIMITS.lease_max));
            }
        }
        Ok(())
    });
}

// A late start for the former incarnation is carried out by the next one while the agent cannot
// reach the leader, which gives the run to another worker.
#[test]
fn stray_stops_run_of_the_next_incarnation_is_stopped_without_orders() {
    let mut a = Agent::new();
    a.order(orders(4, vec![start(1)], Vec::new()));
    a.list(vec![running(1)], Vec::new());
    assert!(a.reconciler.stray_stops().is_empty());
    assert!(a.reconciler.check_in(a.now, spec(2, false), 1));
    assert!(a.reconciler.stray_stops().is_empty());
    a.list_of(2, vec![running(1)]);
    let stops = a.reconciler.stray_stops();
    assert!(matches!(stops[..], [Action::Stop { run: r, epoch, .. }] if r == run(1) && epoch > 4));
    assert!(a.reconciler.stray_stops().is_empty());
}

#[test]
fn stray_stops_runs_that_were_ordered_are_kept() {
    let mut a = Agent::new();
    assert!(a.reconciler.check_in(a.now, spec(2, false), 1));
    a.list_of(2, Vec::new());
    let next =
        Orders { incarnation: Some(incarnation(2)), ..orders(4, vec![start(1)], Vec::new()) };
    assert_eq!(starts(&a.order(next)), 1);
    let token = a.reconciler.list_request(a.now).unwrap().epoch;
    a.reconciler.start_answered(a.now, &incarnation(2), run(1), StartOutcome::Present);
    a.reconciler.fenced(a.now, token);
    a.list_of(2, vec![running(1)]);
    assert!(a.reconciler.stray_stops().is_empty());
}

// The next process of the agent cannot tell which process started a run.
#[test]
fn stray_stops_first_incarnation_of_a_process_keeps_its_runs() {
    let mut a = Agent::new();
    a.list(vec![running(1)], Vec::new());
    assert!(a.reconciler.stray_stops().is_empty());
}

/// Guards against a worker that joins a poll late: the poll in flight, which does not name it, would
/// wait at the leader for its full time.
#[test]
fn receive_listing_first_of_an_incarnation_is_news() {
    let mut reconciler =
        Reconciler::new(Instance::try_from("side-1").unwrap(), 7, LIMITS, at(10_000));
    reconciler.check_in(at(10_000), spec(1, false), 1);
    let mut list = |now| {
        let request = reconciler.list_request(at(now)).unwrap();
        let listing = Listing { started_at: Some(1), clock: now, ..Listing::default() };
        reconciler.receive_listing(at(now), &request, listing)
    };
    assert!(list(10_001));
    assert!(!list(10_002));
}

// A late message of a former incarnation that it ends was taken for one of the current one, which went on:
// it was sent no stops any more, and counted as leaving for good.
#[test]
fn leave_worker_that_answers_later_is_stopped_and_does_not_leave() {
    let mut a = Agent::new();
    a.order(orders(3, vec![start(1)], Vec::new()));
    a.reconciler.start_answered(a.now, &incarnation(1), run(1), StartOutcome::Present);
    a.list(vec![running(1)], Vec::new());
    let asked_before = a.reconciler.list_request(a.now).unwrap();
    assert!(a.reconciler.leave("w0", None));
    let listing = Listing { started_at: Some(1), clock: 20_000, ..Listing::default() };
    a.reconciler.receive_listing(a.now, &asked_before, listing);
    assert!(a.reconciler.has_departed(), "the answer may be older than the message");
    assert!(a.order(orders(3, Vec::new(), vec![run(1)])).is_empty());
    a.list(vec![running(1)], Vec::new());
    assert!(!a.reconciler.has_departed() && !a.reconciler.is_leaving());
    let actions = a.order(orders(3, Vec::new(), vec![run(1)]));
    assert!(matches!(&actions[..], [Action::Stop { run: stopped, .. }] if *stopped == run(1)));
    assert!(!a.poll().worker.unwrap().leaving);
}

#[test]
fn leave_worker_that_answers_no_more_is_gone_once_its_leases_have_ended() {
    let mut a = Agent::new();
    a.order(orders(3, Vec::new(), Vec::new()));
    a.list(Vec::new(), Vec::new());
    assert!(a.reconciler.leave("w0", Some(1)));
    a.now += Duration::from_secs(5);
    let list = a.reconciler.list_request(a.now).unwrap();
    a.reconciler.list_unanswered(a.now, &list, ListFailure::Absent);
    assert!(!a.reconciler.expire(a.now), "its leases have not ended");
    a.now += Duration::from_secs(7);
    assert!(a.reconciler.expire(a.now));
    assert!(a.reconciler.crash().is_none());
}

#[test]
fn leave_message_of_another_incarnation_changes_nothing() {
    let mut a = Agent::new();
    for (name, started_at) in [("w0", Some(0)), ("w0", Some(2)), ("w1", None), ("w1", Some(1))] {
        assert!(!a.reconciler.leave(name, started_at));
        assert!(!a.reconciler.has_departed());
    }
}
