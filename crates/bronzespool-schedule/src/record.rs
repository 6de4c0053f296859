//! Records of the replicated log; the scheduler state changes only by applying them.

use {
    crate::{
        cell::{Cell, CellBinding},
        job::JobSpec,
    },
    bronzespool_core::{Capacity, Code, Instance, Job, Place, Shape, Team, Time},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Reason for stopping an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StopReason {
    /// The cells are reclaimed for a guarantee.
    Reclaim,
    /// The cells are taken by the reservation of an older gang.
    Reservation,
    /// The job is moved to other cells, so that a waiting gang can start or a worker can be
    /// drained.
    Move,
    /// A member was lost or failed.
    MemberLost,
    /// Not every member prepared in time.
    Prepare,
    /// The job was cancelled by its submitter.
    Cancelled,
    /// The job used more than declared, also after throttling.
    Overuse,
    /// The guarantee on which the job ran was withdrawn.
    Withdrawn,
}

/// Outcome of a gang member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberOutcome {
    /// The member finished its work.
    Done,
    /// The process of the member failed.
    Failed,
    /// The member stopped on request.
    Stopped,
    /// The worker was lost, or the lease expired without a report.
    Lost,
}

/// Outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum JobOutcome {
    /// All members finished.
    Done,
    /// The job failed and must not be restarted.
    Failed,
    /// The job was cancelled by its submitter.
    Cancelled,
    /// The job was refused permanently, with this code.
    Refused(Code),
    /// A member was lost after the start, and the job must not be restarted.
    Unknown,
}

/// A change of the scheduler state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Time of the decision or report, on the leader's clock.
    pub at: Time,
    /// The change.
    pub event: Event,
}

impl Record {
    /// A record of `event` at `at`.
    pub const fn new(at: Time, event: Event) -> Self {
        Self { at, event }
    }
}

/// The change that a record makes to the scheduler state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A worker registered. Members known to run on it continue unless they are reported stopped.
    WorkerUp {
        /// Location of the worker in the topology.
        place: Place,
        /// Resources of the worker.
        capacity: Capacity,
        /// Incarnation of the worker's agent process.
        incarnation: u64,
    },
    /// A worker was lost: it gets no new work, and its members are lost once their leases expire.
    WorkerDown {
        /// The worker.
        instance: Instance,
    },
    /// A worker was removed permanently.
    WorkerRemoved {
        /// The worker.
        instance: Instance,
    },
    /// A worker started or stopped draining; it gets no new work while it drains.
    DrainingChanged {
        /// The worker.
        instance: Instance,
        /// Whether the worker drains from now on.
        draining: bool,
    },
    /// The guarantees of all teams, which replace all previous ones.
    Guarantees(Vec<(Team, Vec<Shape>)>),
    /// A job was submitted to the queue.
    Submitted(JobSpec),
    /// Cells were reserved for a job; other work there is being stopped.
    Reserved {
        /// The job.
        job: Job,
        /// Cells of the members, in member order.
        cells: Vec<Cell>,
        /// Whether the cells are borrowed, outside the team's guarantee.
        borrowed: bool,
        /// Guaranteed cells of the team that become bound.
        bindings: Vec<CellBinding>,
    },
    /// A reservation was released without a grant.
    Unreserved {
        /// The job.
        job: Job,
        /// Earliest time of the next attempt.
        not_before: Time,
    },
    /// Cells were granted to a job; its members are told to prepare.
    Granted {
        /// The job.
        job: Job,
        /// Number of the attempt.
        attempt: u32,
        /// Cells of the members, in member order.
        cells: Vec<Cell>,
        /// Duration of the members' leases.
        lease: Duration,
        /// Whether the cells are borrowed, outside the team's guarantee.
        borrowed: bool,
        /// Guaranteed cells of the team that become bound.
        bindings: Vec<CellBinding>,
    },
    /// Jobs that ran on their team's guarantee continue as borrowed, with short leases from the
    /// next renewal on.
    Demoted {
        /// The jobs.
        jobs: Vec<Job>,
    },
    /// A member is prepared and ready to start.
    Prepared {
        /// The job.
        job: Job,
        /// Number of the attempt.
        attempt: u32,
        /// Index of the member.
        member: u32,
    },
    /// All members are prepared and are told to start.
    Started {
        /// The job.
        job: Job,
        /// Number of the attempt.
        attempt: u32,
    },
    /// All members have completed a checkpoint.
    Checkpointed {
        /// The job.
        job: Job,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The members are told to use no more than declared.
    Throttled {
        /// The job.
        job: Job,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The members are told to stop; their leases are not renewed past `deadline`.
    Stopping {
        /// The job.
        job: Job,
        /// Number of the attempt.
        attempt: u32,
        /// Reason for the stop.
        reason: StopReason,
        /// Time by which all leases have expired, even if no worker responds.
        deadline: Time,
    },
    /// A member stopped.
    Stopped {
        /// The job.
        job: Job,
        /// Number of the attempt.
        attempt: u32,
        /// Index of the member.
        member: u32,
        /// Outcome of the member.
        outcome: MemberOutcome,
    },
    /// All leases of a stopped attempt have expired; members that did not report are lost.
    Expired {
        /// The job.
        job: Job,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt ended and the job is queued again.
    Requeued {
        /// The job.
        job: Job,
        /// Earliest time of the next attempt.
        not_before: Time,
    },
    /// A job ended.
    Ended {
        /// The job.
        job: Job,
        /// Outcome of the job.
        outcome: JobOutcome,
    },
    /// Jobs were cancelled, possibly many in one record. Active ones are stopped by later records.
    Cancelled {
        /// The jobs.
        jobs: Vec<Job>,
    },
    /// A job was refused permanently.
    Refused {
        /// The job.
        job: Job,
        /// Result code of the refusal.
        code: Code,
        /// Reason of the refusal, in words.
        reason: String,
    },
    /// A worker was quarantined and gets no new work, since jobs fail only there.
    Quarantined {
        /// The worker.
        instance: Instance,
    },
    /// A quarantined worker may get one preemptible job as a probe.
    Probing {
        /// The worker.
        instance: Instance,
    },
    /// The quarantine of a worker ended.
    Healthy {
        /// The worker.
        instance: Instance,
    },
    /// Resources used by a member, as measured by its worker.
    Usage {
        /// The job.
        job: Job,
        /// Number of the attempt.
        attempt: u32,
        /// Index of the member.
        member: u32,
        /// Cores in use, in thousandths.
        cores: u32,
        /// Memory in use, in MiB.
        memory: u64,
        /// Time of the measurement.
        seen: Time,
    },
    /// Ended jobs were removed from the state.
    Pruned {
        /// The jobs.
        jobs: Vec<Job>,
    },
}
