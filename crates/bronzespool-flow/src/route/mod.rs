//! Choice of an endpoint by the load that it holds.
//!
//! A [`EndpointLoads`] keeps, for each endpoint, the slots in use as its agent last said and the requests
//! that this entry has sent since. Both are estimates that may be stale; the agent's admission
//! decides. Two candidates are drawn at random and the less loaded one is taken, so that entries
//! with equally stale loads don't all choose the same endpoint.

mod choose;
mod load;

pub use self::{
    choose::{Candidate, RouteCosts, Router},
    load::{EndpointLoad, EndpointLoads},
};
