//! Errors and their result codes.

use {
    bronzespool_core::{Code, Instance},
    displaydoc::Display,
};

/// Result of an operation of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Why an operation was refused.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// this replica is not the leader
    NotLeader {
        /// The leader, where known.
        leader: Option<Instance>,
    },
    /// too much is proposed and not yet committed
    Busy,
    /// a membership change is not yet committed
    MembershipPending,
    /// {code}: {detail}
    Fault {
        /// What failed.
        code: Code,
        /// Where it failed.
        detail: String,
    },
}

impl Error {
    /// A fault with a code and a detail.
    pub fn fault(code: Code, detail: impl Into<String>) -> Self {
        Self::Fault { code, detail: detail.into() }
    }

    /// Number for callers, operators and logs.
    pub const fn code(&self) -> Code {
        match self {
            Self::NotLeader { .. } => Code::NoLeader,
            Self::Busy | Self::MembershipPending => Code::Overloaded,
            Self::Fault { code, .. } => *code,
        }
    }
}

impl std::error::Error for Error {}
