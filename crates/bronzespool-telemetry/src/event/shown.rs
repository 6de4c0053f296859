//! How the values of events are written.

use {
    bronzespool_batch::{
        EventOutcome, JobId, Phase, RunId, StepId, TaskId, WorkerIncarnation, ledger::RunOutcome,
    },
    bronzespool_core::Instance,
    log::kv::Value,
    std::{net::SocketAddr, sync::Arc},
};

/// A value in a log line.
pub trait Shown {
    /// The value as the line holds it: numbers and truth values as such, all else as text.
    fn shown(&self) -> Value<'_>;
}

macro_rules! plain {
    ($($kind:ty),+) => {
        $(impl Shown for $kind {
            fn shown(&self) -> Value<'_> {
                Value::from(*self)
            }
        })+
    };
}

macro_rules! displayed {
    ($($kind:ty),+) => {
        $(impl Shown for $kind {
            fn shown(&self) -> Value<'_> {
                Value::from_display(self)
            }
        })+
    };
}

macro_rules! named {
    ($($kind:ty),+) => {
        $(impl Shown for $kind {
            fn shown(&self) -> Value<'_> {
                Value::from_debug(self)
            }
        })+
    };
}

plain!(bool, u8, u16, u32, u64, usize, &'static str);
displayed!(JobId, StepId, TaskId, RunId, WorkerIncarnation, Instance, SocketAddr);
named!(Phase, EventOutcome, RunOutcome, Vec<SocketAddr>);

impl Shown for String {
    fn shown(&self) -> Value<'_> {
        Value::from(self.as_str())
    }
}

impl Shown for Arc<str> {
    fn shown(&self) -> Value<'_> {
        Value::from(&**self)
    }
}

impl<T: Shown> Shown for Option<T> {
    fn shown(&self) -> Value<'_> {
        self.as_ref().map_or_else(Value::null, Shown::shown)
    }
}
