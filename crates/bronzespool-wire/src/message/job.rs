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

/// Work that holds what a job could use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderView {
    /// The job.
    pub job: Job,
    /// Its team.
    pub team: Team,
    /// Instances on which it holds cells.
    pub instances: Vec<String>,
    /// Whether it borrows them.
    pub borrowed: bool,
    /// Milliseconds until it is expected to leave them.
    pub until_ms: u64,
}

/// Why a job stands where it stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainView {
    /// The job.
    pub job: Job,
    /// The reason.
    pub reason: String,
    /// Milliseconds until it starts at the latest, if that is bounded.
    pub latest_ms: Option<u64>,
    /// Who holds what it could use, those expected to leave first in front.
    pub holders: Vec<HolderView>,
}
