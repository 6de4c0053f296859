//! Finds the leader from a few addresses and calls it.

mod caller;
mod discovery;

pub use caller::CallerRequest;

use {
    crate::{
        batch::UnconfirmedJobs,
        clock::Clock,
        telemetry::{Event as _, event},
    },
    bronzespool::{
        batch::message,
        core::{Code, HashMap, Refusal},
        wire::{
            bronzespool_capnp::control,
            frame,
            link::{Link, Result as Linked},
            message::{Call, CallResult, Reply},
        },
    },
    displaydoc::Display,
    std::{
        cell::{Cell, RefCell},
        collections::VecDeque,
        net::SocketAddr,
        time::Duration,
    },
    tokio::time::sleep,
};

/// Longest wait for the leader's answer before it is taken for silent.
const ANSWER_TIME: Duration = Duration::from_millis(1_000);
/// Pause before another try.
const PAUSE: Duration = Duration::from_millis(40);

/// Result of a call to the leader.
pub type Result<T> = std::result::Result<T, CallError>;

/// Why a call has no reply.
#[derive(Clone, Debug, Display)]
pub enum CallError {
    /// no leader was found in time: the call was not carried out
    NoLeader,
    /// the call may have been carried out
    Unknown,
    /// {0}
    Refused(Refusal),
}

impl std::error::Error for CallError {}

impl CallError {
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
pub struct LeaderClient {
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
    doubt: RefCell<UnconfirmedJobs>,
}

/// Time for which a call is tried.
#[derive(Clone, Copy, Debug)]
struct Span {
    /// While it was surely not carried out.
    refuse: Duration,
    /// Once it may have been.
    settle: Duration,
}

/// Where the leader of a term is.
#[derive(Clone, Copy, Debug)]
struct Leader {
    address: SocketAddr,
    term: u64,
}

impl LeaderClient {
    /// A client that knows a few control instances, which may be gone or stale.
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

    /// Replaces the addresses to begin with.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
    }

    /// The leader that was asked last, and its term.
    pub fn last_leader(&self) -> (Option<SocketAddr>, Option<u64>) {
        let leader = self.asked.get();
        (leader.map(|l| l.address), leader.map(|l| l.term))
    }

    /// Calls the leader within `time`, as often as needed: every call may be repeated.
    ///
    /// # Errors
    ///
    /// [`CallError::Unknown`] once some attempt may have been carried out, whatever came after it.
    pub async fn call(&self, call: message::Call, time: Duration) -> Result<message::Reply> {
        self.call_within(call, Span { refuse: time, settle: time }).await
    }

    async fn call_within(&self, call: message::Call, span: Span) -> Result<message::Reply> {
        let begun = self.clock.now();
        let call = Call::Batch(call);
        let mut maybe = false;
        loop {
            let end = begun + if maybe { span.settle } else { span.refuse };
            let left = end.since(self.clock.now());
            if left.is_zero() {
                return Err(if maybe { CallError::Unknown } else { CallError::NoLeader });
            }
            match self.attempt(&call, left.min(ANSWER_TIME)).await {
                Some(Ok(Reply::Batch(reply))) => return Ok(reply),
                Some(Ok(_)) => return Err(CallError::Refused(Code::Internal.into())),
                Some(Err(refusal)) if refusal.code == Code::NoLeader => self.leader.set(None),
                Some(Err(refusal)) if refusal.code == Code::CommitUnknown => {
                    maybe = true;
                    self.leader.set(None);
                }
                Some(Err(refusal)) => return Err(CallError::Refused(refusal)),
                None => maybe = true,
            }
            sleep(PAUSE.min(end.since(self.clock.now()))).await;
        }
    }

    /// One attempt; none if its outcome is unknown.
    async fn attempt(&self, call: &Call, time: Duration) -> Option<CallResult> {
        if self.cut.get() {
            return self.pass_on(call, time).await;
        }
        let Some(leader) = self.locate(time).await else {
            if !self.relays.borrow().is_empty() && !self.cut.replace(true) {
                let (leader, term) = self.last_leader();
                event::ControlLost { leader, term }.emit();
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
                .emit();
                self.leader.set(Some(next));
                return None;
            }
        };
        match answered {
            Ok(answered) => Some(answered),
            Err(error) => {
                log::debug!(leader:% = leader.address, error:%; "the leader did not answer");
                self.leader.set(None);
                error.is_unsent().then(|| Err(Code::NoLeader.into()))
            }
        }
    }

    /// One attempt through another process; none if its outcome is unknown.
    async fn pass_on(&self, call: &Call, time: Duration) -> Option<CallResult> {
        let relay = self.relays.borrow().front().copied();
        let Some(relay) = relay else { return Some(Err(Code::NoLeader.into())) };
        match exchange(&self.link(relay), call, time).await {
            Ok(answered) => Some(answered),
            Err(error) => {
                log::debug!(relay:%, error:%; "a process does not pass on calls");
                self.relays.borrow_mut().rotate_left(1);
                error.is_unsent().then(|| Err(Code::NoLeader.into()))
            }
        }
    }

    /// Carries out a call of another process that cannot reach control itself.
    pub async fn relay(&self, call: Call) -> CallResult {
        let Call::Batch(call) = call else { return Err(Code::Internal.into()) };
        if self.cut.get() {
            return Err(Code::NoLeader.into());
        }
        match self.call(call, ANSWER_TIME).await {
            Ok(reply) => Ok(Reply::Batch(reply)),
            Err(CallError::NoLeader) => Err(Code::NoLeader.into()),
            Err(CallError::Unknown) => Err(Code::CommitUnknown.into()),
            Err(CallError::Refused(refusal)) => Err(refusal),
        }
    }

    fn link(&self, address: SocketAddr) -> Link<control::Client> {
        let mut links = self.links.borrow_mut();
        links.entry(address).or_insert_with(|| Link::new(address)).clone()
    }
}

async fn exchange(link: &Link<control::Client>, call: &Call, time: Duration) -> Linked<CallResult> {
    let bytes = frame::encode(call);
    link.call(time, |client| async move {
        let mut request = client.forward_request();
        request.get().set_call(&bytes);
        let response = request.send().promise.await?;
        Ok(frame::decode(response.get()?.get_reply()?)?)
    })
    .await
}
