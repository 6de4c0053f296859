//! Intervals and time limits of a process.

use {
    crate::settings::{
        reader::SectionReader,
        schema::{SectionDef, defaulted},
        service::nonzero_duration,
        value::Span,
    },
    std::time::Duration,
};

macro_rules! timing {
    ($($name:ident $value:literal $help:literal;)*) => {
        /// Definition of the section `[timing]`.
        pub const SECTION: SectionDef = SectionDef {
            name: "timing",
            label: None,
            help: "Intervals and time limits; the same at all processes of a cluster.",
            keys: &[$(defaulted(stringify!($name), "duration", $value, $help),)*],
        };

        /// Intervals and time limits of a process.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub struct Timing {
            $(#[doc = $help] pub $name: Duration,)*
        }

        impl Default for Timing {
            fn default() -> Self {
                let span = |text| Span::try_from(text).map_or(Duration::ZERO, |span| span.0);
                Self { $($name: span($value),)* }
            }
        }

        fn read_all(reader: &mut SectionReader<'_>) -> Option<Timing> {
            $(let $name = reader.get(stringify!($name))
                .and_then(|span| nonzero_duration(reader, stringify!($name), span));)*
            Some(Timing { $($name: $name?,)* })
        }
    };
}

timing! {
    heartbeat "160ms" "Time between two messages of the leader to a replica.";
    election "500ms" "Shortest silence of the leader before an election; the longest is twice that.";
    renew "1s" "Time between two renewals of a session by an entry or agent.";
    session "3s" "Lease of a session: without a renewal its process takes no new work after it.";
    probe "1s" "Time allowed for the answer to a probe of a connection.";
    usage "5s" "Time between two usage reports of a worker.";
    headers "5s" "Time allowed for a caller's headers and body to arrive.";
    answers "15m" "Time for which the answer to a protected request is kept.";
    horizon "720h" "Time for which a used Idempotency-Key is refused after its answer has expired.";
}

/// Reads the section `[timing]` and checks its keys against each other.
pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Timing> {
    let timing = read_all(&mut reader)?;
    let rules = [
        ("heartbeat", timing.heartbeat * 3, "election", timing.election, "a third"),
        ("renew", timing.renew * 2, "session", timing.session, "half"),
        ("answers", timing.answers, "horizon", timing.horizon, "all"),
    ];
    for (key, least, other, limit, fraction) in rules {
        if least > limit {
            let message =
                format!("is more than {fraction} of '{other}': lower it, or raise '{other}'");
            reader.push_fault(key, message);
        }
    }
    Some(timing)
}
