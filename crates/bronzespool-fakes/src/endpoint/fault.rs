//! Faults that a test sets.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// How the stand-in misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// It does not.
    #[default]
    None,
    /// Starts the request, then never answers.
    Hang,
    /// Starts the request, then closes after half of the body.
    Short,
    /// Answers with status 500.
    Fail,
    /// Answers with another request's id.
    Crossed,
}

/// How long the stand-in works and what goes wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Behavior {
    /// Time in milliseconds for one request.
    pub millis: u64,
    /// The fault.
    pub fault: Fault,
}

impl Behavior {
    /// Time for one request.
    pub const fn work_time(&self) -> Duration {
        Duration::from_millis(self.millis)
    }
}
