//! The hub: sessions of the entries and agents near this control instance.

mod assign;
mod pump;
mod sessions;

pub(super) use {
    pump::PUSH_TIME,
    sessions::{Hub, Spans},
};
