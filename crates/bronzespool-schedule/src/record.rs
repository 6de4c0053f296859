//! Records: the only way in which a book changes.

use {
    crate::{
        cell::{Cell, CellBinding},
        job::JobSpec,
    },
    bronzespool_core::{Capacity, Code, Instance, Job, Place, Shape, Team, Time},
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// Why an attempt is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum StopReason {
    /// A guarantee claims the cells.
    Reclaim,
    /// An older gang's exclusive reservation claims the cells.
    Reservation,
    /// Another place lets a waiting gang start.
    Move,
    /// A member was lost or failed.
    MemberLost,
    /// Not every member prepared in time.
    Prepare,
    /// The submitter cancelled the job.
    Cancelled,
    /// It uses more than declared and throttling did not help.
    Overuse,
    /// The guarantee it runs on was withdrawn.
    Withdrawn,
}

/// How one member stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberOutcome {
    /// Finished its work.
    Done,
    /// Its process failed.
    Failed,
    /// Stopped as told.
    Stopped,
    /// Its worker was lost or its lease ended unseen.
    Lost,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum JobOutcome {
    /// All members finished.
    Done,
    /// Failed and may not be started again.
    Failed,
    /// Cancelled by its submitter.
    Cancelled,
    /// Refused for good, with a code.
    Refused(Code),
    /// Lost after its start; it may not be started again.
    Unknown,
}

/// A change of the book at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When it was decided or reported, on the leader's clock.
    pub at: Time,
    /// What changed.
    pub event: Event,
}

impl Record {
    /// A record of `event` at `at`.
    pub const fn new(at: Time, event: Event) -> Self {
        Self { at, event }
    }
}

/// What changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// A worker announced itself. Known work on it is adopted unless reported stopped.
    WorkerUp {
        /// Where it stands.
        place: Place,
        /// What it has.
        capacity: Capacity,
        /// Number of its agent's process.
        incarnation: u64,
    },
    /// A worker is lost: nothing new goes there, its members are lost when their leases end.
    WorkerDown {
        /// The worker.
        instance: Instance,
    },
    /// A worker is taken out for good.
    WorkerRemoved {
        /// The worker.
        instance: Instance,
    },
    /// A worker takes no new work from now on, or takes it again.
    DrainingChanged {
        /// The worker.
        instance: Instance,
        /// Whether it is leaving.
        draining: bool,
    },
    /// The guarantees in force, in place of all former ones.
    Guarantees(Vec<(Team, Vec<Shape>)>),
    /// A job entered the queue.
    Submitted(JobSpec),
    /// Cells were chosen for a job and are cleared of other work.
    Reserved {
        /// The job.
        job: Job,
        /// Cells of the members.
        cells: Vec<Cell>,
        /// Whether they lie outside the team's guarantee.
        borrowed: bool,
        /// Guaranteed cells that the team starts to use.
        bindings: Vec<CellBinding>,
    },
    /// A reservation was given up.
    Unreserved {
        /// The job.
        job: Job,
        /// Not to be tried before.
        not_before: Time,
    },
    /// A job holds cells: prepare every member.
    Granted {
        /// The job.
        job: Job,
        /// Number of the try.
        attempt: u32,
        /// Cells of the members.
        cells: Vec<Cell>,
        /// Span of the members' leases.
        lease: Duration,
        /// Whether the cells lie outside the team's guarantee.
        borrowed: bool,
        /// Guaranteed cells that the team starts to use.
        bindings: Vec<CellBinding>,
    },
    /// Jobs on their team's guarantee run on as borrowed; their next leases are short ones.
    Demoted {
        /// The jobs.
        jobs: Vec<Job>,
    },
    /// A member is ready to start.
    Prepared {
        /// The job.
        job: Job,
        /// Number of the try.
        attempt: u32,
        /// Number of the member.
        member: u32,
    },
    /// All members prepared: start them.
    Started {
        /// The job.
        job: Job,
        /// Number of the try.
        attempt: u32,
    },
    /// A whole checkpoint of all members exists.
    Checkpointed {
        /// The job.
        job: Job,
        /// Number of the try.
        attempt: u32,
    },
    /// Members are told to use no more than declared.
    Throttled {
        /// The job.
        job: Job,
        /// Number of the try.
        attempt: u32,
    },
    /// Members are told to stop; their leases are not renewed past `deadline`.
    Stopping {
        /// The job.
        job: Job,
        /// Number of the try.
        attempt: u32,
        /// Why.
        reason: StopReason,
        /// When the last lease has ended, whatever the workers do.
        deadline: Time,
    },
    /// A member runs no more.
    Stopped {
        /// The job.
        job: Job,
        /// Number of the try.
        attempt: u32,
        /// Number of the member.
        member: u32,
        /// How it stopped.
        outcome: MemberOutcome,
    },
    /// All leases of a stop have ended: members not heard of are lost.
    Expired {
        /// The job.
        job: Job,
        /// Number of the try.
        attempt: u32,
    },
    /// An attempt is over and the job waits again.
    Requeued {
        /// The job.
        job: Job,
        /// Not to be tried before.
        not_before: Time,
    },
    /// A job runs no more.
    Ended {
        /// The job.
        job: Job,
        /// How it ended.
        outcome: JobOutcome,
    },
    /// Jobs were cancelled, a whole wave at once. Active ones are stopped next.
    Cancelled {
        /// The jobs.
        jobs: Vec<Job>,
    },
    /// A job is refused for good.
    Refused {
        /// The job.
        job: Job,
        /// Why, as a number.
        code: Code,
        /// Why, as text.
        reason: String,
    },
    /// A worker on which work fails that succeeds elsewhere takes no more.
    Quarantined {
        /// The worker.
        instance: Instance,
    },
    /// A quarantined worker gets one job that may be repeated.
    Probing {
        /// The worker.
        instance: Instance,
    },
    /// A worker works again.
    Healthy {
        /// The worker.
        instance: Instance,
    },
    /// What a member used when its worker looked.
    Usage {
        /// The job.
        job: Job,
        /// Number of the try.
        attempt: u32,
        /// Number of the member.
        member: u32,
        /// Thousandths of a core in use.
        cores: u32,
        /// Memory in use, in MiB.
        memory: u64,
        /// When the worker looked.
        seen: Time,
    },
    /// Ended jobs are dropped from the book.
    Pruned {
        /// The jobs.
        jobs: Vec<Job>,
    },
}
