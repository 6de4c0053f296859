//! All interleavings of a small world: a leader, an agent, its worker, and the messages between
//! them, which may be lost, late, doubled or reordered, while any of the three starts again.
//!
//! One task is given to the worker. As soon as the leader takes it for free, it runs elsewhere, and
//! from then on the worker must not run it: no task runs twice. Nor may it start once its end was
//! acknowledged. Each promise is seen failing under a planted fault. A worker that has started again
//! refuses calls for its former life.

use {
    bronzespool_batch::{
        Event, JobId, Ledger, Record, RunId, StepId, TaskId, WorkerIncarnation,
        agent::{
            Action, Limits, ListRequest, Listing, Reconciler, StartOutcome, StopOutcome,
            lease_duration_max,
        },
        config::{Config, Pool, Queue},
        exchange::{poll_events, poll_orders},
        ledger::{Assignment, RunEnd, RunOutcome, WorkerSpec},
        message::{Orders, Poll, RunStatus},
        spec::{JobSpec, Resources, Step},
    },
    bronzespool_core::{HashSet, Instance, Time},
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

const LIMITS: Limits =
    Limits { lease_max: Duration::from_secs(2), heartbeat_interval: Duration::from_millis(600) };
/// Time for which the leader lets an agent extend leases.
const LEASE: Duration = Duration::from_millis(1_500);
/// Time that passes in one move.
const TICK: Duration = Duration::from_secs(1);
/// Rate of the worker's clock in percent.
const RATE: u64 = 98;
/// Most moves of a history.
const DEPTH: usize = 13;
/// Most faults of a history: without any, histories are followed further.
const FAULTS: [u8; 3] = [0, 1, 2];
/// Most states that are looked at, for each number of faults.
const STATES: usize = 25_000;

/// Moves with which every history begins: the start is on its way to the worker.
const BEGIN: [Move; 4] = [Move::Look, Move::Poll, Move::Deliver(0), Move::Deliver(0)];

/// A fault of the code that the model plants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Planted {
    None,
    /// The agent takes a start without an answer for one that was refused.
    UnknownIsRefused,
    /// The leader takes leases for ended too soon.
    ShortLease,
    /// The agent reckons leases from when orders arrive, not from when it asked.
    LateGrant,
    /// The leader allows the worker to forget an end that is not recorded.
    EarlyCursor,
    /// The agent starts on orders of a life that is over.
    FormerLife,
}

fn run(number: u32) -> RunId {
    let step = StepId { job: JobId(1), occurrence: 0, step: 0 };
    RunId { task: TaskId { step, index: 0 }, run: number }
}

fn agent_name() -> Instance {
    Instance::try_from("side-1").unwrap()
}

fn incarnation(started_at: u64) -> WorkerIncarnation {
    WorkerIncarnation { worker: "w0".into(), started_at }
}

fn spec(started_at: u64) -> WorkerSpec {
    WorkerSpec {
        incarnation: incarnation(started_at),
        agent: agent_name(),
        service: "desk".into(),
        center: "c1".into(),
        labels: vec!["r0".into()],
        capacity: Resources { cpu: 1_000, memory: 1_000, gpu: 1 },
        leaving: false,
    }
}

/// The worker, as its interface describes it.
#[derive(Clone, Debug)]
struct Worker {
    started_at: u64,
    /// When its life began.
    since: Time,
    fence: u64,
    /// End of the lease of what runs, on its clock.
    runs: Vec<(RunId, u64)>,
    past: u32,
    ends: Vec<RunEnd>,
    numbers: u64,
}

impl Worker {
    fn clock(&self, now: Time) -> u64 {
        now.since(self.since).as_millis() as u64 * RATE / 100
    }

    fn end(&mut self, run: RunId, how: RunOutcome) {
        self.runs.retain(|(r, _)| *r != run);
        self.past = self.past.max(run.run);
        self.numbers += 1;
        self.ends.push(RunEnd { number: self.numbers, run, outcome: how, checkpoint: "".into() });
    }

    fn lapse(&mut self, now: Time) {
        let clock = self.clock(now);
        let over: Vec<_> = self.runs.iter().filter(|(_, u)| *u <= clock).map(|(r, _)| *r).collect();
        over.into_iter().for_each(|r| self.end(r, RunOutcome::Lapsed));
    }

    fn start(&mut self, now: Time, run: RunId, until: u64, epoch: u64) -> StartOutcome {
        if epoch < self.fence {
            return StartOutcome::Fenced;
        }
        self.fence = epoch;
        if self.runs.iter().any(|(r, _)| *r == run) {
            return StartOutcome::Present;
        }
        if run.run <= self.past {
            return StartOutcome::Old;
        }
        let most = self.clock(now) + LIMITS.lease_max.as_millis() as u64;
        if until <= self.clock(now) {
            return StartOutcome::Late;
        }
        self.runs.push((run, until.min(most)));
        StartOutcome::Present
    }

