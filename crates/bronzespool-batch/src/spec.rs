//! What a job asks for.

use {
    crate::id::JobId,
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// Most steps of a job.
pub const STEPS_MAX: usize = 256;
/// Most tasks of a job's occurrence.
pub const TASKS_MAX: u32 = 20_000;
/// Longest text of a job in bytes.
pub const TEXT_MAX_BYTES: usize = 4_000;

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
    /// the text has {0} bytes, 4000 are allowed
    Text(usize),
}

impl std::error::Error for Error {}

/// Resources of a worker, or of one task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor in thousandths of a core.
    pub cpu: u64,
    /// Memory in MiB.
    pub memory: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Whether `need` fits into these.
    pub const fn fits(&self, need: &Self) -> bool {
        self.cpu >= need.cpu && self.memory >= need.memory && self.gpu >= need.gpu
    }

    /// These and others together.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// These without others, not below nothing.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// These `count` times.
    #[must_use]
    pub const fn times(&self, count: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(count),
            memory: self.memory.saturating_mul(count),
            gpu: self.gpu.saturating_mul(count),
        }
    }

    /// Weight in thousandths of a core, an accelerator counting as eight cores.
    pub const fn weight(&self) -> u64 {
        const ACCELERATOR: u64 = 8_000;
        self.cpu.saturating_add(self.gpu.saturating_mul(ACCELERATOR))
    }
}

/// A set of like tasks of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Tasks.
    pub count: u32,
    /// Resources of one task.
    pub need: Resources,
    /// Declared duration of one task in milliseconds; often far off.
    pub estimate: u64,
    /// Earlier steps that must be done first.
    pub depends_on: Vec<u16>,
    /// Whether tasks save their progress and can go on from it.
    pub checkpoints: bool,
    /// Whether the tasks run only all together.
    pub gang: bool,
    /// Whether the tasks are slow when spread over more than one rack.
    pub single_rack: bool,
    /// Label that a worker must have.
    pub label: Option<Arc<str>>,
    /// Rack of the data; tasks are slow elsewhere.
    pub rack: Option<Arc<str>>,
    /// Most tasks of the step on one worker; zero for no bound.
    pub worker_max: u32,
    /// Whether copies of a task may run at once.
    pub speculation: bool,
    /// Whether tasks run until the job is cancelled.
    pub long_lived: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// Bound on the tail latency of a task that serves, in milliseconds; zero for none.
    pub latency_bound: u64,
    /// Whether the tasks live on processor time that others leave.
    pub best_effort: bool,
    /// Tasks that may be away at once through the system's own actions; none where unset.
    pub disruption_budget: Option<u32>,
}

impl Step {
    /// Resources that one task takes from a worker: a filler takes no processor.
    pub const fn allocation(&self) -> Resources {
        if self.best_effort { Resources { cpu: 0, ..self.need } } else { self.need }
    }
}

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Name.
    pub id: JobId,
    /// Queue.
    pub queue: Arc<str>,
    /// Team, unless the queue is open to all.
    pub team: Option<Arc<str>>,
    /// Text that is handed to every task.
    pub text: Arc<str>,
    /// Steps.
    pub steps: Vec<Step>,
    /// Occurrences; zero for a job that runs once and at once.
    pub times: u32,
    /// When the first occurrence is due, in milliseconds since 1970.
    pub start: u64,
    /// Milliseconds between two occurrences.
    pub interval: u64,
}

impl JobSpec {
    /// Refuses a job that no scheduler could run.
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
        }
        let tasks = self.steps.iter().try_fold(0_u32, |sum, s| sum.checked_add(s.count));
        match tasks {
            Some(n) if n <= TASKS_MAX => Ok(()),
            _ => Err(Error::Tasks),
        }
    }

    /// Occurrences, at least one.
    pub fn occurrences(&self) -> u32 {
        self.times.max(1)
    }

    /// When an occurrence is due, in milliseconds since 1970; zero for at once.
    pub fn due(&self, occurrence: u32) -> u64 {
        if self.times == 0 {
            return 0;
        }
        self.start.saturating_add(self.interval.saturating_mul(u64::from(occurrence)))
    }
}
