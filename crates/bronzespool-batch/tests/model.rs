//! Model check of all interleavings of a small system: a leader, an agent, its worker and the
//! messages between them, which may be lost, late, duplicated or reordered, while any of the three
//! may restart.
//!
//! One task is assigned to the worker. As soon as the leader considers the task free, it runs
//! elsewhere, and from then on the worker must not run it: no task runs twice. Nor may it run again
//! once its end was acknowledged. Each invariant is also shown to fail under an injected fault. A
//! worker that has restarted rejects calls for its former incarnation.

use {
    bronzespool_batch::{
        Event, JobId, Ledger, Record, RunId, StepId, TaskId, Withdrawals, WorkerIncarnation,
        agent::{
            Action, Limits, ListRequest, Listing, Reconciler, StartOutcome, StopOutcome,
            lease_duration_max,
        },
        config::{Config, Pool, Queue},
        exchange::{poll_events, poll_orders},
        grant::Grants,
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
/// Rate of the worker's clock, in percent of true time.
const CLOCK_RATE_PERCENT: u64 = 98;
/// Most moves of a history.
const MOVES_MAX: usize = 13;
/// Limits on the faults of a history, tried in turn; with fewer faults the search gets deeper.
const FAULT_LIMITS: [u8; 3] = [0, 1, 2];
/// Most states that are explored for each limit on faults.
const STATES_MAX: usize = 25_000;

/// Moves at the start of every history, after which the start order is on its way to the worker.
const INITIAL_MOVES: [Move; 4] = [Move::List, Move::Poll, Move::Deliver(0), Move::Deliver(0)];

/// A fault of the code that the model injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InjectedFault {
    None,
    /// The agent takes a start without an answer for a refused one.
    UnknownIsRefused,
    /// The leader considers leases as expired too soon.
    ShortLease,
    /// The agent counts leases from the arrival of orders instead of from when it sent its poll.
    LateGrant,
    /// The leader lets the worker forget an ended run that is not recorded.
    EarlyCursor,
    /// The agent starts runs by orders for an incarnation that has ended.
    FormerIncarnation,
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
    /// When its incarnation began.
    since: Time,
    highest_epoch: u64,
    /// Runs, each with the end of its lease on the worker's clock.
    runs: Vec<(RunId, u64)>,
    last_run: u32,
    ends: Vec<RunEnd>,
    last_number: u64,
}

impl Worker {
    fn clock(&self, now: Time) -> u64 {
        now.since(self.since).as_millis() as u64 * CLOCK_RATE_PERCENT / 100
    }

    fn end(&mut self, run: RunId, outcome: RunOutcome) {
        self.runs.retain(|(r, _)| *r != run);
        self.last_run = self.last_run.max(run.run);
        self.last_number += 1;
        self.ends.push(RunEnd { number: self.last_number, run, outcome, checkpoint: "".into() });
    }

    fn expire_leases(&mut self, now: Time) {
        let clock = self.clock(now);
        let over: Vec<_> = self.runs.iter().filter(|(_, u)| *u <= clock).map(|(r, _)| *r).collect();
        over.into_iter().for_each(|r| self.end(r, RunOutcome::Lapsed));
    }

    fn start(&mut self, now: Time, run: RunId, until: u64, epoch: u64) -> StartOutcome {
        if epoch < self.highest_epoch {
            return StartOutcome::Fenced(epoch);
        }
        self.highest_epoch = epoch;
        if self.runs.iter().any(|(r, _)| *r == run) {
            return StartOutcome::Present;
        }
        if run.run <= self.last_run {
            return StartOutcome::Old;
        }
        let limit = self.clock(now) + LIMITS.lease_max.as_millis() as u64;
        if until <= self.clock(now) {
            return StartOutcome::Late;
        }
        self.runs.push((run, until.min(limit)));
        StartOutcome::Present
    }

    fn stop(&mut self, run: RunId, epoch: u64) -> StopOutcome {
        if epoch < self.highest_epoch {
            return StopOutcome::Fenced(epoch);
        }
        self.last_run = self.last_run.max(run.run);
        if self.runs.iter().any(|(r, _)| *r == run) {
            self.end(run, RunOutcome::Stopped);
        }
        StopOutcome::Noted
    }

    fn list(&mut self, now: Time, request: &ListRequest) -> Option<Listing> {
        if request.epoch.unwrap_or(0) < self.highest_epoch {
            return None;
        }
        let limit = self.clock(now) + LIMITS.lease_max.as_millis() as u64;
        for (_, until) in &mut self.runs {
            *until = (*until).max(request.until.unwrap_or(0).min(limit));
        }
        self.ends.retain(|e| e.number > request.cursor);
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
            truncated: false,
        })
    }
}