    fn stop(&mut self, run: RunId, epoch: u64) -> StopOutcome {
        if epoch < self.fence {
            return StopOutcome::Fenced;
        }
        self.past = self.past.max(run.run);
        if self.runs.iter().any(|(r, _)| *r == run) {
            self.end(run, RunOutcome::Stopped);
        }
        StopOutcome::Noted
    }

    fn look(&mut self, now: Time, look: &ListRequest) -> Option<Listing> {
        if look.epoch.unwrap_or(0) < self.fence {
            return None;
        }
        let most = self.clock(now) + LIMITS.lease_max.as_millis() as u64;
        for (_, until) in &mut self.runs {
            *until = (*until).max(look.until.unwrap_or(0).min(most));
        }
        self.ends.retain(|e| e.number > look.cursor);
        let held = |(run, _): &(RunId, u64)| RunStatus {
            run: *run,
            checkpoint: "".into(),
            percent: 0,
            usage: 0,
        };
        Some(Listing {
            started_at: Some(self.started_at),
            clock: self.clock(now),
            running: self.runs.iter().map(held).collect(),
            ends: self.ends.clone(),
        })
    }
}

/// Something on its way.
#[derive(Clone, Debug)]
enum Message {
    Poll(Time, Box<Poll>),
    Orders(Time, Box<Poll>, Box<Orders>),
    Call(Action),
    StartVerdict(WorkerIncarnation, RunId, StartOutcome),
    StopVerdict(WorkerIncarnation, RunId, StopOutcome),
}

#[derive(Clone, Debug)]
struct World {
    planted: Planted,
    now: Time,
    ledger: Ledger,
    epoch: u64,
    /// When this leader began, and when it last let the agent extend leases.
    led: Time,
    granted: Option<Time>,
    desk: Reconciler,
    seq: u64,
    worker: Worker,
    messages: Vec<Message>,
    faults: u8,
    most: u8,
    /// Whether the task runs elsewhere, since the leader took it for free.
    elsewhere: bool,
    /// Whether the worker was allowed to forget that the task is done.
    done: bool,
    /// Whether the agent has looked and asked since time passed last.
    looked: bool,
    asked: bool,
}

/// One move.
#[derive(Clone, Copy, Debug)]
enum Move {
    /// The agent asks for orders.
    Poll,
    /// The message arrives.
    Deliver(usize),
    /// The message is carried out, and whoever sent it does not learn of it.
    Mute(usize),
    /// The message arrives, and again later.
    Double(usize),
    /// The message is lost.
    Lose(usize),
    /// The agent looks at the worker's list.
    Look,
    /// The task comes to its end.
    Finish,
    Tick,
    WorkerCrash,
    AgentCrash,
    NewLeader,
    Cancel,
}

impl World {
    fn new(planted: Planted, most: u8) -> Self {
        let now = Time::from_secs(100);
        let worker = Worker {
            started_at: 1,
            since: now,
            fence: 0,
            runs: Vec::new(),
            past: 0,
            ends: Vec::new(),
            numbers: 0,
        };
        let mut world = Self {
            planted,
            now,
            ledger: Ledger::default(),
            epoch: 1,
            led: now,
            granted: None,
            desk: Reconciler::new(agent_name(), 1, LIMITS, now),
            seq: 0,
            worker,
            messages: Vec::new(),
            faults: 0,
            most,
            elsewhere: false,
            done: false,
            looked: false,
            asked: false,
        };
        world.apply(Event::Configured(Arc::new(config())));
        world.apply(Event::WorkerUp(Box::new(spec(1))));
        world.apply(Event::Submitted(Arc::new(job())));
        let given = Assignment {
            run: run(1),
            incarnation: incarnation(1),
            checkpoint: "".into(),
            permit: None,
        };
        world.apply(Event::Started(vec![given]));
        world.check_in();
        world
    }

    fn apply(&mut self, event: Event) {
        self.ledger.apply(&Record { at: self.now, events: vec![event] });
    }

    fn check_in(&mut self) {
        self.seq += 1;
        self.desk.check_in(self.now, spec(self.worker.started_at), self.seq);
    }

    fn moves(&self) -> Vec<Move> {
        let mut moves = vec![Move::Tick];
        if !self.looked {
            moves.push(Move::Look);
        }
        if !self.asked {
            moves.push(Move::Poll);
        }
        moves.extend((0..self.messages.len()).map(Move::Deliver));
        if !self.worker.runs.is_empty() {
            moves.push(Move::Finish);
        }
        if self.faults < self.most {
            moves.extend([Move::WorkerCrash, Move::AgentCrash, Move::NewLeader, Move::Cancel]);
            for (i, message) in self.messages.iter().enumerate() {
                moves.push(Move::Lose(i));
                if matches!(message, Message::Call(_)) {
                    moves.extend([Move::Mute(i), Move::Double(i)]);
                }
            }
        }
        moves
    }

