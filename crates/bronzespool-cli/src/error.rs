//! Errors and exit codes of the commands.

use {
    bronzespool::core::{Code, settings::Faults},
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    std::{io, net::SocketAddr, path::PathBuf},
};

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

/// How a command ended; the values are the exit codes of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The files have faults, or the system refused the request; nothing was changed.
    Refused = 1,
    /// The arguments are invalid.
    Usage = 2,
    /// The entry instance could not be reached; nothing was changed.
    Unreachable = 3,
    /// Another change was made first; this command changed nothing.
    Conflict = 4,
    /// The outcome is unknown and the change may have been made: repeat it with the same operation
    /// id.
    Unknown = 5,
    /// The change is accepted durably, but some processes did not acknowledge it in time.
    Pending = 6,
}

impl Exit {
    /// All exit codes, in order.
    pub const ALL: [Self; 7] = [
        Self::Done,
        Self::Refused,
        Self::Usage,
        Self::Unreachable,
        Self::Conflict,
        Self::Unknown,
        Self::Pending,
    ];

    /// Exit code of the process.
    pub const fn number(self) -> u8 {
        self as u8
    }

    /// Meaning of the exit code, as the help text shows it.
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
/// Body of an error response of the operators' interface.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[ignore_extra_doc_attributes]
pub struct ErrorResponse {
    /// Number of the result code.
    pub code: u16,
    /// Name of the result code.
    pub name: String,
    /// Outcome of the request: `done`, `not-run` or `unknown`.
    pub outcome: String,
    /// Cause of the error and what to do about it.
    pub message: String,
    /// Delay after which to retry, in milliseconds.
    pub retry_after_ms: Option<u64>,
    /// Id of the request in the logs of the system.
    pub request: String,
}

/// Why a command failed, or why its outcome is unknown.
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
        /// Cause of the failure.
        cause: String,
    },
    /// no complete response from {at} ({cause}): the change may have been made
    ResponseLost {
        /// Address of the entry instance.
        at: SocketAddr,
        /// Cause of the failure.
        cause: String,
    },
    /// {advice}
    WithAdvice {
        /// Text of the error, followed by what to do about it.
        advice: String,
        /// The error itself.
        error: Box<Error>,
    },
    /// cannot read {path}: {error}
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Error of the file system.
        error: io::Error,
    },
    /// cannot write {path}: {error}
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Error of the file system.
        error: io::Error,
    },
    /// unexpected response format ({0}): use a command line of the entry instance's version
    UnexpectedResponse(String),
    /// the plot cannot be drawn: {0}
    Plot(String),
    /// cannot start: {0}
    Runtime(io::Error),
}

impl std::error::Error for Error {}

impl Error {
    /// Exit code for the error.
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

    /// Whether the error leaves open what became of a change that was also sent before.
    ///
    /// A response that is not about the change itself, such as that control has no leader, says
    /// nothing about an earlier attempt, which may have been or may still be applied.
    pub fn is_inconclusive(&self) -> bool {
        match self {
            Self::Refused(response) => response.outcome == "unknown" || response.code / 1_000 == 3,
            Self::Unreachable { .. } | Self::ResponseLost { .. } => true,
            _ => false,
        }
    }

    /// The error as JSON, with the exit code under `exit`.
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
