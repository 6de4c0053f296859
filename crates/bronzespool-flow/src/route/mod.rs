//! Routing: chooses an endpoint by its load.
//!
//! [`EndpointLoads`] holds, for each endpoint, the slots in use as its agent last reported them
//! and the requests that this entry has sent since. Both are estimates that may be stale; the
//! agent's admission has the last word. The router draws two candidates at random and takes the
//! less loaded one, so that entries with equally stale loads do not all choose the same endpoint.

mod choose;
mod load;

pub use self::{
    choose::{Candidate, RouteCosts, Router},
    load::{EndpointLoad, EndpointLoads},
};