/// A message in flight.
#[derive(Clone, Debug)]
enum Message {
    Poll(Time, Box<Poll>),
    Orders(Time, Box<Poll>, Box<Orders>),
    Call(Action),
    StartAnswer(WorkerIncarnation, RunId, StartOutcome),
    StopAnswer(WorkerIncarnation, RunId, StopOutcome),
}

#[derive(Clone, Debug)]
struct ModelState {
    injected: InjectedFault,
    now: Time,
    ledger: Ledger,
    epoch: u64,
    /// When this leader began, and when it last let the agent extend leases.
    leading_since: Time,
    granted: Option<Time>,
    grants: Grants,
    reconciler: Reconciler,
    seq: u64,
    worker: Worker,
    messages: Vec<Message>,
    faults: u8,
    faults_max: u8,
    /// Whether the task runs elsewhere because the leader considered it free.
    elsewhere: bool,
    /// Whether the worker was allowed to forget that the task is done.
    done: bool,
    /// Whether the agent has requested a list and sent a poll since time last passed.
    listed: bool,
    polled: bool,
    polls_sent: u32,
}

/// One move of the model.
#[derive(Clone, Copy, Debug)]
enum Move {
    /// The agent polls the leader.
    Poll,
    /// A message arrives.
    Deliver(usize),
    /// A message is carried out, but its sender does not learn of it.
    Unanswered(usize),
    /// A message arrives now, and again later.
    Duplicate(usize),
    /// A message is lost.
    Lose(usize),
    /// The agent requests the worker's list.
    List,
    /// The task completes.
    Finish,
    Tick,
    WorkerCrash,
    AgentCrash,
    NewLeader,
    Cancel,
}

impl ModelState {
    fn new(injected: InjectedFault, faults_max: u8) -> Self {
        let now = Time::from_secs(100);
        let worker = Worker {
            started_at: 1,
            since: now,
            highest_epoch: 0,
            runs: Vec::new(),
            last_run: 0,
            ends: Vec::new(),
            last_number: 0,
        };
        let mut state = Self {
            injected,
            now,
            ledger: Ledger::default(),
            epoch: 1,
            leading_since: now,
            granted: None,
            grants: Grants::default(),
            // The agent has run for long enough that no call of an earlier process is under way.
            reconciler: Reconciler::new(agent_name(), 1, LIMITS, Time::ZERO),
            seq: 0,
            worker,
            messages: Vec::new(),
            faults: 0,
            faults_max,
            elsewhere: false,
            done: false,
            listed: false,
            polled: false,
            polls_sent: 0,
        };
        state.apply(Event::Configured(Arc::new(config())));
        state.apply(Event::WorkerUp(Box::new(spec(1))));
        state.apply(Event::Submitted(Arc::new(job())));
        let assignment = Assignment {
            run: run(1),
            incarnation: incarnation(1),
            checkpoint: "".into(),
            permit: None,
        };
        state.apply(Event::Started(vec![assignment]));
        state.check_in();
        state
    }

    fn apply(&mut self, event: Event) {
        self.ledger.apply(&Record { at: self.now, events: vec![event] });
    }

    fn check_in(&mut self) {
        self.seq += 1;
        self.reconciler.check_in(self.now, spec(self.worker.started_at), self.seq);
    }

    fn moves(&self) -> Vec<Move> {
        let mut moves = vec![Move::Tick];
        if !self.listed {
            moves.push(Move::List);
        }
        if !self.polled {
            moves.push(Move::Poll);
        }
        moves.extend((0..self.messages.len()).map(Move::Deliver));
        if !self.worker.runs.is_empty() {
            moves.push(Move::Finish);
        }
        if self.faults < self.faults_max {
            moves.extend([Move::WorkerCrash, Move::AgentCrash, Move::NewLeader, Move::Cancel]);
            for (i, message) in self.messages.iter().enumerate() {
                moves.push(Move::Lose(i));
                if matches!(message, Message::Call(_)) {
                    moves.extend([Move::Unanswered(i), Move::Duplicate(i)]);
                }
            }
        }
        moves
    }

