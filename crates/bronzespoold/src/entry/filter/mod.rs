//! The filter chain: each filter turns what the one before made into something more checked.

mod body;
mod caller;
mod chain;
mod route;

pub(super) use {
    body::{BodyFilter, CheckedRequest},
    caller::CallerFilter,
    chain::{Chain, Filter, Result},
    route::{RawRequest, RouteFilter},
};
