//! What callers and operators see of a job.

use {
    bronzespool_core::{Job, Kind, Service, Team},
    serde::{Deserialize, Serialize},
};

/// A job as shown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job.
    pub job: Job,
    /// Team that submitted it.
    pub team: Team,
    /// Service of the kind.
    pub service: Service,
    /// Kind of job.
    pub kind: Kind,
    /// Waiting, reserved, preparing, running, stopping or ended.
    pub phase: String,
    /// How it ended, if it has.
    pub outcome: Option<String>,
    /// Number of the result code.
    pub code: u16,
    /// Attempts so far.
    pub attempts: u32,
    /// Members of the gang.
    pub members: u32,
    /// Instances of the members.
    pub instances: Vec<String>,
    /// Milliseconds since its submission.
    pub age_ms: u64,
}

impl JobView {
    /// Whether it runs no more.
    pub const fn ended(&self) -> bool {
        self.outcome.is_some()
    }
}
