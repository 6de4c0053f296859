//! One state of the small system, its successors and what must hold in it.

use {
    bronzespool_core::{Capacity, Code, Digest, Instance, Key, Kind, Service, Team, Time},
    bronzespool_flow::{
        admit::{Admission, AdmissionLimits, Attempt, AttemptId, AttemptStatus, StartDecision},
        claim::{
            Answer, AnswerBody, Claim, ClaimChange, ClaimId, ClaimOutcome, ClaimRecord,
            ClaimRequest, ClaimState, Claims, Completion, Decision, Incarnation, Retention,
        },
    },
    std::{collections::BTreeSet, time::Duration},
};

const LIFE: Duration = Duration::from_secs(10);
const RETENTION: Retention = Retention {
    record_time: Duration::from_secs(100),
    key_time: Duration::from_secs(1_000_000),
    records_max: 9,
    fingerprints_max: 9,
    answer_bytes: 9,
    total_bytes: 99,
};

/// Bounds of the exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Bounds {
    /// Crashes of each agent.
    pub crashes: [u64; 2],
    /// Seconds that the world steps through: attempts expire 10 s after their claim, outcomes are
    /// forgotten 10 s later, records expire after 100 s.
    pub(crate) times: &'static [u64],
    /// Changes of the first agent's session: it ends, it is renewed.
    pub(crate) sessions: u32,
    /// Claims that control proposes.
    pub proposals: u32,
    /// Calls of the one request at each entry.
    pub requests: [u32; 2],
}

/// A message; it stays in the network for ever.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Claim { entry: usize, nonce: u32, target: (usize, u64), expires: Time },
    Won { entry: usize, nonce: u32, name: Name },
    Lost { entry: usize, nonce: u32, name: Name, state: Told },
    Refused { entry: usize, nonce: u32 },
    Start(usize, Name),
    Started(usize, Name, Told),
    Fence(usize, Name),
    Fenced(usize, Name, Told),
    Release(usize, Name),
    Settle(Name, Vec<u8>),
    Gone(usize, u64),
}

/// An attempt: number, agent, incarnation, expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Name {
    attempt: u32,
    agent: usize,
    number: u64,
    expires: Time,
}

/// What an entry is told of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Told {
    NotRun,
    Unknown,
    Open,
    Done(Vec<u8>),
}

/// What an entry does for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Entry {
    Idle,
    Claiming,
    Waiting(Name),
    Fencing(Name),
    Releasing(Name),
}

/// The whole system.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct World {
    bounds: Bounds,
    time: usize,
    network: BTreeSet<Message>,
    claims: Claims,
    pending: Vec<(usize, u32, ClaimRecord)>,
    agents: [Admission; 2],
    running: BTreeSet<(usize, Name)>,
    entries: [Entry; 2],
    nonces: [u32; 2],
    starts: Vec<Name>,
    refused: BTreeSet<Name>,
    answers: BTreeSet<Vec<u8>>,
}

fn id() -> ClaimId {
    ClaimId {
        team: Team::try_from("t").unwrap(),
        service: Service::try_from("s").unwrap(),
        kind: Kind::try_from("k").unwrap(),
        key: Key::try_from("key").unwrap(),
    }
}

fn incarnation(agent: usize, number: u64) -> Incarnation {
    let name = ["a", "b"][agent];
    Incarnation { instance: Instance::try_from(name).unwrap(), number }
}

fn admission(agent: usize, number: u64) -> Admission {
    let capacity = Capacity { slots: 1, connections: 1, ..Capacity::default() };
    let limits = AdmissionLimits {
        expiry_max: LIFE,
        outcome_time: Duration::from_secs(10),
        attempts_max: 3,
        answer_bytes: 99,
    };
    let mut admission = Admission::new(incarnation(agent, number), &capacity, limits);
    admission.set_session_end(Time::MAX);
    admission
}

fn answer(bytes: &[u8]) -> Answer {
    Answer { status: 200, content_type: "".into(), body: AnswerBody::Whole(bytes.into()) }
}

fn bytes(answer: &Answer) -> Vec<u8> {
    match &answer.body {
        AnswerBody::Whole(bytes) => bytes.to_vec(),
        AnswerBody::Digest { .. } => panic!("a small answer is kept whole"),
    }
}

