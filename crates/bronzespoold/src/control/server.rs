//! Calls that a control instance serves.

use {
    crate::{
        clock::Clock,
        control::{
            addresses::Addresses,
            hub::Hub,
            leader::Leader,
            replica::{Epoch, Replica},
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
        batch::message::ControlMap,
        core::{Code, HashMap, Instance, Refusal},
        flow::session::SessionId,
        wire::{
            bronzespool_capnp::{control, session},
            frame,
            link::Link,
            message::{Call, CallResult, OpenResult, Reply, SessionRequest},
        },
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::watch,
        time::{sleep, timeout},
    },
};

type Result = std::result::Result<(), capnp::Error>;

/// Longest wait for the leader's answer to a forwarded call.
const FORWARD_TIME: Duration = Duration::from_secs(6);
/// Longest wait for the leader's answer to a progress.
const PROGRESS_TIME: Duration = Duration::from_millis(800);
/// Shortest time between two progresses.
const PROGRESS_MIN: Duration = Duration::from_millis(10);
/// Time between two looks at who leads while a call is forwarded.
const LEADER_LOOK: Duration = Duration::from_millis(25);
/// When to come back while there is no leader.
const LEADER_RETRY: Duration = Duration::from_millis(300);

/// Parts of one control instance.
pub(super) struct Node {
    pub(super) clock: Clock,
    pub(super) replica: Rc<Replica>,
    pub(super) hub: Rc<Hub>,
    pub(super) leader: Rc<Leader>,
    pub(super) addresses: Addresses,
    pub(super) links: RefCell<HashMap<Instance, Link<control::Client>>>,
    pub(super) period: Duration,
    pub(super) stopping: Cell<bool>,
}

impl Node {
    /// Answers a call here or at the leader.
    async fn call(&self, call: Call, time: Duration) -> CallResult {
        if self.replica.leads() {
            return self.leader.answer(call).await;
        }
        let none = || Refusal::from(Code::NoLeader).retry_after(LEADER_RETRY);
        let leader = self.replica.leader().ok_or_else(none)?;
        let link = self.link(&leader).ok_or_else(none)?;
        let bytes = frame::encode(&call);
        // The limit is outside of the link: a slow answer is no sign of a silent connection.
        let answered = link.call(FORWARD_TIME, |client| async move {
            let mut request = client.forward_request();
            request.get().set_call(&bytes);
            let response = request.send().promise.await?;
            Ok(frame::decode(response.get()?.get_reply()?)?)
        });
        let answered = tokio::select! {
            answered = timeout(time, answered) => answered,
            () = self.replaced(&leader) => {
                link.reset();
                return Err(Code::CommitUnknown.into());
            }
        };
        match answered {
            Ok(Ok(answered)) => answered,
            Ok(Err(error)) if error.is_unsent() => Err(none()),
            Ok(Err(error)) => Err(Refusal::new(Code::CommitUnknown, error.to_string())),
            Err(_) => Err(Code::CommitUnknown.into()),
        }
    }

    fn link(&self, name: &Instance) -> Option<Link<control::Client>> {
        let address = self.addresses.get(name)?;
        let mut links = self.links.borrow_mut();
        Some(links.entry(name.clone()).or_insert_with(|| Link::new(address)).clone())
    }

    /// Where control is, as far as known here.
    fn map(&self) -> ControlMap {
        let status = self.replica.status();
        let members = status.members.iter().filter_map(|m| self.addresses.get(&m.name));
        ControlMap {
            leader: status.leader.as_ref().and_then(|l| self.addresses.get(l)),
            term: status.term,
            members: members.collect(),
            relays: self.leader.batch.relays(),
        }
    }

    /// Answers a call of another process, at this instance alone.
    async fn answer_here(&self, call: Call) -> CallResult {
        match call {
            Call::LocateControl => Ok(Reply::ControlMap(self.map())),
            call => self.leader.answer(call).await,
        }
    }

    /// Waits until another replica leads, or none: a call to a leader that is cut off in silence
    /// would else wait for its whole time.
    async fn replaced(&self, leader: &Instance) {
        while self.replica.leader().as_ref() == Some(leader) {
            sleep(LEADER_LOOK).await;
        }
    }

    /// Tells the leader how far the sessions are, and so keeps the hub's own lease.
    pub(super) async fn run_progress(self: Rc<Self>) {
        let mut known = 0;
        let mut watch = self.replica.watch();
        loop {
            let seen = *watch.borrow_and_update();
            self.hub.expire();
            let sent = self.clock.now();
            let progress = Call::Progress(self.hub.progress(known));
            match self.call(progress, PROGRESS_TIME).await {
                Ok(Reply::Progressed { known: told }) => {
                    known = told;
                    self.hub.noted(sent);
                }
                Ok(_) => {}
                Err(refusal) if refusal.code == Code::ConfigInvalid => {
                    event::HubLeaseRefused { refusal: refusal.to_string() }.emit();
                }
                Err(refusal) => log::debug!(refusal:%; "the leader has not noted the progress"),
            }
            sleep(PROGRESS_MIN).await;
            tokio::select! {
                () = sleep(self.period) => {}
                () = self.hub.changed.notified() => {}
                () = self.unheld(&mut watch, seen) => {}
            }
        }
    }

    /// Waits for a change of the view that no session here has to acknowledge first.
    async fn unheld(&self, watch: &mut watch::Receiver<Epoch>, seen: Epoch) {
        let news = |e: &Epoch| e.view != seen.view && self.hub.is_empty();
        if watch.wait_for(news).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    async fn open(&self, hello: &SessionRequest) -> std::result::Result<u64, Refusal> {
        if self.stopping.get() {
            return Err(Code::Stopping.into());
        }
        self.hub.check(hello)?;
        let Some(announce) = hello.announce.clone() else {
            return Ok(0);
        };
        match self.call(Call::Announce(announce), FORWARD_TIME).await? {
            Reply::Announced { incarnation, index } => {
                self.hub.caught_up(index).await?;
                Ok(incarnation)
            }
            _ => Err(Code::Internal.into()),
        }
    }
}

fn failed(error: &frame::Error) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

/// Bootstrap capability of a control instance.
pub(super) struct Server(pub(super) Rc<Node>);

impl control::Server for Server {
    async fn open(
        self: Rc<Self>,
        params: control::OpenParams,
        mut results: control::OpenResults,
    ) -> Result {
        let params = params.get()?;
        let hello: SessionRequest = frame::decode(params.get_hello()?).map_err(|e| failed(&e))?;
        let sink = params.get_sink()?;
        let opened: OpenResult = match self.0.open(&hello).await {
            Ok(incarnation) => {
                let (id, welcome) = self.0.hub.open(&hello, incarnation, sink);
                let server = SessionServer { node: Rc::clone(&self.0), id };
                results.get().set_session(capnp_rpc::new_client(server));
                Ok(welcome)
            }
            Err(refusal) => Err(refusal),
        };
        results.get().set_welcome(&frame::encode(&opened));
        Ok(())
    }

    async fn deliver(
        self: Rc<Self>,
        params: control::DeliverParams,
        _: control::DeliverResults,
    ) -> Result {
        let params = params.get()?;
        let from = params.get_from()?.to_str()?;
        let from = Instance::try_from(from).map_err(|e| capnp::Error::failed(e.to_string()))?;
        for message in params.get_messages()? {
            if let Err(error) = self.0.replica.receive(&from, message?) {
                let code = error.code().number();
                event::MessageRefused { code, error: error.to_string() }.emit();
            }
        }
        Ok(())
    }

    async fn forward(
        self: Rc<Self>,
        params: control::ForwardParams,
        mut results: control::ForwardResults,
    ) -> Result {
        let call: Call = frame::decode(params.get()?.get_call()?).map_err(|e| failed(&e))?;
        let answered = self.0.answer_here(call).await;
        results.get().set_reply(&frame::encode(&answered));
        Ok(())
    }

    async fn probe(self: Rc<Self>, _: control::ProbeParams, _: control::ProbeResults) -> Result {
        Ok(())
    }
}

/// Capability of one session.
struct SessionServer {
    node: Rc<Node>,
    id: SessionId,
}

impl session::Server for SessionServer {
    async fn renew(
        self: Rc<Self>,
        params: session::RenewParams,
        mut results: session::RenewResults,
    ) -> Result {
        let acked = params.get()?.get_acked();
        results.get().set_millis(self.node.hub.renew(self.id, acked));
        Ok(())
    }

    async fn call(
        self: Rc<Self>,
        params: session::CallParams,
        mut results: session::CallResults,
    ) -> Result {
        let call: Call = frame::decode(params.get()?.get_call()?).map_err(|e| failed(&e))?;
        let answered = self.node.call(call, FORWARD_TIME).await;
        results.get().set_reply(&frame::encode(&answered));
        Ok(())
    }

    async fn close(self: Rc<Self>, _: session::CloseParams, _: session::CloseResults) -> Result {
        self.node.hub.close(self.id);
        Ok(())
    }
}