    fn play(&mut self, step: Move) {
        match step {
            Move::Poll => {
                self.asked = true;
                let poll = self.desk.poll(self.now);
                self.messages.push(Message::Poll(self.now, Box::new(poll)));
            }
            Move::Deliver(i) => {
                let message = self.messages.remove(i);
                self.deliver(message, false);
            }
            Move::Mute(i) => {
                self.faults += 1;
                let message = self.messages.remove(i);
                self.deliver(message, true);
            }
            Move::Double(i) => {
                self.faults += 1;
                let message = self.messages[i].clone();
                self.deliver(message, false);
            }
            Move::Lose(i) => {
                self.faults += 1;
                // The sender of a call learns only that there is no answer; it may still arrive.
                if let Message::Call(action) = self.messages[i].clone() {
                    self.unanswered(&action);
                } else {
                    self.messages.remove(i);
                }
            }
            Move::Look => {
                self.looked = true;
                self.look();
            }
            Move::Finish => {
                let run = self.worker.runs[0].0;
                self.worker.end(run, RunOutcome::Done);
            }
            Move::Tick => self.tick(),
            Move::WorkerCrash => {
                self.faults += 1;
                let started_at = self.worker.started_at + 1;
                self.worker =
                    Worker { started_at, since: self.now, ..World::new(self.planted, 0).worker };
                self.check_in();
            }
            Move::AgentCrash => {
                self.faults += 1;
                self.desk = Reconciler::new(agent_name(), self.seq + 7, LIMITS, self.now);
                self.check_in();
            }
            Move::NewLeader => {
                self.faults += 1;
                self.epoch += 1;
                (self.led, self.granted) = (self.now, None);
            }
            Move::Cancel => {
                self.faults += 1;
                self.apply(Event::Cancelled(JobId(1)));
            }
        }
        self.free();
    }

    fn tick(&mut self) {
        self.now += TICK;
        (self.looked, self.asked) = (false, false);
        self.worker.lapse(self.now);
        self.check_in();
        self.desk.expire(self.now);
        let over = match self.planted {
            Planted::ShortLease => TICK / 2,
            _ => lease_duration_max(LEASE),
        };
        let lives: Vec<WorkerIncarnation> =
            self.ledger.workers().map(|w| w.spec.incarnation.clone()).collect();
        for incarnation in lives {
            if self.now.since(self.granted.unwrap_or(self.led).max(self.led)) > over {
                self.apply(Event::WorkerGone(incarnation));
            }
        }
    }

    fn look(&mut self) {
        let Some(look) = self.desk.list_request(self.now) else { return };
        if look.incarnation != incarnation(self.worker.started_at) {
            return self.desk.list_unanswered(&look);
        }
        let ended = |w: &Worker| w.ends.iter().any(|e| e.outcome == RunOutcome::Done);
        let before = ended(&self.worker);
        match self.worker.look(self.now, &look) {
            Some(listing) => {
                self.done |= before && !ended(&self.worker);
                self.desk.receive_listing(self.now, &look, listing);
            }
            None => self.desk.fenced(),
        }
    }

    fn deliver(&mut self, message: Message, mute: bool) {
        match message {
            Message::Poll(sent, poll) => {
                for event in poll_events(&self.ledger, &poll) {
                    self.apply(event);
                }
                let mut orders = poll_orders(&self.ledger, &poll, self.epoch, LEASE);
                if orders.incarnation.is_some() {
                    self.granted = Some(self.now);
                }
                if self.planted == Planted::EarlyCursor {
                    orders.cursor += 1;
                }
                self.messages.push(Message::Orders(sent, poll, Box::new(orders)));
            }
            Message::Orders(sent, poll, mut orders) => {
                let sent = match self.planted {
                    Planted::LateGrant => self.now,
                    _ => sent,
                };
                if self.planted == Planted::FormerLife {
                    orders.incarnation = Some(incarnation(self.worker.started_at));
                }
                self.desk.receive_orders(sent, &poll, *orders);
                let actions = self.desk.actions(self.now);
                self.messages.extend(actions.into_iter().map(Message::Call));
            }
            Message::Call(action) => self.call(&action, mute),
            Message::StartVerdict(incarnation, run, verdict) => {
                self.desk.start_answered(&incarnation, run, verdict);
            }
            Message::StopVerdict(incarnation, run, verdict) => {
                self.desk.stop_answered(self.now, &incarnation, run, verdict);
            }
        }
    }

