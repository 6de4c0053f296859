//! Pace of the agent of a worker: whatever its worker answers, it polls the leader and calls the
//! worker with pauses.

use {
    bronzespool::{
        batch::{
            Config, Event, JobId, Ledger, Record, Resources, RunId, Step, StepId, TaskId,
            Withdrawals, WorkerIncarnation,
            agent::{Action, Limits, ListFailure, ListRequest, Listing, StartOutcome, StopOutcome},
            config::{Pool, Queue},
            exchange::{poll_events, poll_orders},
            grant::Grants,
            ledger::{Assignment, WorkerSpec},
            message::{Call as BatchCall, ControlMap, Poll, Reply as BatchReply, RunStatus},
            spec::JobSpec,
        },
        core::{Code, Instance, Time},
        wire::{
            bronzespool_capnp::control,
            frame,
            message::{Call, CallResult, Reply},
            serve::serve_bounded,
        },
    },
    bronzespoold::{
        batch::{Agent, AgentOptions, CheckIn, CheckInOutcome, LeaderClient, ListOutcome, Worker},
        clock::Clock,
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        task::{LocalSet, spawn_local},
        time::{Instant, sleep},
    },
};

const LIMITS: Limits =
    Limits { lease_max: Duration::from_secs(6), heartbeat_interval: Duration::from_millis(1_500) };
const LEASE: Duration = Duration::from_secs(8);
/// The leader's time, which stands still.
const NOW: Time = Time::from_secs(100);
/// Time for which the leader holds a poll for which it has no orders.
const ORDERS_WAIT: Duration = Duration::from_millis(400);
/// Longest wait for a condition; long enough for a busy host.
const WAIT_MAX: Duration = Duration::from_secs(40);
/// Time for which polls are counted.
const COUNT_TIME: Duration = Duration::from_secs(1);
/// Most polls in this time: one each 20 ms.
const POLLS_MAX: u32 = 50;

fn run(number: u32) -> RunId {
    let step = StepId { job: JobId(1), occurrence: 0, step: 0 };
    RunId { task: TaskId { step, index: 0 }, run: number }
}

fn incarnation(started_at: u64) -> WorkerIncarnation {
    WorkerIncarnation { worker: "w0".into(), started_at }
}

fn spec(leaving: bool) -> WorkerSpec {
    WorkerSpec {
        incarnation: incarnation(1),
        agent: Instance::try_from("side-1").unwrap(),
        service: "desk".into(),
        center: "c1".into(),
        labels: vec!["r0".into()],
        capacity: Resources { cpu: 1_000, memory: 1_000, gpu: 1 },
        leaving,
    }
}

fn check_in(spec: WorkerSpec, seq: u64) -> CheckIn {
    CheckIn { spec, seq, cold: Duration::ZERO, notice: None }
}

/// A ledger with the worker and a job of one task.
fn ledger() -> Ledger {
    let queue = Queue {
        name: "quota".into(),
        host: "desk.example".into(),
        prefix: "/quota/".into(),
        service: "desk".into(),
        priority: 0,
        attempts: 3,
        slack: 1_500,
        latency_target: 250,
        timeout: 3_000,
        public: true,
        advice: None,
    };
    let pool = Pool { name: "desk".into(), sheds_load: false, standby: false };
    let config = Config { version: 1, queues: vec![queue], pools: vec![pool], ..Config::default() };
    let need = Resources { cpu: 1, memory: 1, gpu: 1 };
    let job = JobSpec {
        id: JobId(1),
        queue: "quota".into(),
        team: None,
        text: "text".into(),
        steps: vec![Step { count: 1, need, estimate: 2_500, ..Step::default() }],
        times: 0,
        start: 0,
        interval: 0,
    };
    let events = vec![
        Event::Configured(Arc::new(config)),
        Event::WorkerUp(Box::new(spec(false))),
        Event::Submitted(Arc::new(job)),
    ];
    let mut ledger = Ledger::default();
    ledger.apply(&Record { at: NOW, events });
    ledger
}

