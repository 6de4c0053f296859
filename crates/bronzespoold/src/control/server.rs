//! RPC server of a control instance.

use {
    crate::{
        batch::PassedCalls,
        clock::Clock,
        control::{
            addresses::Addresses,
            hub::Hub,
            leader::Leader,
            replica::{Replica, StateVersion},
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
const FORWARD_TIMEOUT: Duration = Duration::from_secs(6);
/// Longest wait for the leader's answer to a progress report.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(800);
/// Shortest time between two progress reports.
const PROGRESS_INTERVAL_MIN: Duration = Duration::from_millis(10);
/// Interval at which the leader is checked while a call is forwarded.
const LEADER_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Retry delay that callers are given while there is no leader.
const LEADER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Components of one control instance.
pub(super) struct ControlNode {
    pub(super) clock: Clock,
    pub(super) replica: Rc<Replica>,
    pub(super) hub: Rc<Hub>,
    pub(super) leader: Rc<Leader>,
    pub(super) addresses: Addresses,
    pub(super) links: RefCell<HashMap<Instance, Link<control::Client>>>,
    pub(super) progress_interval: Duration,
    pub(super) stopping: Cell<bool>,
    pub(super) passed: PassedCalls,
}

impl ControlNode {
    /// Answers a call here if this replica leads, otherwise forwards it to the leader.
    async fn call(&self, call: Call, limit: Duration) -> CallResult {
        if self.replica.leads() {
            return self.leader.answer(call).await;
        }
        let no_leader = || Refusal::from(Code::NoLeader).retry_after(LEADER_RETRY_DELAY);
        let leader = self.replica.leader().ok_or_else(no_leader)?;
        let link = self.link(&leader).ok_or_else(no_leader)?;
        let bytes = frame::encode(&call);
        // The timeout applies outside of the link: a slow answer does not mean that the connection
        // is dead.
        let answered = link.call(FORWARD_TIMEOUT, |client| async move {
            let mut request = client.forward_request();
            request.get().set_call(&bytes);
            let response = request.send().promise.await?;
            Ok(frame::decode(response.get()?.get_reply()?)?)
        });
        let answered = tokio::select! {
            answered = timeout(limit, answered) => answered,
            () = self.leader_changed(&leader) => {
                link.reset();
                return Err(Code::CommitUnknown.into());
            }
        };
        match answered {
            Ok(Ok(answered)) => answered,
            Ok(Err(error)) if error.is_unsent() => Err(no_leader()),
            Ok(Err(error)) => Err(Refusal::new(Code::CommitUnknown, error.to_string())),
            Err(_) => Err(Code::CommitUnknown.into()),
        }
    }

    fn link(&self, name: &Instance) -> Option<Link<control::Client>> {
        let address = self.addresses.get(name)?;
        let mut links = self.links.borrow_mut();
        if !links.contains_key(name) {
            // A replica that was removed is not called again.
            let members = self.replica.status().members;
            links.retain(|known, _| members.iter().any(|m| m.name == *known));
        }
        Some(links.entry(name.clone()).or_insert_with(|| Link::new(address)).clone())
    }

    /// Addresses of control instances and relays, as far as they are known here.
    fn address_map(&self) -> ControlMap {
        let status = self.replica.status();
        let members = status.members.iter().filter_map(|m| self.addresses.get(&m.name));
        ControlMap {
            leader: status.leader.as_ref().and_then(|l| self.addresses.get(l)),
            term: status.term,
            members: members.collect(),
            relays: self.leader.batch.relays(),
        }
    }

    /// Answers a call that another process forwarded, without forwarding it again.
    async fn answer_forwarded(&self, call: Call) -> CallResult {
        match call {
            Call::LocateControl => Ok(Reply::ControlMap(self.address_map())),
            call => self.leader.answer(call).await,
        }
    }

    /// Waits until the leader changes or is lost. Without this, a call to a leader that was cut off
    /// silently would wait for its whole timeout.
    async fn leader_changed(&self, leader: &Instance) {
        while self.replica.leader().as_ref() == Some(leader) {
            sleep(LEADER_POLL_INTERVAL).await;
        }
    }

    /// Reports the progress of the sessions to the leader, which renews the hub's own lease.
    pub(super) async fn run_progress(self: Rc<Self>) {
        let mut known_serial = 0;
        let mut watch = self.replica.watch();
        loop {
            let last_seen = *watch.borrow_and_update();
            self.hub.expire();
            let sent = self.clock.now();
            let progress = Call::Progress(self.hub.progress(known_serial));
            match self.call(progress, PROGRESS_TIMEOUT).await {
                Ok(Reply::Progressed { known }) => {
                    known_serial = known;
                    self.hub.renew_lease(sent);
                }
                Ok(_) => {}
                Err(refusal) if refusal.code == Code::ConfigInvalid => {
                    event::HubLeaseRefused { refusal: refusal.to_string() }.emit();
                }
                Err(refusal) => log::debug!(refusal:%; "progress report was not accepted"),
            }
            sleep(PROGRESS_INTERVAL_MIN).await;
            tokio::select! {
                () = sleep(self.progress_interval) => {}
                () = self.hub.changed.notified() => {}
                () = self.view_changed_without_sessions(&mut watch, last_seen) => {}
            }
        }
    }

    /// Waits for a change of the view while no session is open here that would have to acknowledge
    /// it first.
    async fn view_changed_without_sessions(
        &self,
        watch: &mut watch::Receiver<StateVersion>,
        last_seen: StateVersion,
    ) {
        let changed = |e: &StateVersion| e.view != last_seen.view && self.hub.is_empty();
        if watch.wait_for(changed).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    async fn open(&self, hello: &SessionRequest) -> std::result::Result<u64, Refusal> {
        if self.stopping.get() {
            return Err(Code::Stopping.into());
        }
        self.hub.check_hello(hello)?;
        let Some(announce) = hello.announce.clone() else {
            return Ok(0);
        };
        match self.call(Call::Announce(announce), FORWARD_TIMEOUT).await? {
            Reply::Announced { incarnation, index } => {
                self.hub.wait_applied(index).await?;
                Ok(incarnation)
            }
            _ => Err(Code::Internal.into()),
        }
    }
}

fn rpc_error(error: &frame::Error) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

/// Bootstrap capability of a control instance.
pub(super) struct Server(pub(super) Rc<ControlNode>);

impl control::Server for Server {
    async fn open(
        self: Rc<Self>,
        params: control::OpenParams,
        mut results: control::OpenResults,
    ) -> Result {
        let params = params.get()?;
        let hello: SessionRequest =
            frame::decode(params.get_hello()?).map_err(|e| rpc_error(&e))?;
        let sink = params.get_sink()?;
        let opened = self.0.open(&hello).await;
        let opened = opened.and_then(|incarnation| self.0.hub.open(&hello, incarnation, sink));
        let opened: OpenResult = match opened {
            Ok((id, welcome)) => {
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
        let bytes = params.get()?.get_call()?;
        let call: Call = frame::decode(bytes).map_err(|e| rpc_error(&e))?;
        let answered = match self.0.passed.admit(&call, bytes.len()) {
            Ok(_passed) => self.0.answer_forwarded(call).await,
            Err(refusal) => Err(refusal),
        };
        results.get().set_reply(&frame::encode(&answered));
        Ok(())
    }

    async fn probe(self: Rc<Self>, _: control::ProbeParams, _: control::ProbeResults) -> Result {
        Ok(())
    }
}

/// Capability of one session.
struct SessionServer {
    node: Rc<ControlNode>,
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
        let call: Call = frame::decode(params.get()?.get_call()?).map_err(|e| rpc_error(&e))?;
        let answered = self.node.call(call, FORWARD_TIMEOUT).await;
        results.get().set_reply(&frame::encode(&answered));
        Ok(())
    }

    async fn close(self: Rc<Self>, _: session::CloseParams, _: session::CloseResults) -> Result {
        self.node.hub.close(self.id);
        Ok(())
    }
}
