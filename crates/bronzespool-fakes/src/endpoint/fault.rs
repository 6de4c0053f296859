//! Behaviour and faults that a test can set.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Fault that the fake endpoint shows on every request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Answers correctly.
    #[default]
    None,
    /// Starts the request, then never answers.
    Hang,
    /// Starts the request, then closes the connection after half of the body.
    Short,
    /// Answers with status 500.
    Fail,
    /// Answers with another request's id.
    Crossed,
}

/// Work time and fault of the fake endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Behavior {
    /// Work time of a request in milliseconds.
    pub millis: u64,
    /// Fault on every request.
    pub fault: Fault,
}

impl Behavior {
    /// Work time of a request.
    pub const fn work_time(&self) -> Duration {
        Duration::from_millis(self.millis)
    }
}