    fn call(&mut self, action: &Action, mute: bool) {
        let here = incarnation(self.worker.started_at);
        let verdict = match action {
            Action::Start { start, until, epoch, incarnation } => {
                let verdict = if *incarnation == here || self.planted == Planted::FormerLife {
                    self.worker.start(self.now, start.run, *until, *epoch)
                } else {
                    StartOutcome::Late
                };
                Message::StartVerdict(incarnation.clone(), start.run, verdict)
            }
            Action::Stop { run, epoch, incarnation } if *incarnation == here => {
                let verdict = self.worker.stop(*run, *epoch);
                Message::StopVerdict(incarnation.clone(), *run, verdict)
            }
            Action::Stop { .. } | Action::Pace { .. } => return self.unanswered(action),
        };
        if mute {
            return self.unanswered(action);
        }
        self.messages.push(verdict);
    }

    fn unanswered(&mut self, action: &Action) {
        match action {
            Action::Start { start, incarnation, .. } => {
                let verdict = match self.planted {
                    Planted::UnknownIsRefused => StartOutcome::Refused,
                    _ => StartOutcome::Unknown,
                };
                self.desk.start_answered(incarnation, start.run, verdict);
            }
            Action::Stop { run, incarnation, .. } => {
                self.desk.stop_answered(self.now, incarnation, *run, StopOutcome::Unknown);
            }
            Action::Pace { .. } => {}
        }
    }

    /// The task runs elsewhere as soon as the leader takes it for free.
    fn free(&mut self) {
        let job = self.ledger.job(JobId(1)).unwrap();
        let task = job.task(run(1).task).unwrap();
        self.elsewhere |= !task.done && task.active_runs.is_empty();
    }

    /// A promise that is broken.
    fn broken(&self) -> Option<&'static str> {
        let runs = !self.worker.runs.is_empty();
        match () {
            () if runs && self.elsewhere => Some("the task runs twice"),
            () if self.done && (runs || self.elsewhere) => {
                Some("the task runs again after its end was acknowledged")
            }
            () => None,
        }
    }
}

fn config() -> Config {
    Config {
        version: 1,
        queues: vec![Queue {
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
        }],
        pools: vec![Pool { name: "desk".into(), sheds_load: false, standby: false }],
        ..Config::default()
    }
}

fn job() -> JobSpec {
    let need = Resources { cpu: 1, memory: 1, gpu: 1 };
    JobSpec {
        id: JobId(1),
        queue: "quota".into(),
        team: None,
        text: "text".into(),
        steps: vec![Step { count: 1, need, estimate: 2_500, ..Step::default() }],
        times: 0,
        start: 0,
        interval: 0,
    }
}

/// A promise that is broken, and the history that breaks it.
type Broken = (&'static str, Vec<Move>);

/// Looks at all histories, the shortest first, with more and more faults; returns the first that
/// breaks a promise, and how many states were seen.
fn explore(planted: Planted) -> (Option<Broken>, usize) {
    let mut states = 0;
    for most in FAULTS {
        let (broken, seen) = explore_with(planted, most);
        states += seen;
        if broken.is_some() {
            return (broken, states);
        }
    }
    (None, states)
}

fn explore_with(planted: Planted, most: u8) -> (Option<Broken>, usize) {
    let mut seen = HashSet::default();
    let mut first = World::new(planted, most);
    BEGIN.into_iter().for_each(|step| first.play(step));
    (first.looked, first.asked) = (false, false);
    let mut queue = VecDeque::from([(first, Vec::new())]);
    while let Some((world, path)) = queue.pop_front() {
        if path.len() == DEPTH || seen.len() >= STATES {
            continue;
        }
        for step in world.moves() {
            let mut next = world.clone();
            next.play(step);
            if !seen.insert(digest(&next)) {
                continue;
            }
            let mut path = path.clone();
            path.push(step);
            if let Some(promise) = next.broken() {
                return (Some((promise, path)), seen.len());
            }
            queue.push_back((next, path));
        }
    }
    (None, seen.len())
}

fn digest(world: &World) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    format!("{world:?}").hash(&mut hasher);
    hasher.finish()
}

#[test]
fn explore_no_history_breaks_a_promise() {
    let (broken, states) = explore(Planted::None);
    assert!(broken.is_none(), "{broken:#?}");
    println!("{states} states");
    assert!(states >= 10_000, "{states} states are hardly all");
}

#[test]
fn explore_planted_faults_are_found() {
    let faults = [
        Planted::UnknownIsRefused,
        Planted::ShortLease,
        Planted::LateGrant,
        Planted::EarlyCursor,
        Planted::FormerLife,
    ];
    for planted in faults {
        let (broken, states) = explore(planted);
        assert!(broken.is_some(), "{planted:?} is not found in {states} states");
        println!("{planted:?}: {broken:?} after {states} states");
    }
}
