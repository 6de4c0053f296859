//! Numbered result codes of requests. Programs act on the number; the outcome tells a caller
//! whether its request ran.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Whether a request ran, as known when it was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran, and this is its complete answer.
    Done,
    /// This attempt did not start and never will.
    NotRun,
    /// The request may have run; it will not be started again.
    Unknown,
}

impl Outcome {
    /// The outcome as written in answers and headers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

macro_rules! codes {
    ($($number:literal $name:ident $outcome:ident $status:literal $help:literal;)*) => {
        /// A numbered result code.
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        #[serde(try_from = "u16", into = "u16")]
        #[repr(u16)]
        pub enum Code {
            $(#[doc = $help] $name = $number,)*
        }

        impl Code {
            /// All codes, sorted by number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Outcome of a request that is answered with this code.
            pub const fn outcome(self) -> Outcome {
                match self { $(Self::$name => Outcome::$outcome,)* }
            }

            /// HTTP status of an answer with this code.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Name of the code.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name),)* }
            }

            /// Meaning of the code and what the caller can do.
            pub const fn help(self) -> &'static str {
                match self { $(Self::$name => $help,)* }
            }
        }
    };
}

codes! {
    1000 Done Done 200 "the whole answer of this request";
    1001 Accepted Done 202 "the job is accepted: ask at its Location";
    1002 Cancelled Done 200 "the job is cancelled and runs no more";
    2001 UnknownService NotRun 404 "no such service in the configuration: check the path";
    2002 UnknownKind NotRun 404 "the service has no such kind: check the path";
    2003 UnknownTeam NotRun 403 "the team may not call this service: check the Team header";
    2004 KeyMissing NotRun 400 "a protected kind needs an Idempotency-Key header";
    2005 KeyInvalid NotRun 400 "the Idempotency-Key has more than 128 bytes or a character that is not allowed";
    2006 BodyTooLarge NotRun 413 "the body is over the kind's limit";
    2007 HeaderInvalid NotRun 400 "a header cannot be read: the message names it";
    2008 BodyInvalid NotRun 400 "the body is not JSON";
    2009 LengthMismatch NotRun 400 "the body ended before its Content-Length: send it again whole";
    2010 HeadersSlow NotRun 408 "the request did not arrive within the time for headers and body";
    2011 KeyReused NotRun 422 "this Idempotency-Key was used with another body: take a new key";
    2013 Infeasible NotRun 422 "no set of workers can ever hold this job: the message names what is missing";
    2014 PathUnknown NotRun 404 "no such path or method";
    2015 UnknownJob NotRun 404 "no such job, or its record has expired";
    2016 JobRefused NotRun 422 "the job failed on several healthy workers and is not started again";
    2017 ModeMismatch NotRun 422 "the kind is a job where a request was meant, or the other way round";
    3001 TeamLimit NotRun 429 "the team's limit is reached: come back after Retry-After";
    3002 Overloaded NotRun 503 "all endpoints are busy: come back after Retry-After";
    3003 DeadlinePassed NotRun 504 "the deadline passed before the request was started";
    3004 NoEndpoint NotRun 503 "no endpoint serves this kind now: come back after Retry-After";
    3005 NoSession NotRun 503 "this process has no session with control and takes no new work: try another entry";
    3006 Draining NotRun 503 "the endpoint is leaving and takes no new work";
    3007 NoLeader NotRun 503 "control has no leader now: come back after Retry-After";
    3008 Fenced NotRun 503 "the request was fenced before it started: it may be sent again";
    3009 BudgetSpent NotRun 503 "the retry budget is spent: come back after Retry-After";
    3010 Stopping NotRun 503 "this process is stopping: try another entry";
    3011 QueueFull NotRun 503 "the queue is full: come back after Retry-After";
    3012 IncarnationGone NotRun 503 "the addressed incarnation of the agent is not this one";
    3013 RevisionBehind NotRun 503 "entry and agent hold different revisions of the configuration: come back after Retry-After";
    3014 BoundReached NotRun 503 "this process holds as many connections or sessions as it may: come back after Retry-After or try another process";
    3015 CenterDrained NotRun 503 "the data centre is drained by an operator and takes no new work: come back after Retry-After";
    4001 Sealed Unknown 502 "the endpoint was lost before its outcome was known: it is never run again, ask with the same key";
    4002 InProgress Unknown 504 "started and not finished in time: ask again with the same key for the outcome";
    4003 AnswerShort Unknown 502 "the endpoint's answer was cut short: ask again with the same key";
    4004 AnswerTooLarge Unknown 502 "the endpoint's answer is over its limit";
    4005 Unreachable Unknown 504 "the agent that may have started the request does not answer: ask again with the same key";
    4006 CommitUnknown Unknown 504 "control did not confirm the change in time: send it again with the same operation id";
    4007 KeyExpired Unknown 410 "the key's record has expired: its request may have run and is never run anew under this key";
    4008 KeyUnsettled Unknown 503 "nothing was started now, but whether an earlier request with this key ran is not known here: ask again with the same key";
    5001 Conflict NotRun 409 "another change came first: the message names its revision, publish on that base";
    5002 GuaranteesClash NotRun 422 "the guarantees cannot all be packed at once: the message names teams and shapes";
    5003 ConfigInvalid NotRun 422 "a file has faults: the message names file, line and key";
    5004 OperationReused NotRun 422 "this operation id was used with another change";
    5005 UnknownInstance NotRun 404 "no such instance is announced";
    5006 UnknownCenter NotRun 404 "no such data centre: no setting, instance or worker names it";
    6001 RecordCorrupt NotRun 500 "a log record fails its checksum before the end of the log: replace this replica's disk";
    6002 SnapshotCorrupt NotRun 500 "the snapshot fails its checksum: replace this replica's disk";
    6003 VersionUnknown NotRun 500 "a record, snapshot or message has a version that this program does not know: upgrade it";
    6004 StorageFailed NotRun 500 "the disk refused a write or a sync: this replica stops";
    6005 MessageCorrupt NotRun 500 "a message between processes cannot be read";
    6006 ReplicaUnknown NotRun 500 "this replica's identity is not in the log's membership";
    9001 Internal Unknown 500 "a fault of this program: report it with the request id";
}

/// {0} is no result code
#[derive(Clone, Copy, Debug, displaydoc::Display, PartialEq, Eq)]
pub struct UnknownCode(pub u16);

impl std::error::Error for UnknownCode {}

impl Code {
    /// The number as written in answers.
    pub const fn number(self) -> u16 {
        self as u16
    }
}

/// All codes as a Markdown table.
pub fn table() -> String {
    let header = "| number | name | outcome | HTTP status | meaning |\n|---|---|---|---|---|";
    let row = |code: &Code| {
        let (number, name, help) = (code.number(), code.name(), code.help());
        format!("\n| {number} | `{name}` | {} | {} | {help} |", code.outcome(), code.status())
    };
    Code::ALL.iter().fold(header.to_owned(), |table, code| table + &row(code))
}

impl TryFrom<u16> for Code {
    type Error = UnknownCode;

    fn try_from(number: u16) -> Result<Self, UnknownCode> {
        Self::ALL.iter().copied().find(|c| c.number() == number).ok_or(UnknownCode(number))
    }
}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code.number()
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}
