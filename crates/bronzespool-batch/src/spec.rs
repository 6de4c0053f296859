//! Specification of a job.

use {
    crate::id::JobId,
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Most steps of a job.
pub const STEPS_MAX: usize = 256;
/// Most tasks of one occurrence of a job.
pub const TASKS_MAX: u32 = 20_000;
/// Longest label, rack or image of a step in bytes.
pub const NAME_MAX_BYTES: usize = 1_000;
/// Longest payload of a job in bytes.
pub const TEXT_MAX_BYTES: usize = 4_000;

/// How often a replica holds each byte of a text: in the ledger, the last snapshot, the next one while it
/// is made, and the log.
const COPIES: usize = 4;
/// Bytes that a job takes beside its texts and steps, with its copies (reckoned).
const JOB_BYTES: usize = 700;
/// Bytes that a step takes beside its names (reckoned).
const STEP_BYTES: usize = 370;
/// Bytes that a step takes for each step that it depends on (reckoned).
const DEPENDENCY_BYTES: usize = 8;
/// Bytes that a task takes, with a run (reckoned).
pub(crate) const TASK_BYTES: usize = 540;
/// Bytes that a task of a job that has ended takes (reckoned).
pub(crate) const ENDED_TASK_BYTES: usize = 160;

/// Result of checking a job.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a job is refused.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// a job needs between 1 and 256 steps, this one has {0}
    Steps(usize),
    /// step {0} needs at least one task
    Empty(usize),
    /// the job has more than 20000 tasks
    Tasks,
    /// step {0} depends on step {1}, which does not come before it
    Dependency(usize, u16),
    /// step {0} names {1} earlier steps, 256 are allowed
    Dependencies(usize, usize),
    /// step {0} has a label, rack or image of more than 1000 bytes
    Name(usize),
    /// the text has {0} bytes, 4000 are allowed
    Text(usize),
}

impl std::error::Error for Error {}

/// Resources of a worker, or of one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processor in thousandths of a core.
    pub cpu: u64,
    /// Memory in MiB.
    pub memory: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Whether these resources are enough for `need`.
    pub const fn fits(&self, need: &Self) -> bool {
        self.cpu >= need.cpu && self.memory >= need.memory && self.gpu >= need.gpu
    }

    /// Returns how many times `need` fits into these resources; `u64::MAX` if it is nothing.
    pub fn count(&self, need: &Self) -> u64 {
        let fits = |whole: u64, each: u64| whole.checked_div(each).unwrap_or(u64::MAX);
        let cpu = fits(self.cpu, need.cpu);
        cpu.min(fits(self.memory, need.memory)).min(fits(self.gpu, need.gpu))
    }

    /// Returns the sum, saturating at the numeric bounds.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// Returns the difference, saturating at zero.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// Returns the product with `count`, saturating at the numeric bounds.
    #[must_use]
    pub const fn times(&self, count: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }

    /// Weight in thousandths of a core; one accelerator counts as eight cores.
    pub const fn weight(&self) -> u64 {
        const ACCELERATOR_MILLICORES: u64 = 8_000;
        self.cpu.saturating_add(self.gpu.saturating_mul(ACCELERATOR_MILLICORES))
    }
}

/// A set of identical tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u32,
    /// Resources of one task.
    pub need: Resources,
    /// Declared duration of one task in milliseconds; it is often far off.
    pub estimate: u64,
    /// Indices of earlier steps that must be done first.
    pub depends_on: Vec<u16>,
    /// Whether tasks save checkpoints and can resume from them.
    pub checkpoints: bool,
    /// Whether the tasks must all run at the same time.
    pub gang: bool,
    /// Whether the tasks run slowly when they are spread over several racks.
    pub single_rack: bool,
    /// Label that the worker must have.
    pub label: Option<Arc<str>>,
    /// Rack of the data; tasks run slowly in other racks.
    pub rack: Option<Arc<str>>,
    /// Most tasks of the step on one worker; zero for no limit.
    pub worker_max: u32,
    /// Whether several copies of a task may run at once.
    pub speculation: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_lived: bool,
    /// Image that the tasks run; tasks with the same image behave alike.
    pub image: Option<Arc<str>>,
    /// Bound on the tail latency of a task that serves users, in milliseconds; zero for none.
    pub latency_bound: u64,
    /// Whether the tasks run on left-over processor time only.
    pub best_effort: bool,
    /// Most tasks that may be unavailable at once through actions of the system; no limit if unset.
    pub disruption_budget: Option<u32>,
}

