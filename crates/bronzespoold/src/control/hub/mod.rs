//! The hub: the sessions of the entries and agents that are connected to this control instance.

mod assign;
mod pusher;
mod sessions;

pub(super) use {
    pusher::PUSH_TIMEOUT,
    sessions::{Hub, SessionTiming},
};
