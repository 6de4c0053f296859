//! The hub: sessions of the entries and agents near this control instance.

mod assign;
mod pusher;
mod sessions;

pub(super) use {
    pusher::PUSH_TIMEOUT,
    sessions::{Hub, SessionTiming},
};
