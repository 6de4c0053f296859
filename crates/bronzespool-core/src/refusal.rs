//! A coded answer to a call that did not give what was asked for.

use {
    crate::code::Code,
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
};

/// Why a call did not give what was asked for, and when to come back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What holds now.
    pub code: Code,
    /// The particulars, for a person.
    pub message: String,
    /// When to come back, if that can help.
    pub retry: Option<Duration>,
}

impl Refusal {
    /// A refusal with a message and no time to come back.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into(), retry: None }
    }

    /// Sets when to come back.
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