impl Step {
    /// Resources that one task allocates on its worker; a best-effort task allocates no processor.
    pub const fn allocation(&self) -> Resources {
        if self.best_effort { Resources { cpu: 0, ..self.need } } else { self.need }
    }
}

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Identifier of the job.
    pub id: JobId,
    /// Queue.
    pub queue: Arc<str>,
    /// Team; none if the queue is public.
    pub team: Option<Arc<str>>,
    /// Payload that is passed to every task.
    pub text: Arc<str>,
    /// Steps.
    pub steps: Vec<Step>,
    /// Number of occurrences; zero for a job that runs once, at once.
    pub times: u32,
    /// Time at which the first occurrence is due, in milliseconds since 1970.
    pub start: u64,
    /// Milliseconds between two occurrences.
    pub interval: u64,
}

impl JobSpec {
    /// Rejects a job that no scheduler could run.
    pub fn check(&self) -> Result<()> {
        if self.text.len() > TEXT_MAX_BYTES {
            return Err(Error::Text(self.text.len()));
        }
        if self.steps.is_empty() || self.steps.len() > STEPS_MAX {
            return Err(Error::Steps(self.steps.len()));
        }
        for (i, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return Err(Error::Empty(i));
            }
            if let Some(&late) = step.depends_on.iter().find(|&&s| usize::from(s) >= i) {
                return Err(Error::Dependency(i, late));
            }
            if step.depends_on.len() > STEPS_MAX {
                return Err(Error::Dependencies(i, step.depends_on.len()));
            }
            let names = [&step.label, &step.rack, &step.image];
            if names.into_iter().flatten().any(|name| name.len() > NAME_MAX_BYTES) {
                return Err(Error::Name(i));
            }
        }
        let tasks = self.steps.iter().try_fold(0_u32, |sum, s| sum.checked_add(s.count));
        match tasks {
            Some(n) if n <= TASKS_MAX => Ok(()),
            _ => Err(Error::Tasks),
        }
    }

    /// Number of tasks of one occurrence.
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|s| s.count as usize).sum()
    }

    /// Bytes that each replica holds for the job with one occurrence, about.
    pub fn stored_bytes(&self) -> usize {
        self.description_bytes() + self.task_count() * TASK_BYTES
    }

    /// Bytes that each replica holds for the job without its tasks, about.
    pub(crate) fn description_bytes(&self) -> usize {
        let name = |n: &Option<Arc<str>>| n.as_ref().map_or(0, |n| n.len());
        let step = |s: &Step| {
            let names = name(&s.label) + name(&s.rack) + name(&s.image);
            STEP_BYTES + names * COPIES + s.depends_on.len() * DEPENDENCY_BYTES
        };
        let steps: usize = self.steps.iter().map(step).sum();
        JOB_BYTES + self.text.len() * COPIES + steps
    }

    /// Returns the number of occurrences, at least one.
    pub fn occurrences(&self) -> u32 {
        self.times.max(1)
    }

    /// Returns the number of occurrences that are due at a time of day, in milliseconds since 1970.
    pub fn due_count(&self, wall: u64) -> u32 {
        if self.times == 0 {
            return 1;
        }
        let Some(since) = wall.checked_sub(self.start) else { return 0 };
        let after_first = since.checked_div(self.interval).unwrap_or(u64::MAX);
        u32::try_from(after_first.saturating_add(1)).map_or(self.times, |n| n.min(self.times))
    }

    /// Returns the time at which an occurrence is due, in milliseconds since 1970; zero for at
    /// once.
    pub fn due(&self, occurrence: u32) -> u64 {
        if self.times == 0 {
            return 0;
        }
        self.start.saturating_add(self.interval.saturating_mul(u64::from(occurrence)))
    }
}