    fn apply_move(&mut self, next: Move) {
        match next {
            Move::Poll => {
                self.polled = true;
                self.polls_sent += 1;
                let poll = self.reconciler.poll(self.now, self.polls_sent);
                self.messages.push(Message::Poll(self.now, Box::new(poll)));
            }
            Move::Deliver(i) => {
                let message = self.messages.remove(i);
                self.deliver(message, false);
            }
            Move::Unanswered(i) => {
                self.faults += 1;
                let message = self.messages.remove(i);
                self.deliver(message, true);
            }
            Move::Duplicate(i) => {
                self.faults += 1;
                let message = self.messages[i].clone();
                self.deliver(message, false);
            }
            Move::Lose(i) => {
                self.faults += 1;
                // The sender of a call learns only that there is no answer; the call may still
                // arrive.
                if let Message::Call(action) = self.messages[i].clone() {
                    self.unanswered(&action);
                } else {
                    self.messages.remove(i);
                }
            }
            Move::List => {
                self.listed = true;
                self.list();
            }
            Move::Finish => {
                let run = self.worker.runs[0].0;
                self.worker.end(run, RunOutcome::Done);
            }
            Move::Tick => self.tick(),
            Move::WorkerCrash => {
                self.faults += 1;
                let started_at = self.worker.started_at + 1;
                self.worker = Worker {
                    started_at,
                    since: self.now,
                    ..ModelState::new(self.injected, 0).worker
                };
                self.check_in();
            }
            Move::AgentCrash => {
                self.faults += 1;
                self.reconciler =
                    Reconciler::new(agent_name(), self.seq as u32 + 7, LIMITS, self.now);
                self.check_in();
            }
            Move::NewLeader => {
                self.faults += 1;
                self.epoch += 1;
                (self.leading_since, self.granted) = (self.now, None);
                self.grants = Grants::default();
            }
            Move::Cancel => {
                self.faults += 1;
                self.apply(Event::Cancelled(JobId(1)));
            }
        }
        self.update_elsewhere();
    }

    fn tick(&mut self) {
        self.now += TICK;
        (self.listed, self.polled) = (false, false);
        self.worker.expire_leases(self.now);
        self.check_in();
        self.reconciler.expire(self.now);
        let lease_duration = match self.injected {
            InjectedFault::ShortLease => TICK / 2,
            _ => lease_duration_max(LEASE),
        };
        let incarnations: Vec<WorkerIncarnation> =
            self.ledger.workers().map(|w| w.spec.incarnation.clone()).collect();
        for incarnation in incarnations {
            if self.now.since(self.granted.unwrap_or(self.leading_since).max(self.leading_since))
                > lease_duration
            {
                self.apply(Event::WorkerGone(incarnation));
            }
        }
    }

    fn list(&mut self) {
        let Some(request) = self.reconciler.list_request(self.now) else { return };
        if request.incarnation != incarnation(self.worker.started_at) {
            return self.reconciler.list_unanswered(&request);
        }
        let ended = |w: &Worker| w.ends.iter().any(|e| e.outcome == RunOutcome::Done);
        let before = ended(&self.worker);
        match self.worker.list(self.now, &request) {
            Some(listing) => {
                self.done |= before && !ended(&self.worker);
                self.reconciler.receive_listing(self.now, &request, listing);
            }
            None => self.reconciler.fenced(request.epoch),
        }
    }

    fn deliver(&mut self, message: Message, unanswered: bool) {
        match message {
            Message::Poll(sent, poll) => {
                for event in poll_events(&self.ledger, &self.grants, &poll) {
                    self.apply(event);
                }
                let mut orders =
                    poll_orders(&self.ledger, &Withdrawals::default(), &poll, self.epoch, LEASE);
                if let Some(incarnation) = &orders.incarnation {
                    self.granted = Some(self.now);
                    self.grants.record(self.now, incarnation, poll.id);
                }
                if self.injected == InjectedFault::EarlyCursor {
                    orders.cursor += 1;
                }
                self.messages.push(Message::Orders(sent, poll, Box::new(orders)));
            }
            Message::Orders(sent, poll, mut orders) => {
                let sent = match self.injected {
                    InjectedFault::LateGrant => self.now,
                    _ => sent,
                };
                if self.injected == InjectedFault::FormerIncarnation {
                    orders.incarnation = Some(incarnation(self.worker.started_at));
                }
                self.reconciler.receive_orders(sent, &poll, *orders);
                let actions = self.reconciler.actions(self.now);
                self.messages.extend(actions.into_iter().map(Message::Call));
            }
            Message::Call(action) => self.call(&action, unanswered),
            Message::StartAnswer(incarnation, run, outcome) => {
                self.reconciler.start_answered(&incarnation, run, outcome);
            }
            Message::StopAnswer(incarnation, run, outcome) => {
                self.reconciler.stop_answered(self.now, &incarnation, run, outcome);
            }
        }
    }

