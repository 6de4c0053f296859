//! Calls to control: from the holder of a session to its hub (the control instance that serves the
//! session), and from the hub to the leader.

use {
    crate::message::{Announce, BurnView, CenterView, ExplainView, JobView, Report, StatusView},
    bronzespool_batch::message as batch,
    bronzespool_core::{
        Center, Digest, Instance, Job, Key, Kind, Refusal, Service, ServiceSpec, Target,
    },
    bronzespool_flow::{
        burn::WindowCounts,
        claim::{Claim, ClaimId, ClaimRequest, Completion, Incarnation},
        drain::CenterChange,
        limit,
    },
    bronzespool_schedule::JobSpec,
    serde::{Deserialize, Serialize},
};

/// A call to the leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Claims an idempotency key for one attempt.
    Claim(ClaimRequest),
    /// Reads a claim without changing it.
    ReadClaim(ClaimId),
    /// Reports how an attempt ended.
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
        /// Revision that the operator based the change on; if absent, the current one.
        base: Option<u64>,
        /// Identifier of the operation.
        operation: Key,
        /// Digest of the files.
        digest: Digest,
        /// Services to add or replace.
        services: Vec<ServiceSpec>,
        /// Services to remove.
        removed: Vec<Service>,
    },
    /// Asks whether a revision is in force everywhere.
    InForce(u64),
    /// Submits a job.
    Submit {
        /// Specification of the job.
        spec: Box<JobSpec>,
        /// Digest of the body, if the caller sent an idempotency key.
        digest: Option<Digest>,
    },
    /// Cancels jobs.
    Cancel(Vec<Job>),
    /// Returns one job.
    Job(Job),
    /// Returns all jobs.
    Jobs,
    /// Explains why a job waits.
    Explain(Job),
    /// Returns the state of the cluster.
    Status,
    /// Starts or ends the drain of an endpoint.
    Drain {
        /// The instance.
        instance: Instance,
        /// Whether the endpoint is draining.
        leaving: bool,
    },
    /// Announces an endpoint; sent by a hub.
    Announce(Announce),
    /// Reports the progress of a hub's sessions and renews the hub's own lease; sent by a hub.
    Progress(HubProgress),
    /// Reports events of tasks.
    Report(Report),
    /// Reports the answers of an entry.
    Answers {
        /// Random number that the entry draws at its start.
        holder: u64,
        /// Answers per kind.
        counts: Vec<KindCounts>,
    },
    /// Returns the burn rates of the whole cluster.
    Burn,
    /// Renews an entry's shares of the limits of teams.
    Shares {
        /// Random number that the entry draws at its start.
        holder: u64,
        /// The shares that it holds and its demand, by service.
        reports: Vec<(Service, limit::DemandReport)>,
    },
    /// Asks any control instance for the addresses of control.
    LocateControl,
    /// A call about batch jobs, which consist of steps of tasks.
    Batch(batch::Call),
    /// Says that an agent stops as planned: this incarnation has reported the outcome of every
    /// attempt that it started, and starts no other.
    Leave(Incarnation),
    /// Says that an agent begins its planned stop: this incarnation accepts no new work. Later
    /// incarnations are not concerned, unlike by [`Call::Drain`].
    DrainIncarnation(Incarnation),
    /// A call about batch jobs that the receiver passes on to the leader, for a process that cannot
    /// reach control itself.
    Relayed {
        /// The call.
        call: Box<batch::Call>,
        /// Milliseconds within which the receiver answers, so that the answer arrives while the
        /// sender still waits.
        within_millis: u32,
    },
    /// Returns the drain of a data centre.
    Center(Center),
    /// Drains or restores a data centre. The change names the revision that it is based on, so a
    /// copy that is held up on its way changes nothing once another change was made.
    ChangeCenter(CenterChange),
}

/// Progress of a hub's sessions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HubProgress {
    /// Instance of the hub.
    pub hub: Instance,
    /// Lowest of the log indexes that its sessions have acknowledged.
    pub acked: u64,
    /// Milliseconds for which a session is valid; equal at all control instances, since the
    /// scheduler relies on it.
    pub lease_millis: u64,
    /// Version of `agents`, incremented by each change of its agents' sessions.
    pub serial: u64,
    /// Agents with a session and their incarnations; omitted if the leader knows this serial.
    pub agents: Option<Vec<(Instance, u64)>>,
}

/// Answers of one kind over the report's windows, with the service-level objective of the kind.
pub type KindCounts = (Service, Kind, Target, WindowCounts);

/// Result of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimResult {
    /// Only the caller of the claim may send this attempt.
    New {
        /// The attempt.
        attempt: u32,
    },
    /// The key is already claimed; the target of the claim may be queried or fenced.
    Existing(Claim),
}

/// Result of a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The new revision.
    pub revision: u64,
}

/// Reply to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The call was accepted; there is no further result.
    Acknowledged,
    /// Reply to a claim.
    Claimed(ClaimResult),
    /// Reply to a read of a claim.
    Claim(Option<Claim>),
    /// Reply to a publication.
    Published(Published),
    /// Reply to [`Call::InForce`].
    InForce(bool),
    /// Reply to a submission or a query of one job.
    Job(Box<JobView>),
    /// Reply to a query of all jobs.
    Jobs(Vec<JobView>),
    /// Reply to [`Call::Explain`].
    Explained(Box<ExplainView>),
    /// Reply to a query of the burn rates.
    Burn(Vec<BurnView>),
    /// Reply to a report of demands: the granted shares by service.
    Shares(Vec<(Service, limit::ShareGrant)>),
    /// Reply to a query of the state of the cluster.
    Status(Box<StatusView>),
    /// Reply to a progress report: the version of the agents' sessions that the leader knows.
    Progressed {
        /// The known `serial`.
        known: u64,
    },
    /// Reply to an announcement.
    Announced {
        /// Incarnation of the agent.
        incarnation: u64,
        /// Log index of the record, which the hub waits for.
        index: u64,
    },
    /// Reply to [`Call::LocateControl`].
    ControlMap(batch::ControlMap),
    /// Reply to a call about batch jobs.
    Batch(batch::Reply),
    /// Reply to [`Call::Center`] and [`Call::ChangeCenter`].
    Center(CenterView),
}

/// The reply to a call, or why it was refused.
pub type CallResult = Result<Reply, Refusal>;
