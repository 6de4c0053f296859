//! The filter chain: each filter checks the request further and passes it to the next one.

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
