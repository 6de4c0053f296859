//! Keeps a session with a hub open and fails over to the next hub.

use {
    crate::{
        client::sink::SinkServer,
        clock::Clock,
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{Code, Refusal, Time},
        flow::{session::SessionHolder, view},
        wire::{
            bronzespool_capnp::{control, session},
            frame,
            link::{Error, Link, Result},
            message::{Call, CallResult, OpenResult, SessionGrant, SessionRequest, Update},
        },
    },
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// Pause after the first failed attempt to open a session; it doubles with each further failure.
const OPEN_PAUSE_MIN: Duration = Duration::from_millis(20);
/// Maximum pause between attempts to open a session.
const OPEN_PAUSE_MAX: Duration = Duration::from_millis(500);
/// Pause before a call is retried.
const CALL_RETRY_PAUSE: Duration = Duration::from_millis(15);

/// Callbacks of the process that holds the session.
pub trait Subscriber: 'static {
    /// Returns the request that opens a session, with the current state of the process.
    fn session_request(&self) -> SessionRequest;
    /// Takes over the view in the grant of a new session. Returns false if that view is older than
    /// the current one.
    fn apply_grant(&self, grant: SessionGrant) -> bool;
    /// Applies an update that the hub pushed.
    ///
    /// # Errors
    ///
    /// If the update does not follow the current view.
    fn apply_update(&self, update: Update) -> view::Result<()>;
    /// Index of the current view, which is sent to the hub as acknowledgement.
    fn view_index(&self) -> u64;
    /// Sets the time on the local clock until which the session is valid.
    fn set_expiry(&self, until: Time);
}

/// Intervals and timeouts of a session.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time between two renewals.
    pub renew_interval: Duration,
    /// Longest wait for a reply when a session is opened, renewed or closed.
    pub reply_timeout: Duration,
}

/// Keeps one session open with one of several hubs.
pub struct SessionClient<S> {
    clock: Clock,
    timing: Timing,
    subscriber: Rc<S>,
    links: Vec<Link<control::Client>>,
    holder: RefCell<SessionHolder>,
    session: RefCell<Option<session::Client>>,
    opened: Notify,
    ended: Notify,
    renew_now: Notify,
    closing: Cell<bool>,
}

impl<S: Subscriber> SessionClient<S> {
    /// Creates a client for `hubs`, the preferred one first.
    pub fn new(clock: Clock, timing: Timing, hubs: &[SocketAddr], subscriber: Rc<S>) -> Rc<Self> {
        Rc::new(Self {
            clock,
            timing,
            subscriber,
            links: hubs.iter().copied().map(Link::new).collect(),
            holder: RefCell::default(),
            session: RefCell::default(),
            opened: Notify::new(),
            ended: Notify::new(),
            renew_now: Notify::new(),
            closing: Cell::new(false),
        })
    }

    /// Whether the session is valid, so that new work may be accepted.
    pub fn is_valid(&self) -> bool {
        self.holder.borrow().is_valid(self.clock.now())
    }

    /// Opens and renews sessions until [`SessionClient::close`].
    pub async fn run(self: Rc<Self>) {
        let mut pause = OPEN_PAUSE_MIN;
        for link in self.links.iter().cycle() {
            if self.closing.get() {
                return;
            }
            match self.open(link).await {
                Ok(Ok(session)) => {
                    pause = OPEN_PAUSE_MIN;
                    self.renew_until_end(link, session).await;
                }
                Ok(Err(refusal)) => {
                    let refusal = refusal.to_string();
                    event::SessionRefused { hub: link.address(), refusal }.emit();
                    sleep(pause).await;
                    pause = (pause * 2).min(OPEN_PAUSE_MAX);
                }
                Err(error) => {
                    let error = error.to_string();
                    event::SessionUnopened { hub: link.address(), error }.emit();
                    sleep(pause).await;
                    pause = (pause * 2).min(OPEN_PAUSE_MAX);
                }
            }
        }
    }

    /// Ends the session and tells the hub, which then need not wait for the lease to expire.
    pub async fn close(&self) {
        self.closing.set(true);
        let session = self.session.borrow_mut().take();
        if let Some(session) = session {
            let request = session.close_request();
            let _ = timeout(self.timing.reply_timeout, request.send().promise).await;
        }
        self.holder.borrow_mut().end();
        self.renew_now.notify_one();
    }

