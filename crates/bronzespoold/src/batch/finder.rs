//! Finds the leader from a few addresses and calls it.

use {
    crate::{
        batch::Doubt,
        clock::Clock,
        telemetry::{self, Event as _, event},
    },
    bronzespool::{
        batch::{
            JobId,
            message::{self, Map},
        },
        core::{Code, HashMap, Refusal},
        wire::{
            bronzespool_capnp::control,
            frame,
            link::{Link, Result as Linked},
            message::{Answered, Call, Reply},
        },
    },
    displaydoc::Display,
    futures::{StreamExt, stream::FuturesUnordered},
    std::{
        cell::{Cell, RefCell},
        collections::VecDeque,
        net::SocketAddr,
        time::Duration,
    },
    tokio::time::{sleep, timeout},
};

/// Longest wait for an instance's word on where control is.
const WHERE_TIME: Duration = Duration::from_millis(500);
/// Longest wait for the leader's answer before it is taken for silent.
const ANSWER_TIME: Duration = Duration::from_millis(1_000);
/// Time without an answer after which control is asked whether another instance leads, longer
/// than a poll waits for orders.
const REPLACED_LOOK: Duration = Duration::from_millis(450);
/// Time between two looks at where control and the relays are.
const REFRESH: Duration = Duration::from_secs(2);
/// Time between two tries to reach control again.
const REACH: Duration = Duration::from_millis(250);
/// Longest time for which a caller's call is tried, where the caller waits longer.
const TRY_TIME: Duration = Duration::from_millis(2_000);
/// Share of the caller's time for which a call is tried: less than half, so that time for another
/// try is left.
const TRY_PERCENT: u32 = 45;
/// Pause before another try.
const PAUSE: Duration = Duration::from_millis(40);

/// Result of a call to the leader.
pub type Result<T> = std::result::Result<T, Fault>;

/// Why a call has no reply.
#[derive(Clone, Debug, Display)]
pub enum Fault {
    /// no leader was found in time: the call was not carried out
    NoLeader,
    /// the call may have been carried out
    Unknown,
    /// {0}
    Refused(Refusal),
}

impl std::error::Error for Fault {}

impl Fault {
    /// Result code.
    pub const fn code(&self) -> Code {
        match self {
            Self::NoLeader => Code::NoLeader,
            Self::Unknown => Code::CommitUnknown,
            Self::Refused(refusal) => refusal.code,
        }
    }
}

/// Calls the leader, wherever it is.
pub struct Finder {
    clock: Clock,
    seeds: RefCell<Vec<SocketAddr>>,
    members: RefCell<Vec<SocketAddr>>,
    links: RefCell<HashMap<SocketAddr, Link<control::Client>>>,
    leader: Cell<Option<Leader>>,
    /// The leader that was asked last, also if it is not followed any longer.
    asked: Cell<Option<Leader>>,
    /// Processes that pass on calls while control cannot be reached.
    relays: RefCell<VecDeque<SocketAddr>>,
    /// Whether no control instance could be reached.
    cut: Cell<bool>,
    doubt: RefCell<Doubt>,
}

/// A caller's call as its entry took it, for the log line on its answer.
#[derive(Clone, Debug)]
pub struct Taken {
    /// Job that it names.
    pub job: Option<JobId>,
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Time for which the caller waits, if it says so.
    pub patience: Option<Duration>,
}

/// Where the leader of a term is.
#[derive(Clone, Copy, Debug)]
struct Leader {
    address: SocketAddr,
    term: u64,
}

impl Finder {
    /// A finder that knows a few control instances, which may be gone or stale.
    pub fn new(clock: Clock, seeds: Vec<SocketAddr>) -> Self {
        Self {
            clock,
            seeds: RefCell::new(seeds),
            members: RefCell::default(),
            links: RefCell::default(),
            leader: Cell::new(None),
            asked: Cell::new(None),
            relays: RefCell::default(),
            cut: Cell::new(false),
            doubt: RefCell::default(),
        }
    }

    /// Learns of members and relays from the leader, and whether control can be reached again, for
    /// as long as this process lives.
    pub async fn run_refresh(&self) {
        loop {
            let reached = self.refresh().await;
            sleep(if reached { REFRESH } else { REACH }).await;
        }
    }

