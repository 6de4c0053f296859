//! The agent that a request is sent to.

use {
    crate::entry::{
        agent_links::{AgentLink, AgentLinks},
        state::State,
    },
    bronzespool::flow::{claim::Incarnation, view::EndpointRecord},
    std::rc::Rc,
};

/// An incarnation of an agent, with the link to the agent.
pub(in crate::entry) struct Target {
    pub(in crate::entry) incarnation: Incarnation,
    pub(in crate::entry) link: Rc<AgentLink>,
}

impl Target {
    /// Creates the target for an endpoint of the view.
    pub(in crate::entry) fn new(agents: &AgentLinks, peer: &EndpointRecord) -> Self {
        let instance = peer.place.instance.clone();
        let link = agents.link(&instance, peer.address);
        Self { incarnation: Incarnation { instance, number: peer.incarnation }, link }
    }
}

/// Returns the target of a claim, if that incarnation of the agent is in the view.
pub(super) fn find_target(state: &State, incarnation: &Incarnation) -> Option<Target> {
    let view = state.view();
    let peer = view.endpoints.get(&incarnation.instance)?;
    (peer.incarnation == incarnation.number).then(|| Target::new(&state.agents, peer))
}
