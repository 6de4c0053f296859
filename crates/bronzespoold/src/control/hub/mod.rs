//! The hub: sessions of the entries and agents near this control instance.

mod assign;
mod pump;
mod sessions;

pub(super) use {
    assign::SESSION_SPAN,
    pump::PUSH_TIME,
    sessions::{Hub, Spans},
};
