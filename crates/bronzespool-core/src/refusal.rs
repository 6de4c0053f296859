//! The error of a call: a result code, a message and an optional retry delay.

use {
    crate::code::Code,
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// Why a call failed, and when a retry can succeed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// Details for a person.
    pub message: String,
    /// Delay before a retry, if a retry can help.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal with a message and without a retry delay.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), retry: None }
    }

    /// Sets the delay before a retry.
    #[must_use]
    pub const fn retry_after(mut self, span: Duration) -> Self {
        self.retry = Some(span);
        self
    }
}

impl From<Code> for Refusal {
    fn from(code: Code) -> Self {
        Self::new(code, code.help())
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.message)
    }
}

impl std::error::Error for Refusal {}
