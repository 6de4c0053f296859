//! Client that finds the leader from a few seed addresses and calls it.

mod caller;
mod discovery;
mod relays;

pub use caller::CallerRequest;

use {
    crate::{
        batch::UnconfirmedJobs,
        clock::Clock,
        telemetry::{Event as _, event},
    },
    bronzespool::{
        batch::{JobId, message},
        core::{Code, HashMap, Refusal},
        wire::{
            bronzespool_capnp::control,
            frame,
            link::{Link, Result as LinkResult},
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

/// Timeout of one attempt, after which the leader counts as unresponsive.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause before the next attempt of a call.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

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

/// Client of the leader, whichever control instance that is.
pub struct LeaderClient {
    clock: Clock,
    seeds: RefCell<Vec<SocketAddr>>,
    members: RefCell<Vec<SocketAddr>>,
    links: RefCell<HashMap<SocketAddr, Link<control::Client>>>,
    leader: Cell<Option<Leader>>,
    /// The leader that was called last, kept also when `leader` is reset.
    last_called: Cell<Option<Leader>>,
    /// Processes that relay calls while control cannot be reached, the next to use first.
    relays: RefCell<VecDeque<SocketAddr>>,
    /// Whether control cannot be reached, so that calls go through a relay.
    cut_off: Cell<bool>,
    unconfirmed: RefCell<UnconfirmedJobs>,
}

/// Time limits of the retries of a call.
#[derive(Clone, Copy, Debug)]
struct TryLimits {
    /// Limit while the call has certainly not run.
    not_run: Duration,
    /// Limit once the call may have run.
    unknown: Duration,
}

/// Address of the leader of a term.
#[derive(Clone, Copy, Debug)]
struct Leader {
    address: SocketAddr,
    term: u64,
}

impl LeaderClient {
    /// Creates a client with the addresses of a few control instances, some of which may be stale.
    pub fn new(clock: Clock, seeds: Vec<SocketAddr>) -> Self {
        Self {
            clock,
            seeds: RefCell::new(seeds),
            members: RefCell::default(),
            links: RefCell::default(),
            leader: Cell::new(None),
            last_called: Cell::new(None),
            relays: RefCell::default(),
            cut_off: Cell::new(false),
            unconfirmed: RefCell::default(),
        }
    }

    /// Whether an earlier submission of a job may have been accepted.
    pub fn is_unconfirmed(&self, job: JobId) -> bool {
        self.unconfirmed.borrow().contains(self.clock.now(), job)
    }

    /// Clock of this process.
    pub(in crate::batch) const fn clock(&self) -> Clock {
        self.clock
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.borrow_mut() = seeds;
        self.drop_unknown_links();
    }

    /// Address and term of the leader that was called last.
    pub fn last_leader(&self) -> (Option<SocketAddr>, Option<u64>) {
        let leader = self.last_called.get();
        (leader.map(|l| l.address), leader.map(|l| l.term))
    }

    /// Calls the leader and retries within `timeout`: every call is idempotent.
    ///
    /// # Errors
    ///
    /// [`CallError::Unknown`] if the time runs out after an attempt that may have run, whatever the
    /// later ones returned. A refusal by the leader ends the retries at once.
    pub async fn call(&self, call: message::Call, timeout: Duration) -> Result<message::Reply> {
        self.call_within(call, TryLimits { not_run: timeout, unknown: timeout }).await
    }

    async fn call_within(&self, call: message::Call, limits: TryLimits) -> Result<message::Reply> {
        let started = self.clock.now();
        let call = Call::Batch(call);
        let mut maybe_run = false;
        loop {
            let end = started + if maybe_run { limits.unknown } else { limits.not_run };
            let remaining = end.since(self.clock.now());
            if remaining.is_zero() {
                return Err(if maybe_run { CallError::Unknown } else { CallError::NoLeader });
            }
            match self.attempt(&call, remaining.min(ANSWER_TIMEOUT)).await {
                Some(Ok(Reply::Batch(reply)))
                    if maybe_run && is_denied_submission(&call, &reply) =>
                {
                    return Err(CallError::Unknown);
                }
                Some(Ok(Reply::Batch(reply))) => return Ok(reply),
                Some(Ok(_)) => return Err(CallError::Refused(Code::Internal.into())),
                Some(Err(refusal)) if refusal.code == Code::NoLeader => self.leader.set(None),
                Some(Err(refusal)) if refusal.code == Code::CommitUnknown => {
                    maybe_run = true;
                    self.leader.set(None);
                }
                Some(Err(refusal)) if maybe_run && refusal.code == Code::BoundReached => {
                    return Err(CallError::Unknown);
                }
                Some(Err(refusal)) => return Err(CallError::Refused(refusal)),
                None => maybe_run = true,
            }
            sleep(RETRY_PAUSE.min(end.since(self.clock.now()))).await;
        }
    }

    /// Makes one attempt; `None` if its outcome is unknown.
    async fn attempt(&self, call: &Call, timeout: Duration) -> Option<CallResult> {
        if self.cut_off.get() {
            return self.call_relay(call, timeout).await;
        }
        let Some(leader) = self.locate(timeout).await else {
            if !self.relays.borrow().is_empty() && !self.cut_off.replace(true) {
                let (leader, term) = self.last_leader();
                event::ControlLost { leader, term }.emit();
            }
            return Some(Err(Code::NoLeader.into()));
        };
        self.last_called.set(Some(leader));
        let link = self.link(leader.address);
        let result = tokio::select! {
            result = exchange(&link, call, timeout) => result,
            next = self.wait_replaced(leader) => {
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
        match result {
            Ok(result) => Some(result),
            Err(error) => {
                log::debug!(leader:% = leader.address, error:%; "the leader did not answer");
                self.leader.set(None);
                error.is_unsent().then(|| Err(Code::NoLeader.into()))
            }
        }
    }

    /// Whether an address is that of a seed, a member, a relay or the leader.
    fn knows(&self, address: SocketAddr) -> bool {
        let leads = self.leader.get().is_some_and(|l| l.address == address);
        leads
            || self.seeds.borrow().contains(&address)
            || self.members.borrow().contains(&address)
            || self.relays.borrow().contains(&address)
    }

    /// Drops the links to addresses that are no longer known. Their connections close when the
    /// calls on them have ended.
    fn drop_unknown_links(&self) {
        self.links.borrow_mut().retain(|address, _| self.knows(*address));
    }

    fn link(&self, address: SocketAddr) -> Link<control::Client> {
        let mut links = self.links.borrow_mut();
        links.entry(address).or_insert_with(|| Link::new(address)).clone()
    }
}

/// Whether a reply denies a submission. An earlier attempt of it may have been accepted all the same,
/// before a change of the configuration.
const fn is_denied_submission(call: &Call, reply: &message::Reply) -> bool {
    matches!(call, Call::Batch(message::Call::Job(_, message::JobRequest::Submit(_))))
        && matches!(reply, message::Reply::Denied(_))
}

/// Makes one call. A peer that cannot be connected to within the timeout is not sent the call, so
/// that whoever waits for the outcome learns in time that it was not carried out.
async fn exchange(
    link: &Link<control::Client>,
    call: &Call,
    timeout: Duration,
) -> LinkResult<CallResult> {
    link.connect(timeout).await?;
    let bytes = frame::encode(call);
    link.call(timeout, |client| async move {
        let mut request = client.forward_request();
        request.get().set_call(&bytes);
        let response = request.send().promise.await?;
        Ok(frame::decode(response.get()?.get_reply()?)?)
    })
    .await
}
