//! Job specifications and the state of submitted jobs.

use {
    crate::{
        cell::Cell,
        record::{JobOutcome, MemberOutcome, StopReason},
        settings::PolicySettings,
    },
    bronzespool_core::{Instance, Job, Kind, Level, Need, Service, Team, Time},
    serde::{Deserialize, Serialize},
    std::{collections::BTreeSet, time::Duration},
};

/// Sequence number of a job, in the order of submission.
pub type JobNumber = u64;

/// Specification of a job, as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name of the job.
    pub job: Job,
    /// Team that submitted the job.
    pub team: Team,
    /// Service that defines the job kind.
    pub service: Service,
    /// Job kind.
    pub kind: Kind,
    /// Number of gang members, at least one.
    pub members: u32,
    /// Resources of each member.
    pub need: Need,
    /// Level of the domain within which all members must be placed.
    pub adjacent: Level,
    /// Run time as declared by the submitter.
    pub declared_runtime: Duration,
    /// Longest time between two checkpoints; `None` if the job makes none.
    pub checkpoint_interval: Option<Duration>,
    /// Whether the job may be restarted from its beginning.
    pub restartable: bool,
    /// Whether the job must run at most once.
    pub protected: bool,
    /// Whether the job is queued before other jobs of its team and reclaims cells with the short
    /// grace period.
    pub urgent: bool,
    /// Time after which the job must not be started.
    pub deadline: Option<Time>,
}

impl JobSpec {
    /// A job of one member that needs no resources, may be placed anywhere and must not be
    /// restarted.
    pub fn new(job: Job, team: Team, service: Service, kind: Kind) -> Self {
        Self {
            job,
            team,
            service,
            kind,
            members: 1,
            need: Need::default(),
            adjacent: Level::Region,
            declared_runtime: Duration::from_secs(3_600),
            checkpoint_interval: None,
            restartable: false,
            protected: false,
            urgent: false,
            deadline: None,
        }
    }

    /// Sets the number of gang members.
    #[must_use]
    pub const fn members(mut self, members: u32) -> Self {
        self.members = members;
        self
    }

    /// Sets the resources of each member.
    #[must_use]
    pub const fn need(mut self, need: Need) -> Self {
        self.need = need;
        self
    }

    /// Sets the level of the domain within which all members must be placed.
    #[must_use]
    pub const fn adjacent(mut self, level: Level) -> Self {
        self.adjacent = level;
        self
    }

    /// Sets the declared run time.
    #[must_use]
    pub const fn declared_runtime(mut self, span: Duration) -> Self {
        self.declared_runtime = span;
        self
    }

    /// Sets the longest time between two checkpoints.
    #[must_use]
    pub const fn checkpoint_interval(mut self, span: Option<Duration>) -> Self {
        self.checkpoint_interval = span;
        self
    }

    /// Sets whether the job may be restarted from its beginning.
    #[must_use]
    pub const fn restartable(mut self, restartable: bool) -> Self {
        self.restartable = restartable;
        self
    }

    /// Sets whether the job must run at most once.
    #[must_use]
    pub const fn protected(mut self, protected: bool) -> Self {
        self.protected = protected;
        self
    }

    /// Sets whether the job is urgent.
    #[must_use]
    pub const fn urgent(mut self, urgent: bool) -> Self {
        self.urgent = urgent;
        self
    }

    /// Sets the time after which the job must not be started.
    #[must_use]
    pub const fn deadline(mut self, deadline: Option<Time>) -> Self {
        self.deadline = deadline;
        self
    }

    /// Whether the job may be stopped while it runs and started again later.
    pub const fn preemptible(&self) -> bool {
        !self.protected && (self.checkpoint_interval.is_some() || self.restartable)
    }

    /// Total number of accelerators of all members.
    pub const fn accels(&self) -> u64 {
        self.need.accels as u64 * self.members as u64
    }
}

/// State of a gang member in an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// The cell is allocated; the member is not prepared yet.
    Granted,
    /// The member is ready to start.
    Prepared,
    /// The member has stopped and its cell is released.
    Stopped(MemberOutcome),
}

impl MemberState {
    /// Whether the cell of the member is still allocated.
    pub const fn holds(self) -> bool {
        !matches!(self, Self::Stopped(_))
    }
}

/// A stop in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingStop {
    /// Reason for the stop.
    pub reason: StopReason,
    /// Time of the decision to stop.
    pub at: Time,
    /// Time by which all leases have expired, even if no worker responds; [`Time::MAX`] after a
    /// cancellation until the members are told to stop.
    pub deadline: Time,
}

