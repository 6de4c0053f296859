//! Errors and their result codes.

use {
    bronzespool_core::{Code, Instance},
    displaydoc::Display,
};

/// Result of the operations in this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why an operation was refused.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// this replica is not the leader
    NotLeader {
        /// The current leader, if known.
        leader: Option<Instance>,
    },
    /// too much is proposed and not yet committed
    Busy,
    /// a membership change is not yet committed
    MembershipPending,
    /// {code}: {detail}
    Fault {
        /// Code of the failure.
        code: Code,
        /// Context of the failure.
        detail: String,
    },
}

impl Error {
    /// Creates a [`Error::Fault`] from a code and a detail.
    pub fn fault(code: Code, detail: impl Into<String>) -> Self {
        Self::Fault { code, detail: detail.into() }
    }

    /// Result code shown to callers, operators and logs.
    pub const fn code(&self) -> Code {
        match self {
            Self::NotLeader { .. } => Code::NoLeader,
            Self::Busy | Self::MembershipPending => Code::Overloaded,
            Self::Fault { code, .. } => *code,
        }
    }
}

impl std::error::Error for Error {}