/// A leader of one instance, which commits at once.
struct Leader {
    address: SocketAddr,
    ledger: RefCell<Ledger>,
    grants: RefCell<Grants>,
    polls: Cell<u32>,
}

impl Leader {
    async fn answer(&self, poll: &Poll) -> BatchReply {
        self.polls.set(self.polls.get() + 1);
        let events = poll_events(NOW, &self.ledger.borrow(), &self.grants.borrow(), poll);
        let has_events = !events.is_empty();
        self.ledger.borrow_mut().apply(&Record { at: NOW, events });
        let end = Instant::now() + ORDERS_WAIT;
        loop {
            let withdrawals = Withdrawals::default();
            let orders = poll_orders(&self.ledger.borrow(), &withdrawals, poll, 1, LEASE);
            let idle = orders.starts.is_empty() && orders.stops.is_empty();
            if has_events || !idle || Instant::now() >= end {
                if let Some(incarnation) = &orders.incarnation {
                    self.grants.borrow_mut().record(NOW, incarnation, poll.id);
                }
                return BatchReply::Orders(Box::new(orders));
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Assigns the run to the worker.
    fn assign(&self) {
        let assignment = Assignment {
            run: run(1),
            incarnation: incarnation(1),
            checkpoint: "".into(),
            permit: None,
        };
        let events = vec![Event::Started(vec![assignment])];
        self.ledger.borrow_mut().apply(&Record { at: NOW, events });
        assert!(self.ledger.borrow().active_run(run(1)).is_some());
    }
}

struct Server(Rc<Leader>);

impl control::Server for Server {
    async fn forward(
        self: Rc<Self>,
        params: control::ForwardParams,
        mut results: control::ForwardResults,
    ) -> Result<(), capnp::Error> {
        let call: Call = frame::decode(params.get()?.get_call()?).unwrap();
        let reply: CallResult = match call {
            Call::LocateControl => Ok(Reply::ControlMap(ControlMap {
                leader: Some(self.0.address),
                term: 1,
                members: vec![self.0.address],
                relays: Vec::new(),
            })),
            Call::Batch(BatchCall::Poll(poll)) => Ok(Reply::Batch(self.0.answer(&poll).await)),
            _ => Err(Code::ConfigInvalid.into()),
        };
        results.get().set_reply(&frame::encode(&reply));
        Ok(())
    }
}

/// What the worker answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answers {
    /// It starts runs.
    Starts,
    /// It runs a run that the leader does not know, and refuses to stop it.
    RefusesStops,
    /// It cannot be connected to for a start.
    Unreachable,
    /// It runs a run, in each incarnation, until it is stopped.
    RunsUntilStopped,
    /// It answers nothing.
    Silent,
}

struct FakeWorker {
    answers: Cell<Answers>,
    clock: Clock,
    /// Start time of the incarnation that answers.
    started_at: Cell<u64>,
    lists: Cell<u32>,
    stops: Cell<u32>,
}

/// The agent's client for the worker.
struct Client(Rc<FakeWorker>);

impl Worker for Client {
    async fn start(&self, _: &Action) -> StartOutcome {
        match self.0.answers.get() {
            Answers::Unreachable => StartOutcome::Late,
            _ => StartOutcome::Present,
        }
    }

    async fn stop(&self, _: &Action) -> StopOutcome {
        self.0.stops.set(self.0.stops.get() + 1);
        match self.0.answers.get() {
            Answers::RunsUntilStopped => StopOutcome::Noted,
            _ => StopOutcome::Unknown,
        }
    }

    async fn pace(&self, _: &Action) -> StopOutcome {
        StopOutcome::Noted
    }

    async fn list(&self, _: &ListRequest, wait: Duration) -> ListOutcome {
        sleep(wait).await;
        if self.0.answers.get() == Answers::Silent {
            return ListOutcome::Unanswered(ListFailure::Silent);
        }
        self.0.lists.set(self.0.lists.get() + 1);
        let status = RunStatus { run: run(9), checkpoint: "".into(), percent: 0, usage: 0 };
        let runs = match self.0.answers.get() {
            Answers::RefusesStops => self.0.started_at.get() == 1,
            Answers::RunsUntilStopped => self.0.stops.get() == 0,
            Answers::Starts | Answers::Unreachable | Answers::Silent => false,
        };
        ListOutcome::Listed(Listing {
            started_at: Some(self.0.started_at.get()),
            clock: self.0.clock.now().as_millis(),
            running: if runs { vec![status] } else { Vec::new() },
            ..Listing::default()
        })
    }
}

/// Starts an agent, changes its worker once that is listed, assigns a run while the agent takes a
/// message, and counts the agent's polls.
fn count_polls(
    answers: Answers,
    change: impl FnOnce(&FakeWorker),
    message: impl AsyncFnOnce(&Agent<Client>),
) -> u32 {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (ledger, grants) = (RefCell::new(ledger()), RefCell::default());
        let leader = Rc::new(Leader { address, ledger, grants, polls: Cell::new(0) });
        let server: control::Client = capnp_rpc::new_client(Server(Rc::clone(&leader)));
        spawn_local(serve_bounded(listener, server, |_| true));
        let clock = Clock::start();
        let (started_at, lists) = (Cell::new(1), Cell::new(0));
        let stops = Cell::new(0);
        let worker =
            Rc::new(FakeWorker { answers: answers.into(), clock, started_at, lists, stops });
        let options = AgentOptions {
            instance: Instance::try_from("side-1").unwrap(),
            limits: LIMITS,
            relay: None,
        };
        let leader_client = Rc::new(LeaderClient::new(clock, vec![address]));
        let agent = Agent::new(options, clock, leader_client, Client(Rc::clone(&worker)));
        agent.check_in(check_in(spec(false), 1)).await;
        agent.start();
        wait_listed(&worker).await;
        change(&worker);
        wait_listed(&worker).await;
        leader.assign();
        message(&agent).await;
        sleep(ORDERS_WAIT).await;
        let before = leader.polls.get();
        sleep(COUNT_TIME).await;
        leader.polls.get() - before
    }))
}