impl Name {
    fn id(self) -> AttemptId {
        let target = incarnation(self.agent, self.number);
        AttemptId { claim: id(), attempt: self.attempt, target, expires: self.expires }
    }

    fn of(claim: &Claim) -> Self {
        let agent = usize::from(claim.target.instance.as_str() == "b");
        let number = claim.target.number;
        Self { attempt: claim.attempt, agent, number, expires: claim.expires }
    }

    fn answer(self) -> Vec<u8> {
        vec![self.agent as u8, self.number as u8, self.attempt as u8]
    }
}

impl Told {
    fn state(state: &ClaimState) -> Self {
        match state {
            ClaimState::Open => Self::Open,
            ClaimState::Released => Self::NotRun,
            ClaimState::Sealed(_) => Self::Unknown,
            ClaimState::Done(answer) => Self::Done(bytes(answer)),
        }
    }

    fn status(status: &AttemptStatus) -> Self {
        match status {
            AttemptStatus::Unseen => panic!("a fence leaves nothing unseen"),
            AttemptStatus::Fenced | AttemptStatus::Finished(Completion::NotRun(_)) => Self::NotRun,
            AttemptStatus::Started
            | AttemptStatus::Forgotten
            | AttemptStatus::Finished(Completion::Unknown(_)) => Self::Unknown,
            AttemptStatus::Finished(Completion::Answered(answer)) => Self::Done(bytes(answer)),
        }
    }
}