    /// Calls the leader through the hub and retries until `time` has passed. Retries are safe,
    /// since every call carries the identifier of the object that it concerns.
    ///
    /// # Errors
    ///
    /// The last refusal, or [`Code::CommitUnknown`] if any of the attempts may have been committed.
    pub async fn call(&self, call: &Call, time: Duration) -> CallResult {
        let end = self.clock.now() + time;
        let bytes = frame::encode(call);
        let mut last = Refusal::from(Code::NoSession);
        let mut may_be_committed = false;
        loop {
            let left = end.since(self.clock.now());
            if left.is_zero() {
                return Err(if may_be_committed { Code::CommitUnknown.into() } else { last });
            }
            match self.call_once(&bytes, left).await {
                Ok(Err(refusal)) if is_transient(refusal.code) => {
                    may_be_committed |= refusal.code == Code::CommitUnknown;
                    last = refusal;
                }
                Ok(result) => return result,
                Err(Error::NoSession) => {}
                Err(error) => {
                    log::debug!(error:%; "a call to control failed");
                    may_be_committed = true;
                    self.renew_now.notify_one();
                }
            }
            sleep(CALL_RETRY_PAUSE.min(left)).await;
        }
    }

    async fn call_once(&self, bytes: &[u8], left: Duration) -> Result<CallResult> {
        let session = timeout(left, self.current_session()).await.map_err(|_| Error::NoSession)?;
        let mut request = session.call_request();
        request.get().set_call(bytes);
        // When the session ends, its calls are abandoned; the caller retries them in the next
        // session.
        let ended = self.ended.notified();
        let response = tokio::select! {
            response = timeout(left, request.send().promise) => response,
            () = ended => return Err(Error::CallTimeout(left)),
        };
        let response = response.map_err(|_| Error::CallTimeout(left))??;
        Ok(frame::decode(response.get()?.get_reply()?)?)
    }

    async fn current_session(&self) -> session::Client {
        loop {
            let opened = self.opened.notified();
            if let Some(session) = self.session.borrow().as_ref() {
                return session.clone();
            }
            opened.await;
        }
    }

    async fn open(
        &self,
        link: &Link<control::Client>,
    ) -> Result<std::result::Result<session::Client, Refusal>> {
        let sent = self.clock.now();
        let hello = frame::encode(&self.subscriber.session_request());
        let sink = SinkServer { subscriber: Rc::clone(&self.subscriber) };
        let (opened, session) = link
            .call(self.timing.reply_timeout, |client| async move {
                let mut request = client.open_request();
                request.get().set_hello(&hello);
                request.get().set_sink(capnp_rpc::new_client(sink));
                let response = request.send().promise.await?;
                let results = response.get()?;
                let opened: OpenResult = frame::decode(results.get_welcome()?)?;
                let session = if opened.is_ok() { Some(results.get_session()?) } else { None };
                Ok((opened, session))
            })
            .await?;
        Ok(match (opened, session) {
            (Ok(grant), Some(session)) => self.accept_grant(sent, grant, session),
            (Err(refusal), _) => Err(refusal),
            (Ok(_), None) => Err(Code::Internal.into()),
        })
    }

    fn accept_grant(
        &self,
        sent: Time,
        grant: SessionGrant,
        session: session::Client,
    ) -> std::result::Result<session::Client, Refusal> {
        let lease = Duration::from_millis(grant.lease_millis.into());
        if !self.subscriber.apply_grant(grant) {
            return Err(Refusal::new(Code::RevisionBehind, "the hub is behind this process"));
        }
        self.extend_lease(sent, lease);
        *self.session.borrow_mut() = Some(session.clone());
        self.opened.notify_waiters();
        Ok(session)
    }

    fn extend_lease(&self, sent: Time, lease: Duration) {
        let mut holder = self.holder.borrow_mut();
        holder.record_renewal(sent, lease);
        self.subscriber.set_expiry(holder.expires_at());
    }

    /// Renews the session until a renewal fails or the hub has ended it. The first renewal is sent
    /// immediately and tells the hub that the view of the grant is in use.
    async fn renew_until_end(&self, link: &Link<control::Client>, session: session::Client) {
        loop {
            if self.closing.get() {
                return;
            }
            match self.renew(link, &session).await {
                Ok(true) => {}
                Ok(false) => break,
                Err(error) => {
                    let error = error.to_string();
                    event::SessionLost { hub: link.address(), error }.emit();
                    link.reset();
                    break;
                }
            }
            tokio::select! {
                () = sleep(self.timing.renew_interval) => {}
                () = self.renew_now.notified() => {}
            }
        }
        self.session.borrow_mut().take();
        self.ended.notify_waiters();
    }

    async fn renew(&self, link: &Link<control::Client>, session: &session::Client) -> Result<bool> {
        let sent = self.clock.now();
        let mut request = session.renew_request();
        request.get().set_acked(self.subscriber.view_index());
        let millis = link
            .call(self.timing.reply_timeout, |_| async move {
                let response = request.send().promise.await?;
                Ok(response.get()?.get_millis())
            })
            .await?;
        if millis > 0 {
            self.extend_lease(sent, Duration::from_millis(millis.into()));
        }
        Ok(millis > 0)
    }
}

/// Whether the same call may succeed after a change of leader.
const fn is_transient(code: Code) -> bool {
    matches!(code, Code::NoLeader | Code::CommitUnknown)
}