/// Waits until the worker has answered a list that was requested after this call.
async fn wait_listed(worker: &FakeWorker) {
    let lists = worker.lists.get();
    let end = Instant::now() + WAIT_MAX;
    while worker.lists.get() < lists + 2 {
        assert!(Instant::now() < end, "the agent lists its worker");
        sleep(Duration::from_millis(20)).await;
    }
}

#[test]
fn run_polls_worker_that_starts_runs_polls_with_pauses() {
    let polls = count_polls(Answers::Starts, |_| {}, async |_| {});
    assert!(polls <= POLLS_MAX, "{polls} polls in {COUNT_TIME:?}");
}

// A worker that refused to stop a run was called, and the leader polled, without a pause.
#[test]
fn run_polls_worker_that_refuses_stops_polls_with_pauses() {
    let polls = count_polls(Answers::RefusesStops, |_| {}, async |_| {});
    assert!(polls <= POLLS_MAX, "{polls} polls in {COUNT_TIME:?}");
}

// An order to start a run on a worker that had begun to drain was repeated without a pause.
#[test]
fn run_polls_draining_worker_polls_with_pauses() {
    let polls = count_polls(
        Answers::Starts,
        |_| {},
        async |agent| {
            agent.check_in(check_in(spec(true), 2)).await;
        },
    );
    assert!(polls <= POLLS_MAX, "{polls} polls in {COUNT_TIME:?}");
}

// A worker that could not be connected to was called without a pause until it counted as silent.
#[test]
fn run_polls_unreachable_worker_polls_with_pauses() {
    let polls = count_polls(Answers::Unreachable, |_| {}, async |_| {});
    assert!(polls <= POLLS_MAX, "{polls} polls in {COUNT_TIME:?}");
}