impl World {
    pub(crate) fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            time: 0,
            network: BTreeSet::new(),
            claims: Claims::default(),
            pending: Vec::new(),
            agents: [admission(0, 1), admission(1, 1)],
            running: BTreeSet::new(),
            entries: [Entry::Idle, Entry::Idle],
            nonces: [0, 0],
            starts: Vec::new(),
            refused: BTreeSet::new(),
            answers: BTreeSet::new(),
        }
    }

    /// A world in which an attempt at the second agent was fenced and released long ago. All of
    /// its messages may still arrive.
    pub(crate) fn after_release(bounds: Bounds) -> Self {
        let mut world = Self::new(bounds);
        let name = Name { attempt: 1, agent: 1, number: 1, expires: world.now() + LIFE };
        world.request(1, 0, (1, 1), name.expires);
        world = world.commit().unwrap();
        world.send(Message::Start(1, name));
        world.send(Message::Fence(1, name));
        world.agents[1].fence(world.now(), &name.id());
        world.send(Message::Release(1, name));
        world.complete(name, &Completion::NotRun(Code::Fenced));
        world.time = bounds.times.len() - 1;
        world.expire().unwrap()
    }

    /// What must hold in every state.
    pub(crate) fn check(&self) {
        assert!(self.starts.len() <= 1, "started twice: {self:#?}");
        for name in &self.refused {
            assert!(!self.starts.contains(name), "started after 'not run': {self:#?}");
        }
        for told in &self.answers {
            let own = self.starts.iter().any(|name| name.answer() == *told);
            assert!(own, "an answer of no start: {self:#?}");
        }
    }

    /// Every state that one step leads to.
    pub(crate) fn successors(&self) -> Vec<Self> {
        let mut next: Vec<_> = self.network.iter().map(|m| self.deliver(m)).collect();
        next.extend((0..2).flat_map(|entry| self.entry_steps(entry)));
        next.extend(self.running.iter().map(|(agent, name)| self.finish(*agent, *name)));
        next.extend((0..2).filter_map(|agent| self.crash(agent)));
        next.extend(self.change_session());
        next.extend(self.commit());
        next.extend(self.lose_pending());
        next.extend(self.pass_time());
        next.extend(self.expire());
        next
    }

    fn now(&self) -> Time {
        Time::from_secs(self.bounds.times[self.time])
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next.forget();
        next
    }

    /// Drops replies to calls that have ended: no one takes them.
    fn forget(&mut self) {
        let network = std::mem::take(&mut self.network);
        let taken = |message: &Message| match message {
            Message::Won { entry, nonce, .. }
            | Message::Lost { entry, nonce, .. }
            | Message::Refused { entry, nonce } => self.awaits(*entry, *nonce),
            Message::Started(entry, name, _) => self.entries[*entry] == Entry::Waiting(*name),
            Message::Fenced(entry, name, _) => self.entries[*entry] == Entry::Fencing(*name),
            _ => true,
        };
        self.network = network.into_iter().filter(taken).collect();
    }

    fn send(&mut self, message: Message) {
        self.network.insert(message);
    }

    fn deliver(&self, message: &Message) -> Self {
        self.with(|w| match message.clone() {
            Message::Claim { entry, nonce, target, expires } => {
                w.request(entry, nonce, target, expires);
            }
            Message::Won { entry, nonce, name } => w.won(entry, nonce, name),
            Message::Lost { entry, nonce, name, state } => w.lost(entry, nonce, name, state),
            Message::Refused { entry, nonce } => {
                if w.awaits(entry, nonce) {
                    w.entries[entry] = Entry::Idle;
                }
            }
            Message::Start(entry, name) => w.start(entry, name),
            Message::Started(entry, name, told) => {
                if w.entries[entry] == Entry::Waiting(name) {
                    w.conclude(entry, name, told);
                }
            }
            Message::Fence(entry, name) => {
                let now = w.now();
                let status = w.agents[name.agent].fence(now, &name.id());
                w.send(Message::Fenced(entry, name, Told::status(&status)));
            }
            Message::Fenced(entry, name, told) => {
                if w.entries[entry] == Entry::Fencing(name) {
                    w.conclude(entry, name, told);
                }
            }
            Message::Release(_, name) => w.complete(name, &Completion::NotRun(Code::Fenced)),
            Message::Settle(name, bytes) => {
                w.complete(name, &Completion::Answered(answer(&bytes)));
            }
            Message::Gone(agent, number) => {
                let change = ClaimChange::IncarnationGone(incarnation(agent, number));
                w.apply(change);
            }
        })
    }

    // Control.

    fn apply(&mut self, change: ClaimChange) {
        let at = self.now();
        self.claims.apply(&ClaimRecord { at, change });
    }

    fn complete(&mut self, name: Name, completion: &Completion) {
        let now = self.now();
        let record = self.claims.complete(&RETENTION, now, &id(), name.attempt, completion);
        if let Some(record) = record {
            self.claims.apply(&record);
        }
    }

    fn request(&mut self, entry: usize, nonce: u32, target: (usize, u64), expires: Time) {
        let target = incarnation(target.0, target.1);
        let request = ClaimRequest { id: id(), digest: Digest::of(b""), target, expires };
        match self.claims.decide(&RETENTION, self.now(), &request) {
            Decision::New(record) => {
                if self.bounds.proposals > 0 {
                    self.bounds.proposals -= 1;
                    self.pending.push((entry, nonce, record));
                }
            }
            Decision::Existing(claim) => {
                let (name, state) = (Name::of(&claim), Told::state(&claim.state));
                self.send(Message::Lost { entry, nonce, name, state });
            }
            Decision::Refused(_) => self.send(Message::Refused { entry, nonce }),
        }
    }

    fn commit(&self) -> Option<Self> {
        let (entry, nonce, record) = self.pending.first()?.clone();
        Some(self.with(|w| {
            w.pending.remove(0);
            let message = match w.claims.apply(&record) {
                ClaimOutcome::Claimed { .. } => {
                    let name = Name::of(w.claims.get(&id()).unwrap());
                    Message::Won { entry, nonce, name }
                }
                ClaimOutcome::Existing(claim) => {
                    let (name, state) = (Name::of(&claim), Told::state(&claim.state));
                    Message::Lost { entry, nonce, name, state }
                }
                _ => Message::Refused { entry, nonce },
            };
            w.send(message);
        }))
    }

    /// A leader that loses its office loses what was not committed.
    fn lose_pending(&self) -> Option<Self> {
        (!self.pending.is_empty()).then(|| self.with(|w| w.pending.clear()))
    }

    fn expire(&self) -> Option<Self> {
        let record = self.claims.expire(&RETENTION, self.now())?;
        Some(self.with(|w| {
            w.claims.apply(&record);
        }))
    }

    fn pass_time(&self) -> Option<Self> {
        (self.time + 1 < self.bounds.times.len()).then(|| self.with(|w| w.time += 1))
    }

    // Agents.

    fn start(&mut self, entry: usize, name: Name) {
        let attempt = Attempt { id: name.id(), digest: Digest::of(b""), slots: 1 };
        let now = self.now();
        let told = match self.agents[name.agent].start(now, &attempt) {
            StartDecision::Run(_) => {
                self.starts.push(name);
                self.running.insert((entry, name));
                return;
            }
            StartDecision::Refused(Code::IncarnationGone | Code::MessageCorrupt) => Told::Unknown,
            StartDecision::Refused(_) => Told::NotRun,
            StartDecision::Duplicate(status) => Told::status(&status),
        };
        self.send(Message::Started(entry, name, told));
    }

    fn finish(&self, entry: usize, name: Name) -> Self {
        self.with(|w| {
            w.running.remove(&(entry, name));
            let bytes = name.answer();
            let completion = Completion::Answered(answer(&bytes));
            let now = w.now();
            let agent = &mut w.agents[name.agent];
            assert!(agent.finish(now, &id(), name.attempt, 1, false, &completion));
            w.send(Message::Settle(name, bytes.clone()));
            w.send(Message::Started(entry, name, Told::Done(bytes)));
        })
    }

    fn crash(&self, agent: usize) -> Option<Self> {
        let number = self.agents[agent].incarnation().number;
        (number <= self.bounds.crashes[agent]).then(|| {
            self.with(|w| {
                w.agents[agent] = admission(agent, number + 1);
                w.running.retain(|(_, name)| name.agent != agent);
                w.send(Message::Gone(agent, number));
            })
        })
    }

    fn change_session(&self) -> Option<Self> {
        let left = self.bounds.sessions.checked_sub(1)?;
        Some(self.with(|w| {
            w.bounds.sessions = left;
            w.agents[0].set_session_end(if left % 2 == 1 { Time::ZERO } else { Time::MAX });
        }))
    }

    // Entries.

    fn awaits(&self, entry: usize, nonce: u32) -> bool {
        self.entries[entry] == Entry::Claiming && self.nonces[entry] == nonce
    }

    /// Steps that an entry takes by itself: a call, a timeout, a change of mind.
    fn entry_steps(&self, entry: usize) -> Vec<Self> {
        match self.entries[entry].clone() {
            Entry::Waiting(name) => vec![self.with(|w| w.fence(entry, name))],
            _ if self.nonces[entry] == self.bounds.requests[entry] => Vec::new(),
            Entry::Idle => vec![self.with(|w| w.claim(entry))],
            Entry::Claiming | Entry::Fencing(_) | Entry::Releasing(_) => {
                vec![self.with(|w| w.entries[entry] = Entry::Idle)]
            }
        }
    }

    /// Claims at the entry's own agent first, then at the other one.
    fn claim(&mut self, entry: usize) {
        let agent = (entry + self.nonces[entry] as usize) % 2;
        self.nonces[entry] += 1;
        self.entries[entry] = Entry::Claiming;
        let nonce = self.nonces[entry];
        let target = (agent, self.agents[agent].incarnation().number);
        let expires = self.now() + LIFE;
        self.send(Message::Claim { entry, nonce, target, expires });
    }

    fn won(&mut self, entry: usize, nonce: u32, name: Name) {
        if self.awaits(entry, nonce) {
            self.entries[entry] = Entry::Waiting(name);
            self.send(Message::Start(entry, name));
        }
    }

    fn lost(&mut self, entry: usize, nonce: u32, name: Name, state: Told) {
        if !self.awaits(entry, nonce) {
            return;
        }
        match state {
            Told::Open => self.fence(entry, name),
            told => self.conclude(entry, name, told),
        }
    }

    fn fence(&mut self, entry: usize, name: Name) {
        self.entries[entry] = Entry::Fencing(name);
        self.send(Message::Fence(entry, name));
    }

    /// Answers the caller with what was learnt.
    fn conclude(&mut self, entry: usize, name: Name, told: Told) {
        self.entries[entry] = Entry::Idle;
        match told {
            Told::NotRun => {
                self.refused.insert(name);
                self.entries[entry] = Entry::Releasing(name);
                self.send(Message::Release(entry, name));
            }
            Told::Done(bytes) => {
                self.answers.insert(bytes);
            }
            Told::Unknown | Told::Open => {}
        }
    }
}
