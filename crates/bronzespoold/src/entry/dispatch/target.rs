//! Chooses the endpoint for a request.

use {
    crate::entry::{agents::AgentLink, filter::Checked, state::State},
    bronzespool::{
        core::{HashSet, Instance},
        flow::{
            claim::Incarnation,
            view::{Peer, Presence},
        },
    },
    std::rc::Rc,
};

/// The endpoint that a request goes to.
pub(super) struct Target {
    pub(super) incarnation: Incarnation,
    pub(super) link: Rc<AgentLink>,
}

/// The endpoint with the smallest share of its slots in use, in the own data centre if one there
/// has a free slot. Endpoints in `tried` are left out.
pub(super) fn choose(
    state: &State,
    request: &Checked,
    slots: u32,
    tried: &HashSet<Instance>,
) -> Option<Target> {
    let view = state.view();
    let fits = |p: &&Peer| {
        p.presence == Presence::Up
            && p.services.contains(&request.service)
            && p.capacity.slots >= slots
            && !tried.contains(&p.place.instance)
    };
    let rank = |p: &&Peer| {
        let used = state.agents.used(&p.place.instance);
        let free = p.capacity.slots.saturating_sub(used);
        let far = p.place.center != state.center || free < slots;
        let share = u64::from(used) * 1_000 / u64::from(p.capacity.slots.max(1));
        (free < slots, far, share, fastrand::u32(..))
    };
    let peer = view.peers.values().filter(fits).min_by_key(rank)?;
    Some(target(state, peer))
}

/// The target that a claim names, if its incarnation is in the view.
pub(super) fn find(state: &State, incarnation: &Incarnation) -> Option<Target> {
    let view = state.view();
    let peer = view.peers.get(&incarnation.instance)?;
    (peer.incarnation == incarnation.number).then(|| target(state, peer))
}

fn target(state: &State, peer: &Peer) -> Target {
    let instance = peer.place.instance.clone();
    let link = state.agents.link(&instance, peer.address);
    Target { incarnation: Incarnation { instance, number: peer.incarnation }, link }
}