    fn call(&mut self, action: &Action, unanswered: bool) {
        let here = incarnation(self.worker.started_at);
        let answer = match action {
            Action::Start { start, until, epoch, incarnation } => {
                let outcome =
                    if *incarnation == here || self.injected == InjectedFault::FormerIncarnation {
                        self.worker.start(self.now, start.run, *until, *epoch)
                    } else {
                        StartOutcome::Late
                    };
                Message::StartAnswer(incarnation.clone(), start.run, outcome)
            }
            Action::Stop { run, epoch, incarnation } if *incarnation == here => {
                let outcome = self.worker.stop(*run, *epoch);
                Message::StopAnswer(incarnation.clone(), *run, outcome)
            }
            Action::Stop { .. } | Action::Pace { .. } => return self.unanswered(action),
        };
        if unanswered {
            return self.unanswered(action);
        }
        self.messages.push(answer);
    }

    fn unanswered(&mut self, action: &Action) {
        match action {
            Action::Start { start, incarnation, .. } => {
                let outcome = match self.injected {
                    InjectedFault::UnknownIsRefused => StartOutcome::Refused,
                    _ => StartOutcome::Unknown,
                };
                self.reconciler.start_answered(incarnation, start.run, outcome);
            }
            Action::Stop { run, incarnation, .. } => {
                self.reconciler.stop_answered(self.now, incarnation, *run, StopOutcome::Unknown);
            }
            Action::Pace { .. } => {}
        }
    }

    /// The task runs elsewhere as soon as the leader considers it free.
    fn update_elsewhere(&mut self) {
        let job = self.ledger.job(JobId(1)).unwrap();
        let task = job.task(run(1).task).unwrap();
        self.elsewhere |= !task.done && task.active_runs.is_empty();
    }

    /// Returns an invariant that is violated.
    fn violation(&self) -> Option<&'static str> {
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

/// A violated invariant, and the history that violates it.
type Violation = (&'static str, Vec<Move>);

/// Explores all histories, the shortest first, with a rising limit on faults. Returns the first one
/// that violates an invariant, and the number of states seen.
fn explore(injected: InjectedFault) -> (Option<Violation>, usize) {
    let mut states = 0;
    for faults_max in FAULT_LIMITS {
        let (violation, seen) = explore_up_to(injected, faults_max);
        states += seen;
        if violation.is_some() {
            return (violation, states);
        }
    }
    (None, states)
}

fn explore_up_to(injected: InjectedFault, faults_max: u8) -> (Option<Violation>, usize) {
    let mut seen = HashSet::default();
    let mut first = ModelState::new(injected, faults_max);
    INITIAL_MOVES.into_iter().for_each(|m| first.apply_move(m));
    (first.listed, first.polled) = (false, false);
    let mut queue = VecDeque::from([(first, Vec::new())]);
    while let Some((state, path)) = queue.pop_front() {
        if path.len() == MOVES_MAX || seen.len() >= STATES_MAX {
            continue;
        }
        for candidate in state.moves() {
            let mut next = state.clone();
            next.apply_move(candidate);
            if !seen.insert(digest(&next)) {
                continue;
            }
            let mut path = path.clone();
            path.push(candidate);
            if let Some(invariant) = next.violation() {
                return (Some((invariant, path)), seen.len());
            }
            queue.push_back((next, path));
        }
    }
    (None, seen.len())
}

fn digest(state: &ModelState) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    format!("{state:?}").hash(&mut hasher);
    hasher.finish()
}

#[test]
fn explore_no_history_violates_an_invariant() {
    let (violation, states) = explore(InjectedFault::None);
    assert!(violation.is_none(), "{violation:#?}");
    println!("{states} states");
    assert!(states >= 10_000, "only {states} states were explored");
}

#[test]
fn explore_injected_faults_are_found() {
    let faults = [
        InjectedFault::UnknownIsRefused,
        InjectedFault::ShortLease,
        InjectedFault::LateGrant,
        InjectedFault::EarlyCursor,
        InjectedFault::FormerIncarnation,
    ];
    for injected in faults {
        let (violation, states) = explore(injected);
        assert!(violation.is_some(), "{injected:?} is not found in {states} states");
        println!("{injected:?}: {violation:?} after {states} states");
    }
}
