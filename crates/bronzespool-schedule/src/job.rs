//! Jobs: what was asked for, and how far it has come.

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

/// Number of a job in the order of submission.
pub type JobNumber = u64;

/// What a job asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Identity of the job.
    pub job: Job,
    /// Team that submitted it.
    pub team: Team,
    /// Service of the kind.
    pub service: Service,
    /// Kind of job.
    pub kind: Kind,
    /// Members of the gang, at least one.
    pub members: u32,
    /// Need of each member.
    pub need: Need,
    /// Smallest level within which all members lie.
    pub adjacent: Level,
    /// Declared run time.
    pub declared_runtime: Duration,
    /// Longest time between two checkpoints, if the job makes any.
    pub checkpoint_interval: Option<Duration>,
    /// May be started again from its beginning.
    pub restartable: bool,
    /// Runs at most once.
    pub protected: bool,
    /// Reclaims with the short grace and goes before other work of its team.
    pub urgent: bool,
    /// Time after which it must not be started.
    pub deadline: Option<Time>,
}

impl JobSpec {
    /// A job of one member that needs nothing, may lie anywhere and may not be started again.
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

    /// Sets the need of each member.
    #[must_use]
    pub const fn need(mut self, need: Need) -> Self {
        self.need = need;
        self
    }

    /// Sets the level within which all members lie.
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

    /// Sets whether the job may start again from its beginning.
    #[must_use]
    pub const fn restartable(mut self, restartable: bool) -> Self {
        self.restartable = restartable;
        self
    }

    /// Sets whether the job runs at most once.
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

    /// Whether the running job may be stopped for another one.
    pub const fn preemptible(&self) -> bool {
        !self.protected && (self.checkpoint_interval.is_some() || self.restartable)
    }

    /// Accelerators of all members.
    pub const fn accels(&self) -> u64 {
        self.need.accels as u64 * self.members as u64
    }
}

/// State of one gang member in an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Its cell is held; it has not prepared yet.
    Granted,
    /// Ready to start.
    Prepared,
    /// Runs no more and holds nothing.
    Stopped(MemberOutcome),
}

impl MemberState {
    /// Whether the member still holds its cell.
    pub const fn holds(self) -> bool {
        !matches!(self, Self::Stopped(_))
    }
}

/// A stop under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PendingStop {
    /// Why.
    pub reason: StopReason,
    /// When the stop was decided.
    pub at: Time,
    /// When the last lease has ended, whatever the workers do.
    pub deadline: Time,
}

/// One try to run a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Number of the try, from one.
    pub number: u32,
    /// Cells of the members, in their order.
    pub cells: Vec<Cell>,
    /// States of the members, in their order.
    pub members: Vec<MemberState>,
    /// Whether it runs outside its team's guarantee.
    pub borrowed: bool,
    /// Span of the members' leases.
    pub lease: Duration,
    /// Since when it is borrowed, if it was granted on its guarantee.
    pub demoted: Option<Time>,
    /// When the cells were granted.
    pub granted: Time,
    /// When all members were told to start.
    pub started: Option<Time>,
    /// When the last whole checkpoint was made.
    pub checkpointed: Option<Time>,
    /// Last usage reports of the members, in their order.
    pub usage: Vec<Option<MemberUsage>>,
    /// Told to use no more than declared.
    pub throttled: Option<Time>,
    /// The stop under way, if any.
    pub stop: Option<PendingStop>,
}

impl Attempt {
    /// What a member takes of its worker: the larger of what was granted and what was reported.
    pub fn need(&self, granted: &Need, member: usize) -> Need {
        let Some(Some(usage)) = self.usage.get(member) else {
            return *granted;
        };
        let cores = granted.cores.max(usage.cores);
        Need { cores, memory: granted.memory.max(usage.memory), ..*granted }
    }

    /// When the last lease has ended after a stop at `at` with `grace`, at the latest.
    ///
    /// A lease from before the attempt was made borrowed may still run.
    pub fn leases_end(&self, at: Time, grace: Duration, settings: &PolicySettings) -> Time {
        let last = at + grace + self.lease;
        let before = self.demoted.map_or(last, |since| since + settings.guaranteed_lease);
        last.max(before) + settings.clock_error_max
    }

    /// Whether any member still holds its cell.
    pub fn holds(&self) -> bool {
        self.members.iter().any(|m| m.holds())
    }
}

/// What a member used when its worker looked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUsage {
    /// Thousandths of a core.
    pub cores: u32,
    /// Memory in MiB.
    pub memory: u64,
    /// When the worker looked.
    pub seen: Time,
}

/// Where a job stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// In the queue.
    Waiting {
        /// Not to be tried before.
        not_before: Time,
    },
    /// Cells are chosen and being cleared of other work.
    Reserved {
        /// Cells of the members.
        cells: Vec<Cell>,
        /// Whether they lie outside the team's guarantee.
        borrowed: bool,
        /// When they were chosen.
        at: Time,
    },
    /// Holds cells.
    Active(Attempt),
    /// Runs no more.
    Ended {
        /// How it ended.
        outcome: JobOutcome,
        /// When it ended.
        at: Time,
    },
}

/// A job with its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// Number in the order of submission.
    pub id: JobNumber,
    /// What it asks for.
    pub spec: JobSpec,
    /// When it was submitted.
    pub submitted: Time,
    /// Tries so far.
    pub attempts: u32,
    /// Progress that the last whole checkpoint holds.
    pub saved_progress: Duration,
    /// Run time lost to stops since the last checkpoint.
    pub lost_runtime: Duration,
    /// Stops for other work.
    pub preemptions: u32,
    /// Moves for defragmentation.
    pub moves: u32,
    /// Workers on which it failed.
    pub failed_workers: BTreeSet<Instance>,
    /// Failures of its members.
    pub failures: u32,
    /// Where it stands.
    pub phase: JobPhase,
}

impl JobState {
    /// What the job asks for, with the need of its members raised to what they were seen to use.
    pub fn grown(&self) -> JobSpec {
        let mut spec = self.spec.clone();
        for usage in self.attempt().into_iter().flat_map(|a| &a.usage).flatten() {
            spec.need.cores = spec.need.cores.max(usage.cores);
            spec.need.memory = spec.need.memory.max(usage.memory);
        }
        spec
    }

    /// The current attempt, if the job holds cells.
    pub const fn attempt(&self) -> Option<&Attempt> {
        match &self.phase {
            JobPhase::Active(attempt) => Some(attempt),
            _ => None,
        }
    }
}
