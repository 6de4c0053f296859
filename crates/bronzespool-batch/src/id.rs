//! Identifiers of jobs, steps, tasks, runs and worker incarnations.

use {
    displaydoc::Display,
    serde::{Deserialize, Serialize},
    std::{fmt, str::FromStr, sync::Arc},
};

/// Number of hexadecimal digits of a job identifier.
const JOB_DIGITS: usize = 16;

/// Result of parsing an identifier.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a text is not an identifier.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// a job's name has 16 hexadecimal digits
    Job,
    /// a task's name is JOB.OCCURRENCE.STEP.INDEX
    Task,
}

impl std::error::Error for Error {}

/// Identifier of a job, chosen by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl FromStr for JobId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let digits = text.len() == JOB_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
        if !digits || text.bytes().any(|b| b.is_ascii_uppercase()) {
            return Err(Error::Job);
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| Error::Job)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StepId {
    /// The job.
    pub job: JobId,
    /// Occurrence of the job; zero for a job that runs once.
    pub occurrence: u32,
    /// Index of the step in the job.
    pub step: u16,
}

impl StepId {
    /// Returns the identifier of the step's task with an index.
    pub const fn task(self, index: u32) -> TaskId {
        TaskId { step: self, index }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// One task of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The step.
    pub step: StepId,
    /// Index of the task in the step.
    pub index: u32,
}

impl FromStr for TaskId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or(Error::Task);
        let job = part()?.parse()?;
        let occurrence = part()?.parse().map_err(|_| Error::Task)?;
        let step = part()?.parse().map_err(|_| Error::Task)?;
        let index = part()?.parse().map_err(|_| Error::Task)?;
        if parts.next().is_some() {
            return Err(Error::Task);
        }
        Ok(Self { step: StepId { job, occurrence, step }, index })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.step, self.index)
    }
}

/// One run of a task. The runs of a task are numbered from 1; the members of a gang share the
/// number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// Number of the run.
    pub run: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}

/// One incarnation of a worker. A worker process that restarts is a new incarnation, under the same
/// or another name.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// Name that the worker reports.
    pub worker: Arc<str>,
    /// Start time as the worker reports it, in milliseconds since 1970.
    pub started_at: u64,
}

impl fmt::Display for WorkerIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.worker, self.started_at)
    }
}