    async fn refresh(&self) -> bool {
        if self.cut.get() {
            let found = self.ask_all().await;
            if let Some(leader) = found {
                event::ControlRegained { leader: leader.address, term: leader.term }.tell();
                self.leader.set(found);
                self.cut.set(false);
            }
            return found.is_some();
        }
        let Some(leader) = self.leader.get() else { return true };
        match exchange(&self.link(leader.address), &Call::Where, WHERE_TIME).await {
            Ok(Ok(Reply::Where(map))) => self.learn(map),
            Ok(other) => log::debug!(other:?; "the leader does not say where control is"),
            Err(error) => log::debug!(error:%; "the leader does not answer"),
        }
        true
    }

    fn learn(&self, map: Map) {
        if !map.members.is_empty() {
            self.members.replace(map.members);
        }
        if !map.relays.is_empty() {
            self.relays.replace(map.relays.into());
        }
    }

    /// Replaces the addresses to begin with.
    pub fn reseed(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// The leader that was asked last, and its term.
    pub fn known(&self) -> (Option<SocketAddr>, Option<u64>) {
        let leader = self.asked.get();
        (leader.map(|l| l.address), leader.map(|l| l.term))
    }

    /// Carries out a caller's call in a share of the caller's time, so that the answer arrives in
    /// time; tells the answer that `answer` makes of the reply.
    pub async fn ask<A>(
        &self,
        taken: Taken,
        call: message::Call,
        answer: impl FnOnce(Result<message::Reply>) -> (u16, A),
    ) -> A {
        let share = taken.patience.map_or(TRY_TIME, |p| p * TRY_PERCENT / 100);
        let begun = self.clock.now();
        let submits = matches!(call, message::Call::Ask(_, message::Ask::Submit(_)));
        let reply = self.call(call, share.min(TRY_TIME)).await;
        let reply = match taken.job.filter(|_| submits) {
            Some(job) => self.remember(job, reply),
            None => reply,
        };
        let took = self.clock.now().since(begun);
        let code = reply.as_ref().err().map(Fault::code);
        let told = reply.as_ref().map_or_else(ToString::to_string, |r| format!("{r:?}"));
        let (status, answer) = answer(reply);
        telemetry::call(&taken.method, status, code, took);
        let (leader, term) = self.known();
        event::CallAnswered {
            job: taken.job,
            method: taken.method,
            path: taken.path,
            status,
            reply: told,
            code: code.map(Code::number),
            leader,
            term,
            took_ms: took.as_millis() as u64,
        }
        .tell();
        answer
    }

    /// A submission that was not carried out is not refused while an earlier one of the same job
    /// may have been: the caller would take the job for one that never runs.
    fn remember(&self, job: JobId, reply: Result<message::Reply>) -> Result<message::Reply> {
        let now = self.clock.now();
        let mut doubt = self.doubt.borrow_mut();
        match reply {
            Ok(reply) => {
                doubt.settle(job);
                Ok(reply)
            }
            Err(Fault::Unknown) => {
                doubt.note(now, job);
                Err(Fault::Unknown)
            }
            Err(_) if doubt.holds(now, job) => Err(Fault::Unknown),
            Err(fault) => Err(fault),
        }
    }

    /// Calls the leader within `time`, as often as needed: every call may be repeated.
    ///
    /// # Errors
    ///
    /// [`Fault::Unknown`] once some attempt may have been carried out, whatever came after it.
    pub async fn call(&self, call: message::Call, time: Duration) -> Result<message::Reply> {
        let end = self.clock.now() + time;
        let call = Call::Batch(call);
        let mut maybe = false;
        loop {
            let left = end.since(self.clock.now());
            if left.is_zero() {
                return Err(if maybe { Fault::Unknown } else { Fault::NoLeader });
            }
            match self.attempt(&call, left.min(ANSWER_TIME)).await {
                Some(Ok(Reply::Batch(reply))) => return Ok(reply),
                Some(Ok(_)) => return Err(Fault::Refused(Code::Internal.into())),
                Some(Err(refusal)) if refusal.code == Code::NoLeader => self.leader.set(None),
                Some(Err(refusal)) if refusal.code == Code::CommitUnknown => {
                    maybe = true;
                    self.leader.set(None);
                }
                Some(Err(refusal)) => return Err(Fault::Refused(refusal)),
                None => maybe = true,
            }
            sleep(PAUSE.min(end.since(self.clock.now()))).await;
        }
    }

    /// One attempt; none if its outcome is unknown.
    async fn attempt(&self, call: &Call, time: Duration) -> Option<Answered> {
        if self.cut.get() {
            return self.pass_on(call, time).await;
        }
        let Some(leader) = self.locate(time).await else {
            if !self.relays.borrow().is_empty() && !self.cut.replace(true) {
                let (leader, term) = self.known();
                event::ControlLost { leader, term }.tell();
            }
            return Some(Err(Code::NoLeader.into()));
        };
        self.asked.set(Some(leader));
        let link = self.link(leader.address);
        let answered = tokio::select! {
            answered = exchange(&link, call, time) => answered,
            next = self.replaced(leader) => {
                event::LeaderReplaced {
                    leader: leader.address,
                    next: next.address,
                    term: next.term,
                }
                .tell();
                self.leader.set(Some(next));
                return None;
            }
        };
        match answered {
            Ok(answered) => Some(answered),
            Err(error) => {
                log::debug!(leader:% = leader.address, error:%; "the leader did not answer");
                self.leader.set(None);
                error.unsent().then(|| Err(Code::NoLeader.into()))
            }
        }
    }

    /// One attempt through another process; none if its outcome is unknown.
    async fn pass_on(&self, call: &Call, time: Duration) -> Option<Answered> {
        let relay = self.relays.borrow().front().copied();
        let Some(relay) = relay else { return Some(Err(Code::NoLeader.into())) };
        match exchange(&self.link(relay), call, time).await {
            Ok(answered) => Some(answered),
            Err(error) => {
                log::debug!(relay:%, error:%; "a process does not pass on calls");
                self.relays.borrow_mut().rotate_left(1);
                error.unsent().then(|| Err(Code::NoLeader.into()))
            }
        }
    }

    /// Carries out a call of another process that cannot reach control itself.
    pub async fn relay(&self, call: Call) -> Answered {
        let Call::Batch(call) = call else { return Err(Code::Internal.into()) };
        if self.cut.get() {
            return Err(Code::NoLeader.into());
        }
        match self.call(call, ANSWER_TIME).await {
            Ok(reply) => Ok(Reply::Batch(reply)),
            Err(Fault::NoLeader) => Err(Code::NoLeader.into()),
            Err(Fault::Unknown) => Err(Code::CommitUnknown.into()),
            Err(Fault::Refused(refusal)) => Err(refusal),
        }
    }

    /// Waits until control says that another instance leads: a leader that is frozen or cut off
    /// would else hold up a call for its whole time.
    async fn replaced(&self, leader: Leader) -> Leader {
        loop {
            sleep(REPLACED_LOOK).await;
            match self.ask_all().await {
                Some(next) if next.term > leader.term => return next,
                Some(_) | None => {}
            }
        }
    }

    fn link(&self, address: SocketAddr) -> Link<control::Client> {
        let mut links = self.links.borrow_mut();
        links.entry(address).or_insert_with(|| Link::new(address)).clone()
    }

    async fn locate(&self, time: Duration) -> Option<Leader> {
        if let Some(leader) = self.leader.get() {
            return Some(leader);
        }
        let found = timeout(time, self.ask_all()).await.ok()??;
        self.leader.set(Some(found));
        Some(found)
    }

    /// Asks all known control instances at once and takes the first that knows the leader.
    async fn ask_all(&self) -> Option<Leader> {
        let mut known = self.members.borrow().clone();
        known.extend(self.seeds.borrow().iter());
        known.sort_unstable();
        known.dedup();
        let asks = known.into_iter().map(|address| self.ask_one(address));
        let mut asks: FuturesUnordered<_> = asks.collect();
        while let Some(map) = asks.next().await {
            let Some(map) = map else { continue };
            let leader = map.leader.map(|address| Leader { address, term: map.term });
            self.learn(map);
            if leader.is_some() {
                return leader;
            }
        }
        None
    }

    async fn ask_one(&self, address: SocketAddr) -> Option<Map> {
        match exchange(&self.link(address), &Call::Where, WHERE_TIME).await {
            Ok(Ok(Reply::Where(map))) => Some(map),
            Ok(other) => {
                log::debug!(address:%, other:?; "an instance does not say where control is");
                None
            }
            Err(error) => {
                log::debug!(address:%, error:%; "a control instance does not answer");
                None
            }
        }
    }
}

async fn exchange(link: &Link<control::Client>, call: &Call, time: Duration) -> Linked<Answered> {
    let bytes = frame::encode(call);
    link.call(time, |client| async move {
        let mut request = client.forward_request();
        request.get().set_call(&bytes);
        let response = request.send().promise.await?;
        Ok(frame::decode(response.get()?.get_reply()?)?)
    })
    .await
}
