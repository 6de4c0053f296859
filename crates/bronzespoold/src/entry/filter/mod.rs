//! The filter chain: each filter turns what the one before made into something more checked.

mod body;
mod caller;
mod chain;
mod route;

pub(super) use {
    body::{Checked, ReadBody},
    caller::Caller,
    chain::{Filter, Result, Then},
    route::{Raw, Route},
};