/// An attempt to run a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Number of the attempt, starting at one.
    pub number: u32,
    /// Cells of the members, in member order.
    pub cells: Vec<Cell>,
    /// States of the members, in member order.
    pub members: Vec<MemberState>,
    /// Whether the attempt runs on borrowed cells, outside its team's guarantee.
    pub borrowed: bool,
    /// Duration of the members' leases.
    pub lease: Duration,
    /// Time at which the attempt was made borrowed, if it was granted on its team's guarantee.
    pub demoted: Option<Time>,
    /// Time at which the cells were granted.
    pub granted: Time,
    /// Time at which all members were told to start.
    pub started: Option<Time>,
    /// Time of the last checkpoint completed by all members.
    pub checkpointed: Option<Time>,
    /// Last usage report of each member, in member order.
    pub usage: Vec<Option<MemberUsage>>,
    /// Time at which the members were told to use no more than declared.
    pub throttled: Option<Time>,
    /// The stop in progress, if any.
    pub stop: Option<PendingStop>,
}

impl Attempt {
    /// Resources that a member takes of its worker: the maximum of the granted and the reported
    /// ones.
    pub fn need(&self, granted: &Need, member: usize) -> Need {
        let Some(Some(usage)) = self.usage.get(member) else {
            return *granted;
        };
        let cores = granted.cores.max(usage.cores);
        Need { cores, memory: granted.memory.max(usage.memory), ..*granted }
    }

    /// Latest time at which a lease expires if the attempt is stopped at `at` with `grace`.
    ///
    /// If the attempt was made borrowed, the longer lease that it had before may still be running.
    pub fn leases_end(&self, at: Time, grace: Duration, settings: &PolicySettings) -> Time {
        let last = at + grace + self.lease;
        let before = self.demoted.map_or(last, |since| since + settings.guaranteed_lease);
        last.max(before) + settings.clock_error_max
    }

    /// Whether the cell of any member is still allocated.
    pub fn holds(&self) -> bool {
        self.members.iter().any(|m| m.holds())
    }
}

/// Resources used by a member, as measured by its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUsage {
    /// Cores in use, in thousandths.
    pub cores: u32,
    /// Memory in use, in MiB.
    pub memory: u64,
    /// Time of the measurement.
    pub seen: Time,
}

/// Phase of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// The job is in the queue.
    Waiting {
        /// Earliest time of the next attempt.
        not_before: Time,
    },
    /// Cells are reserved; other work is being stopped there.
    Reserved {
        /// Cells of the members, in member order.
        cells: Vec<Cell>,
        /// Whether the cells are borrowed, outside the team's guarantee.
        borrowed: bool,
        /// Time of the reservation.
        at: Time,
    },
    /// Cells are allocated to the job.
    Active(Attempt),
    /// The job has ended.
    Ended {
        /// Outcome of the job.
        outcome: JobOutcome,
        /// Time of the end.
        at: Time,
    },
}

/// State of a submitted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// Sequence number, in the order of submission.
    pub id: JobNumber,
    /// Specification of the job.
    pub spec: JobSpec,
    /// Time of the submission.
    pub submitted: Time,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Run time covered by the last checkpoint completed by all members.
    pub saved_progress: Duration,
    /// Total run time lost because attempts stopped after their last checkpoint.
    pub lost_runtime: Duration,
    /// Number of times the job was stopped to free its cells for other work.
    pub preemptions: u32,
    /// Number of times the job was stopped to be moved to other cells.
    pub moves: u32,
    /// Workers on which a member failed.
    pub failed_workers: BTreeSet<Instance>,
    /// Number of member failures.
    pub failures: u32,
    /// Phase of the job.
    pub phase: JobPhase,
}

impl JobState {
    /// The specification with the resources of each member raised to the highest reported usage.
    pub fn grown(&self) -> JobSpec {
        let mut spec = self.spec.clone();
        for usage in self.attempt().into_iter().flat_map(|a| &a.usage).flatten() {
            spec.need.cores = spec.need.cores.max(usage.cores);
            spec.need.memory = spec.need.memory.max(usage.memory);
        }
        spec
    }

    /// The current attempt, if cells are allocated to the job.
    pub const fn attempt(&self) -> Option<&Attempt> {
        match &self.phase {
            JobPhase::Active(attempt) => Some(attempt),
            _ => None,
        }
    }
}
