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
const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Longest wait for the answer to a probe, a question or a fence.
const PROBE_TIME: Duration = Duration::from_millis(1_000);

/// Links to all agents in the view.
pub(super) struct Agents {
    clock: Clock,
    links: RefCell<HashMap<Instance, Rc<AgentLink>>>,
}

impl Agents {
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
    flying: Cell<u32>,
    probing: Cell<bool>,
}

impl AgentLink {
    fn new(clock: Clock, address: SocketAddr) -> Self {
        Self {
            clock,
            link: Link::new(address),
            state: Cell::new(None),
            flying: Cell::new(0),
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
        let flight = Flight::begin(self);
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
        drop(flight);
        if let Ok(reply) = &reply {
            self.note(reply.state);
        }
        reply
    }

    /// Asks what is known of an attempt.
    pub(super) async fn ask(&self, name: &AttemptId) -> Result<StatusReply> {
        let question = frame::encode(name);
        self.question(|client| async move {
            let mut request = client.ask_request();
            request.get().set_question(&question);
            let response = request.send().promise.await?;
            Ok(frame::decode(response.get()?.get_reply()?)?)
        })
        .await
    }

    /// Makes sure that an attempt which has not started never will.
    pub(super) async fn fence(&self, name: &AttemptId) -> Result<StatusReply> {
        let question = frame::encode(name);
        self.question(|client| async move {
            let mut request = client.fence_request();
            request.get().set_question(&question);
            let response = request.send().promise.await?;
            Ok(frame::decode(response.get()?.get_reply()?)?)
        })
        .await
    }

    async fn question<F, A>(&self, call: F) -> Result<StatusReply>
    where
        F: FnOnce(agent::Client) -> A,
        A: Future<Output = Result<StatusReply>>,
    {
        let reply = self.link.call(PROBE_TIME, call).await?;
        self.note(reply.state);
        Ok(reply)
    }

    async fn probe(&self) -> Result<AgentState> {
        let state: AgentState = self
            .link
            .call(PROBE_TIME, |client| async move {
                let response = client.probe_request().send().promise.await?;
                Ok(frame::decode(response.get()?.get_reply()?)?)
            })
            .await?;
        self.note(state);
        Ok(state)
    }

    fn note(&self, state: AgentState) {
        self.state.set(Some((state, self.clock.now())));
    }

    /// Probes for as long as requests are in flight. A probe without an answer drops the
    /// connection, which ends the calls on it.
    async fn watch(self: Rc<Self>) {
        while self.flying.get() > 0 {
            sleep(PROBE_PERIOD).await;
            if let Err(error) = self.probe().await {
                event::AgentSilent { agent: self.link.address(), error: error.to_string() }.emit();
            }
        }
        self.probing.set(false);
    }
}

/// A request in flight on a link.
struct Flight(Rc<AgentLink>);

impl Flight {
    fn begin(link: &Rc<AgentLink>) -> Self {
        link.flying.set(link.flying.get() + 1);
        if !link.probing.replace(true) {
            spawn_local(Rc::clone(link).watch());
        }
        Self(Rc::clone(link))
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.flying.set(self.0.flying.get() - 1);
    }
}
