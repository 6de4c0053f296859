//! The agent that a request is sent to.

use {
    crate::entry::{
        agent_links::{AgentLink, AgentLinks},
        state::State,
    },
    bronzespool::flow::{
        claim::Incarnation,
        view::{EndpointRecord, Presence},
    },
    std::rc::Rc,
};

/// An incarnation of an agent, with the link to the agent.
pub(in crate::entry) struct Target {
    pub(in crate::entry) incarnation: Incarnation,
    pub(in crate::entry) link: Rc<AgentLink>,
}

impl Target {
    /// Creates the target for an endpoint of the view.
    pub(in crate::entry) fn new(agents: &AgentLinks, endpoint: &EndpointRecord) -> Self {
        let instance = endpoint.place.instance.clone();
        let link = agents.link(&instance, endpoint.address);
        Self { incarnation: Incarnation { instance, number: endpoint.incarnation }, link }
    }
}

/// Returns the target of a claim, if that incarnation of the agent is in the view.
pub(super) fn find_target(state: &State, incarnation: &Incarnation) -> Option<Target> {
    let view = state.view();
    let endpoint = view.endpoints.get(&incarnation.instance)?;
    (endpoint.incarnation == incarnation.number).then(|| Target::new(&state.agents, endpoint))
}

/// Whether the view shows that incarnation of the agent as up.
pub(super) fn is_up(state: &State, incarnation: &Incarnation) -> bool {
    let view = state.view();
    let endpoint = view.endpoints.get(&incarnation.instance);
    endpoint.is_some_and(|e| e.incarnation == incarnation.number && e.presence == Presence::Up)
}
