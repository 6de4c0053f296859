//! The endpoint that a request goes to.

use {
    crate::entry::{
        agent_links::{AgentLink, AgentLinks},
        state::State,
    },
    bronzespool::flow::{claim::Incarnation, view::EndpointRecord},
    std::rc::Rc,
};

/// An incarnation of an agent and the link to it.
pub(in crate::entry) struct Target {
    pub(in crate::entry) incarnation: Incarnation,
    pub(in crate::entry) link: Rc<AgentLink>,
}

impl Target {
    /// The target that a peer of the view is.
    pub(in crate::entry) fn new(agents: &AgentLinks, peer: &EndpointRecord) -> Self {
        let instance = peer.place.instance.clone();
        let link = agents.link(&instance, peer.address);
        Self { incarnation: Incarnation { instance, number: peer.incarnation }, link }
    }
}

/// The target that a claim names, if its incarnation is in the view.
pub(super) fn find_target(state: &State, incarnation: &Incarnation) -> Option<Target> {
    let view = state.view();
    let peer = view.endpoints.get(&incarnation.instance)?;
    (peer.incarnation == incarnation.number).then(|| Target::new(&state.agents, peer))
}
