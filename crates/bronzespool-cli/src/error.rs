//! Faults of a command and its exit codes.

use {
    bronzespool::core::{Code, settings::Faults},
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{io, net::SocketAddr, path::PathBuf},
};

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// How a command ended, as its exit code tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// Files have faults, or the system refused; nothing was changed.
    Refused = 1,
    /// The arguments are not understood.
    Usage = 2,
    /// The entry instance cannot be reached; nothing was changed.
    Unreachable = 3,
    /// Another change came first; nothing was changed.
    Conflict = 4,
    /// The change may have been made: repeat it with the same operation id.
    Unknown = 5,
    /// The change is accepted for good, but some processes have not acknowledged it in time.
    Pending = 6,
}

impl Exit {
    /// Every exit code.
    pub const ALL: [Self; 7] = [
        Self::Done,
        Self::Refused,
        Self::Usage,
        Self::Unreachable,
        Self::Conflict,
        Self::Unknown,
        Self::Pending,
    ];

    /// The number that the process returns.
    pub const fn number(self) -> u8 {
        self as u8
    }

    /// What it means.
    pub const fn help(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Refused => "faults in files, or refused by the system; nothing was changed",
            Self::Usage => "the arguments are not understood",
            Self::Unreachable => "the entry instance cannot be reached; nothing was changed",
            Self::Conflict => "another change came first; nothing was changed",
            Self::Unknown => "the outcome is unknown: repeat with the same operation id",
            Self::Pending => "accepted, but not in force everywhere in time (publish --wait)",
        }
    }
}

/// {code} {name} ({outcome}): {message} [request {request}]
///
/// An error as the operators' interface sends it.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[ignore_extra_doc_attributes]
pub struct ErrorResponse {
    /// Number of the result code.
    pub code: u16,
    /// Name of the result code.
    pub name: String,
    /// What holds: done, not-run or unknown.
    pub outcome: String,
    /// What is wrong and what to do.
    pub message: String,
    /// When to come back, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Id of the request, as in the logs.
    pub request: String,
}

/// Why a command did not do what it was asked.
#[derive(Debug, Display)]
pub enum Error {
    /// {0} (see 'bronzespool --help')
    Usage(String),
    /// {0}
    Faults(Faults),
    /// refused: {0}
    Refused(Box<ErrorResponse>),
    /// cannot reach {at}: {cause}
    Unreachable {
        /// Address of the entry instance.
        at: SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// no whole answer from {at} ({cause}): the change may have been made
    ResponseLost {
        /// Address of the entry instance.
        at: SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// {advice}
    WithAdvice {
        /// What to do, with the fault it answers.
        advice: String,
        /// The fault.
        error: Box<Error>,
    },
    /// cannot read {path}: {error}
    Read {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        error: io::Error,
    },
    /// cannot write {path}: {error}
    Write {
        /// The file.
        path: PathBuf,
        /// What went wrong.
        error: io::Error,
    },
    /// the answer is not of the form expected ({0}): use a program of the entry's version
    UnexpectedResponse(String),
    /// the plot cannot be drawn: {0}
    Plot(String),
    /// cannot start: {0}
    Runtime(io::Error),
}

impl std::error::Error for Error {}

impl Error {
    /// The exit code.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::Unreachable { .. } => Exit::Unreachable,
            Self::ResponseLost { .. } => Exit::Unknown,
            Self::Refused(response) if response.code == Code::Conflict.number() => Exit::Conflict,
            Self::Refused(response) if response.outcome == "unknown" => Exit::Unknown,
            Self::WithAdvice { error, .. } => error.exit(),
            _ => Exit::Refused,
        }
    }

    /// Whether a change that was sent before may still be made, or may have been made.
    ///
    /// An answer that is not about the change itself, such as that control has no leader, says
    /// nothing of an earlier send.
    pub fn is_inconclusive(&self) -> bool {
        match self {
            Self::Refused(response) => response.outcome == "unknown" || response.code / 1_000 == 3,
            Self::Unreachable { .. } | Self::ResponseLost { .. } => true,
            _ => false,
        }
    }

    /// The fault for a program.
    pub fn json(&self) -> Value {
        let mut value = match self {
            Self::Refused(response) => json!(response),
            Self::Faults(faults) => json!({ "faults": faults }),
            Self::WithAdvice { advice, error } => {
                let mut value = error.json();
                value["advice"] = json!(advice);
                value
            }
            _ => json!({ "message": self.to_string() }),
        };
        value["exit"] = json!(self.exit().number());
        value
    }
}
