//! Links to the agents and what they last told of themselves.

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
/// Longest wait for the answer to a probe, a question or a fence.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Links to all agents in the view.
pub(super) struct AgentLinks {
    clock: Clock,
    links: RefCell<HashMap<Instance, Rc<AgentLink>>>,
}

impl AgentLinks {
    pub(super) fn new(clock: Clock) -> Self {
        Self { clock, links: RefCell::default() }
    }

    /// Follows the view: links of agents that have gone or moved are dropped.
    pub(super) fn update(&self, view: &View) {
        let same = |instance: &Instance, link: &Rc<AgentLink>| {
            view.endpoints.get(instance).is_some_and(|p| p.address == link.link.address())
        };
        self.links.borrow_mut().retain(|instance, link| same(instance, link));
    }

    /// The link to an agent.
    pub(super) fn link(&self, instance: &Instance, address: SocketAddr) -> Rc<AgentLink> {
        let mut links = self.links.borrow_mut();
        let new = || Rc::new(AgentLink::new(self.clock, address));
        Rc::clone(links.entry(instance.clone()).or_insert_with(new))
    }
}

/// Link to one agent.
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

    /// The agent's clock, asked for unless it is known.
    pub(super) async fn peer_clock(&self) -> Result<PeerClock> {
        if let Some((state, arrived)) = self.state.get() {
            return Ok(PeerClock::new(state.clock, arrived));
        }
        let state = self.probe().await?;
        Ok(PeerClock::new(state.clock, self.clock.now()))
    }

    /// Sends a request and waits for its completion, at most `time`. While it runs, the link is
    /// probed, so that a silent connection ends the wait within seconds.
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

    /// Asks what is known of an attempt.
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

    /// Makes sure that an attempt which has not started never will.
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

    /// Probes for as long as requests are in flight. A probe without an answer drops the
    /// connection, which ends the calls on it.
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

/// A request in flight on a link.
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