// From the answer of the next incarnation until its check-in, the agent got an order that it did not
// carry out, and polled without a pause.
#[test]
fn run_polls_worker_whose_next_incarnation_answers_polls_with_pauses() {
    let polls = count_polls(Answers::Starts, |worker| worker.started_at.set(2), async |_| {});
    assert!(polls <= POLLS_MAX, "{polls} polls in {COUNT_TIME:?}");
}

/// Returns an agent, its worker, and the address of a leader that answers nothing.
async fn agent_without_leader(
    answers: Answers,
) -> (Rc<Agent<Client>>, Rc<FakeWorker>, TcpListener) {
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let clock = Clock::start();
    let leader_client = Rc::new(LeaderClient::new(clock, vec![silent.local_addr().unwrap()]));
    let (started_at, lists, stops) = (Cell::new(1), Cell::new(0), Cell::new(0));
    let worker = Rc::new(FakeWorker { answers: answers.into(), clock, started_at, lists, stops });
    let instance = Instance::try_from("side-1").unwrap();
    let options = AgentOptions { instance, limits: LIMITS, relay: None };
    let agent = Agent::new(options, clock, leader_client, Client(Rc::clone(&worker)));
    (agent, worker, silent)
}

// A start for the former incarnation was carried out by the next one, and ran on while the agent
// could not reach the leader.
#[test]
fn run_listing_next_incarnation_is_stopped_without_the_leader() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        let (agent, worker, _leader) = agent_without_leader(Answers::RunsUntilStopped).await;
        agent.check_in(check_in(spec(false), 1)).await;
        agent.start();
        wait_listed(&worker).await;
        assert_eq!(worker.stops.get(), 0);
        worker.started_at.set(2);
        let next = WorkerSpec { incarnation: incarnation(2), ..spec(false) };
        agent.check_in(check_in(next, 1)).await;
        wait_listed(&worker).await;
        wait_listed(&worker).await;
        assert_eq!(worker.stops.get(), 1);
    }));
}

// A check-in of another writer, under a name and start time of its own, made the agent report its sound
// worker as gone, and the leader start its task a second time.
#[test]
fn check_in_another_writer_does_not_replace_the_worker_that_answers() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        let (agent, _worker, _leader) = agent_without_leader(Answers::Starts).await;
        let mut foreign = WorkerSpec { incarnation: incarnation(99), ..spec(false) };
        let outcome = agent.check_in(check_in(foreign.clone(), 1)).await;
        assert_eq!(outcome, CheckInOutcome::Foreign, "also before the worker's first check-in");
        assert_eq!(agent.check_in(check_in(spec(false), 1)).await, CheckInOutcome::Noted);
        for name in ["w0", "other"] {
            foreign.incarnation.worker = name.into();
            let outcome = agent.check_in(check_in(foreign.clone(), 1)).await;
            assert_eq!(outcome, CheckInOutcome::Foreign);
            let outcome = agent.check_in(check_in(spec(false), 2)).await;
            assert!(matches!(outcome, CheckInOutcome::Noted | CheckInOutcome::Late));
        }
    }));
}

// After a restart of the agent the worker rejects its calls until the leader has answered a poll. The
// check-in was lost if that took longer than it waits, and the worker stayed unknown until the next one.
#[test]
fn check_in_worker_that_is_identified_late_is_taken() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(async {
        let (agent, worker, _leader) = agent_without_leader(Answers::Silent).await;
        agent.start();
        assert_eq!(agent.check_in(check_in(spec(false), 1)).await, CheckInOutcome::Unidentified);
        worker.answers.set(Answers::Starts);
        wait_listed(&worker).await;
        assert_eq!(agent.check_in(check_in(spec(false), 1)).await, CheckInOutcome::Late, "known");
    }));
}
