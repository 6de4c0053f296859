//! Log events. Each event is a type with a fixed text, by which lines can be searched, and named
//! fields.

mod agent;
mod control;
mod daemon;
mod entry;
mod log_value;
mod process;
mod worker;

pub use self::{
    agent::*, control::*, daemon::*, entry::*, log_value::LogValue, process::*, worker::*,
};

use {
    log::{Level, Record, kv::Value},
    std::fmt::{Arguments, Write},
};

/// The process, or role of a process, that emits an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Any process.
    Process,
    /// An entry.
    Entry,
    /// An agent.
    Agent,
    /// A control instance.
    Control,
    /// The control instance that is the leader.
    Leader,
}

impl Origin {
    /// Name in log lines, written as their `module_path`.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Process => "process",
            Self::Entry => "entry",
            Self::Agent => "agent",
            Self::Control => "control",
            Self::Leader => "leader",
        }
    }
}

/// Description of an event type, as listed in the page of events.
#[derive(Clone, Copy, Debug)]
pub struct EventInfo {
    /// Text of its log lines.
    pub text: &'static str,
    /// Log level.
    pub level: Level,
    /// What emits it.
    pub origin: Origin,
    /// Meaning of the event.
    pub description: &'static str,
    /// Names and descriptions of the fields.
    pub fields: &'static [(&'static str, &'static str)],
}

/// A log event.
pub trait Event {
    /// Description of the event type.
    const INFO: EventInfo;

    /// Counts the event and writes its log line.
    fn emit(&self);
}

/// Defines event types by doc comment, name, level, origin, text and fields. An event is counted in
/// the metrics even if its line is dropped.
macro_rules! events {
    ($(
        $(#[doc = $doc:literal])+
        $name:ident: $level:ident, $origin:ident, $text:literal {
            $($(#[doc = $about:literal])+ $field:ident: $kind:ty,)*
        }
    )+) => {
        $(
            $(#[doc = $doc])+
            #[derive(Clone, Debug)]
            pub struct $name {
                $($(#[doc = $about])+ pub $field: $kind,)*
            }

            impl $crate::event::Event for $name {
                const INFO: $crate::event::EventInfo = $crate::event::EventInfo {
                    text: $text,
                    level: log::Level::$level,
                    origin: $crate::event::Origin::$origin,
                    description: concat!($($doc),+),
                    fields: &[$((stringify!($field), concat!($($about),+))),*],
                };

                fn emit(&self) {
                    let pairs: &[(&str, log::kv::Value<'_>)] = &[
                        $((stringify!($field), $crate::event::LogValue::log_value(&self.$field))),*
                    ];
                    $crate::event::write_event(&Self::INFO, format_args!($text), pairs);
                }
            }
        )+

        /// Descriptions of all event types of this module.
        pub(super) const INFOS: &[$crate::event::EventInfo] =
            &[$(<$name as $crate::event::Event>::INFO),+];
    };
}

use events;

fn write_event(info: &EventInfo, text: Arguments<'_>, pairs: &[(&str, Value<'_>)]) {
    metrics::counter!("bronzespool_events_total", "event" => info.text).increment(1);
    if info.level > log::max_level() {
        return;
    }
    let origin = info.origin.name();
    let record = Record::builder()
        .level(info.level)
        .target(origin)
        .module_path_static(Some(origin))
        .args(text)
        .key_values(&pairs)
        .build();
    log::logger().log(&record);
}

/// Descriptions of all event types.
pub fn all() -> impl Iterator<Item = &'static EventInfo> {
    let modules =
        [process::INFOS, entry::INFOS, agent::INFOS, control::INFOS, worker::INFOS, daemon::INFOS];
    modules.into_iter().flatten()
}

/// All event types as the Markdown table of the page of events.
pub fn table() -> String {
    let mut text =
        String::from("| text | level | told by | tells | fields |\n|---|---|---|---|---|\n");
    for info in all() {
        let fields: Vec<_> =
            info.fields.iter().map(|(n, about)| format!("`{n}`: {}", phrase(about))).collect();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "| `{}` | {} | {} | {} | {} |",
            info.text,
            info.level.as_str().to_lowercase(),
            info.origin.name(),
            phrase(info.description),
            fields.join("; "),
        );
    }
    text.trim_end().to_owned()
}

/// A doc comment without its final full stop.
fn phrase(doc: &str) -> &str {
    doc.trim().trim_end_matches('.')
}
