//! Views of jobs for callers and operators.

use {
    bronzespool_core::{Job, Kind, Service, Team},
    serde::{Deserialize, Serialize},
};

/// A job as shown to callers and operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job.
    pub job: Job,
    /// Team that submitted it.
    pub team: Team,
    /// Service that the kind belongs to.
    pub service: Service,
    /// Kind of the job.
    pub kind: Kind,
    /// Waiting, reserved, preparing, running, stopping or ended.
    pub phase: String,
    /// Outcome of the job, once it has ended.
    pub outcome: Option<String>,
    /// Number of the result code.
    pub code: u16,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Number of members of the gang.
    pub members: u32,
    /// Instances that the members run on.
    pub instances: Vec<String>,
    /// Milliseconds since the submission.
    pub age_ms: u64,
}

impl JobView {
    /// Whether the job has ended.
    pub const fn ended(&self) -> bool {
        self.outcome.is_some()
    }
}

/// A job that occupies resources which a waiting job could use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderView {
    /// The job that occupies them.
    pub job: Job,
    /// Team of that job.
    pub team: Team,
    /// Instances on which it occupies cells.
    pub instances: Vec<String>,
    /// Whether it borrows them, that is, runs there outside its team's guarantees.
    pub borrowed: bool,
    /// Milliseconds until it is expected to release them.
    pub until_ms: u64,
}

/// Why a job is in its present state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainView {
    /// The job that is explained.
    pub job: Job,
    /// The reason as text.
    pub reason: String,
    /// Upper bound in milliseconds on the time until it starts, if there is one.
    pub latest_ms: Option<u64>,
    /// Jobs that occupy resources which it could use, in the order of their expected release.
    pub holders: Vec<HolderView>,
}
