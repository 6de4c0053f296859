//! Conversion of event fields to values of log lines.

use {
    bronzespool_batch::{
        EventOutcome, JobId, Phase, RunId, StepId, TaskId, WorkerIncarnation, agent::NotStarted,
        ledger::RunOutcome,
    },
    bronzespool_core::Instance,
    log::kv::Value,
    std::{net::SocketAddr, sync::Arc},
};

/// A field type that can be written to a log line.
pub trait LogValue {
    /// The value in the log line: numbers and booleans as such, everything else as text.
    fn log_value(&self) -> Value<'_>;
}

macro_rules! by_value {
    ($($kind:ty),+) => {
        $(impl LogValue for $kind {
            fn log_value(&self) -> Value<'_> {
                Value::from(*self)
            }
        })+
    };
}

macro_rules! by_display {
    ($($kind:ty),+) => {
        $(impl LogValue for $kind {
            fn log_value(&self) -> Value<'_> {
                Value::from_display(self)
            }
        })+
    };
}

macro_rules! by_debug {
    ($($kind:ty),+) => {
        $(impl LogValue for $kind {
            fn log_value(&self) -> Value<'_> {
                Value::from_debug(self)
            }
        })+
    };
}

by_value!(bool, u8, u16, u32, u64, usize, &'static str);
by_display!(JobId, StepId, TaskId, RunId, WorkerIncarnation, Instance, SocketAddr);
by_debug!(Phase, EventOutcome, RunOutcome, NotStarted, Vec<SocketAddr>);

impl LogValue for String {
    fn log_value(&self) -> Value<'_> {
        Value::from(self.as_str())
    }
}

impl LogValue for Arc<str> {
    fn log_value(&self) -> Value<'_> {
        Value::from(&**self)
    }
}

impl<T: LogValue> LogValue for Option<T> {
    fn log_value(&self) -> Value<'_> {
        self.as_ref().map_or_else(Value::null, LogValue::log_value)
    }
}
