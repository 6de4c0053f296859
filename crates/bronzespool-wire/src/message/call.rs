//! Calls to control: from a session's holder to its hub, and from the hub to the leader.

use {
    crate::message::{Announce, BurnView, ExplainView, JobView, Report, StatusView},
    bronzespool_batch::message as batch,
    bronzespool_core::{Digest, Instance, Job, Key, Kind, Refusal, Service, ServiceSpec, Target},
    bronzespool_flow::{
        burn::WindowCounts,
        claim::{Claim, ClaimId, ClaimRequest, Completion},
        limit,
    },
    bronzespool_schedule::JobSpec,
    serde::{Deserialize, Serialize},
};

/// A call to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Claims a key for one attempt.
    Claim(ClaimRequest),
    /// Looks at a claim without changing it.
    ReadClaim(ClaimId),
    /// Tells how an attempt ended.
    Complete {
        /// The claim.
        id: ClaimId,
        /// The attempt.
        attempt: u32,
        /// How it ended.
        completion: Completion,
    },
    /// Changes the configuration.
    Publish {
        /// Revision that the operator saw; the one in force if absent.
        base: Option<u64>,
        /// Identity of the operation.
        operation: Key,
        /// Digest of the files.
        digest: Digest,
        /// Services that replace or join.
        services: Vec<ServiceSpec>,
        /// Services that leave.
        removed: Vec<Service>,
    },
    /// Asks whether a revision is in force everywhere.
    InForce(u64),
    /// Submits a job.
    Submit {
        /// What it asks for.
        spec: Box<JobSpec>,
        /// Digest of the body, if the caller gave a key.
        digest: Option<Digest>,
    },
    /// Cancels jobs.
    Cancel(Vec<Job>),
    /// Shows one job.
    Job(Job),
    /// Shows all jobs.
    Jobs,
    /// Tells why a job waits.
    Explain(Job),
    /// Shows the system.
    Status,
    /// Starts or ends the drain of an endpoint.
    Drain {
        /// The instance.
        instance: Instance,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// Announces an endpoint; comes from a hub.
    Announce(Announce),
    /// Tells how far a hub's sessions are, and renews the hub's own lease; comes from a hub.
    Progress(HubProgress),
    /// Tells what happened to tasks.
    Report(Report),
    /// Tells what an entry has answered.
    Answers {
        /// Random number of the entry's start.
        holder: u64,
        /// Answers by kind.
        counts: Vec<KindCounts>,
    },
    /// Asks for the service-level burn of the whole system.
    Burn,
    /// Renews an entry's shares of the teams' limits.
    Shares {
        /// Random number of the entry's start.
        holder: u64,
        /// What it holds and wants, by service.
        reports: Vec<(Service, limit::DemandReport)>,
    },
    /// Asks any control instance where control is.
    LocateControl,
    /// A call about jobs of steps of tasks.
    Batch(batch::Call),
}

/// How far a hub's sessions are.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HubProgress {
    /// Instance of the hub.
    pub hub: Instance,
    /// Lowest index that any of its sessions has acknowledged.
    pub acked: u64,
    /// Milliseconds for which a session counts; the same at all control instances, since the
    /// schedule relies on it.
    pub lease_millis: u64,
    /// Number of the last change of its agents' sessions.
    pub serial: u64,
    /// Agents with a session, by incarnation, unless the leader knows this serial.
    pub agents: Option<Vec<(Instance, u64)>>,
}

/// Answers of one kind over the windows of the report, with the kind's target.
pub type KindCounts = (Service, Kind, Target, WindowCounts);

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// The caller of the claim, and no one else, may send this attempt.
    New {
        /// The attempt.
        attempt: u32,
    },
    /// The key is claimed: its target may be asked or fenced.
    Existing(Claim),
}

/// Result of a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The revision that was made.
    pub revision: u64,
}

/// Reply to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// Nothing more to tell.
    Acknowledged,
    /// To a claim.
    Claimed(ClaimResult),
    /// To a look at a claim.
    Claim(Option<Claim>),
    /// To a publication.
    Published(Published),
    /// To the question whether a revision is in force.
    InForce(bool),
    /// To a submission or a question about one job.
    Job(Box<JobView>),
    /// To a question about all jobs.
    Jobs(Vec<JobView>),
    /// To the question why a job waits.
    Explained(Box<ExplainView>),
    /// To the question for the service-level burn.
    Burn(Vec<BurnView>),
    /// To a report of demands: the shares by service.
    Shares(Vec<(Service, limit::ShareGrant)>),
    /// To a question about the system.
    Status(Box<StatusView>),
    /// To a progress: the serial of the agents' sessions that the leader knows.
    Progressed {
        /// The serial.
        known: u64,
    },
    /// To an announcement: the agent's incarnation.
    Announced {
        /// The incarnation.
        incarnation: u64,
        /// Index of the record, which the hub waits for.
        index: u64,
    },
    /// Where control is.
    ControlMap(batch::ControlMap),
    /// To a call about jobs of steps of tasks.
    Batch(batch::Reply),
}

/// A reply or the reason why there is none.
pub type CallResult = Result<Reply, Refusal>;
