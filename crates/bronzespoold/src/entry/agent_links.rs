//! Links to the agents and the state that each agent last reported.

use {
    crate::{
        clock::Clock,
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{HashMap, Instance, Time},
        flow::{
            admit::{AttemptId, PeerClock},
            view::View,
        },
        wire::{
            bronzespool_capnp::agent,
            frame,
            link::{Link, Result},
            message::{AgentState, RunReply, RunRequest, StatusReply},
        },
    },
    bytes::Bytes,
    std::{
        cell::{Cell, RefCell},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{task::spawn_local, time::sleep},
};

/// Time between two probes of a link with requests in flight.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the reply to a probe, a status query or a fence.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Links to the agents in the view, opened on first use.
pub(super) struct AgentLinks {
    clock: Clock,
    links: RefCell<HashMap<Instance, Rc<AgentLink>>>,
}

impl AgentLinks {
    pub(super) fn new(clock: Clock) -> Self {
        Self { clock, links: RefCell::default() }
    }

    /// Drops the links of agents that have left the view or changed their address.
    pub(super) fn update(&self, view: &View) {
        let same = |instance: &Instance, link: &Rc<AgentLink>| {
            view.endpoints.get(instance).is_some_and(|p| p.address == link.link.address())
        };
        self.links.borrow_mut().retain(|instance, link| same(instance, link));
    }

    /// Returns the link to an agent, and creates it if there is none.
    pub(super) fn link(&self, instance: &Instance, address: SocketAddr) -> Rc<AgentLink> {
        let mut links = self.links.borrow_mut();
        let new = || Rc::new(AgentLink::new(self.clock, address));
        Rc::clone(links.entry(instance.clone()).or_insert_with(new))
    }
}

/// Link to one agent, with the last reported state of the agent and the time of its arrival.
pub(super) struct AgentLink {
    clock: Clock,
    link: Link<agent::Client>,
    state: Cell<Option<(AgentState, Time)>>,
    in_flight: Cell<u32>,
    probing: Cell<bool>,
}

impl AgentLink {
    fn new(clock: Clock, address: SocketAddr) -> Self {
        Self {
            clock,
            link: Link::new(address),
            state: Cell::new(None),
            in_flight: Cell::new(0),
            probing: Cell::new(false),
        }
    }

    /// Returns the agent's clock; probes the agent if it has not reported its clock yet.
    pub(super) async fn peer_clock(&self) -> Result<PeerClock> {
        if let Some((state, arrived)) = self.state.get() {
            return Ok(PeerClock::new(state.clock, arrived));
        }
        let state = self.probe().await?;
        Ok(PeerClock::new(state.clock, self.clock.now()))
    }

    /// Sends a request and waits for its completion, at most `time`. The link is probed meanwhile,
    /// so that a dead connection ends the wait within seconds.
    pub(super) async fn run(
        self: &Rc<Self>,
        run: &RunRequest,
        body: &Bytes,
        time: Duration,
    ) -> Result<RunReply> {
        let guard = InFlightGuard::begin(self);
        let run = frame::encode(run);
        let reply: Result<RunReply> = self
            .link
            .call(time, |client| async move {
                let mut request = client.run_request();
                request.get().set_run(&run);
                request.get().set_body(body);
                let response = request.send().promise.await?;
                Ok(frame::decode(response.get()?.get_reply()?)?)
            })
            .await;
        drop(guard);
        if let Ok(reply) = &reply {
            self.record_state(reply.state);
        }
        reply
    }

    /// Queries the status of an attempt.
    pub(super) async fn query_attempt(&self, id: &AttemptId) -> Result<StatusReply> {
        let question = frame::encode(id);
        self.query(|client| async move {
            let mut request = client.ask_request();
            request.get().set_question(&question);
            let response = request.send().promise.await?;
            Ok(frame::decode(response.get()?.get_reply()?)?)
        })
        .await
    }

    /// Fences an attempt, so that it can never start if it has not started yet.
    pub(super) async fn fence_attempt(&self, id: &AttemptId) -> Result<StatusReply> {
        let question = frame::encode(id);
        self.query(|client| async move {
            let mut request = client.fence_request();
            request.get().set_question(&question);
            let response = request.send().promise.await?;
            Ok(frame::decode(response.get()?.get_reply()?)?)
        })
        .await
    }

    async fn query<F, A>(&self, call: F) -> Result<StatusReply>
    where
        F: FnOnce(agent::Client) -> A,
        A: Future<Output = Result<StatusReply>>,
    {
        let reply = self.link.call(PROBE_TIMEOUT, call).await?;
        self.record_state(reply.state);
        Ok(reply)
    }

    async fn probe(&self) -> Result<AgentState> {
        let state: AgentState = self
            .link
            .call(PROBE_TIMEOUT, |client| async move {
                let response = client.probe_request().send().promise.await?;
                Ok(frame::decode(response.get()?.get_reply()?)?)
            })
            .await?;
        self.record_state(state);
        Ok(state)
    }

    fn record_state(&self, state: AgentState) {
        self.state.set(Some((state, self.clock.now())));
    }

    /// Probes the agent while requests are in flight. A probe without a reply drops the connection,
    /// which ends the calls on it.
    async fn probe_while_busy(self: Rc<Self>) {
        while self.in_flight.get() > 0 {
            sleep(PROBE_INTERVAL).await;
            if let Err(error) = self.probe().await {
                event::AgentSilent { agent: self.link.address(), error: error.to_string() }.emit();
            }
        }
        self.probing.set(false);
    }
}

/// Counts a request as in flight on a link until it is dropped.
struct InFlightGuard(Rc<AgentLink>);

impl InFlightGuard {
    fn begin(link: &Rc<AgentLink>) -> Self {
        link.in_flight.set(link.in_flight.get() + 1);
        if !link.probing.replace(true) {
            spawn_local(Rc::clone(link).probe_while_busy());
        }
        Self(Rc::clone(link))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
