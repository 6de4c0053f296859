//! Why a job is in its phase, for operators.

use {
    crate::{
        id::{JobId, TaskId},
        ledger::{CrashFailure, Job, Ledger, Phase},
    },
    displaydoc::Display,
    std::{collections::BTreeSet, fmt, sync::Arc},
};

/// Why a job has failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum FailureCause {
    /// task {0} has failed {1} times
    Attempts(TaskId, u32),
    /// {0}
    Crashes(CrashFailure),
}

impl FailureCause {
    /// Name in metrics.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Attempts(..) => "attempts",
            Self::Crashes(_) => "crashes",
        }
    }
}

/// Why a job is in its phase.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Explanation {
    /// no task has started yet
    Queued,
    /// it waits: only workers of drained data centres have room for it: {0}
    Drained(CenterNames),
    /// it has started, and no worker has crashed under its tasks
    Running,
    /// it has started; workers have crashed under task {0}: {1}
    Suspected(TaskId, WorkerNames),
    /// all tasks are done
    Completed,
    /// it has failed: {0}
    Failed(FailureCause),
    /// its caller has cancelled it
    Cancelled,
}

/// Names of data centres.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CenterNames(pub BTreeSet<Arc<str>>);

impl fmt::Display for CenterNames {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<&str> = self.0.iter().map(|n| &**n).collect();
        f.write_str(&names.join(", "))
    }
}

/// Names of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerNames(Vec<Arc<str>>);

impl fmt::Display for WorkerNames {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join(", "))
    }
}

impl fmt::Display for CrashFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let workers = self.workers.join(", ");
        write!(f, "task {} crashes the workers that start it: {workers}", self.task)
    }
}

impl Ledger {
    /// Returns why a job is in its phase; `None` if there is no such job.
    pub fn explain(&self, id: JobId) -> Option<Explanation> {
        let job = self.job(id)?;
        Some(match job.phase {
            Phase::Queued => self.explain_drained(id).unwrap_or(Explanation::Queued),
            Phase::Running => self.explain_running(id),
            Phase::Completed => Explanation::Completed,
            Phase::Cancelled => Explanation::Cancelled,
            Phase::Failed => Explanation::Failed(self.failure(id)?),
        })
    }

    /// Returns why a job has failed; `None` if it has not.
    pub fn failure(&self, id: JobId) -> Option<FailureCause> {
        let job = self.job(id).filter(|j| j.phase == Phase::Failed)?;
        if let Some(failure) = self.crashes.failure(id) {
            return Some(FailureCause::Crashes(failure.clone()));
        }
        let (task, failures) = most_failures(job)?;
        Some(FailureCause::Attempts(task, failures))
    }

    fn explain_running(&self, id: JobId) -> Explanation {
        let suspect = self.crashes.worst_of_job(id);
        let suspected = suspect
            .map(|(task, evidence)| Explanation::Suspected(task, WorkerNames(evidence.workers())));
        suspected.or_else(|| self.explain_drained(id)).unwrap_or(Explanation::Running)
    }

    fn explain_drained(&self, id: JobId) -> Option<Explanation> {
        self.holding_drains(id).map(|c| Explanation::Drained(CenterNames(c)))
    }
}

/// Returns the task with the most failures, or the first task of the gang with the most.
fn most_failures(job: &Job) -> Option<(TaskId, u32)> {
    let id = job.spec.id;
    let steps = job.occurrences.iter().flat_map(|(occurrence, steps)| {
        let step_of = move |i| super::step_id(id, *occurrence, i);
        steps.iter().enumerate().map(move |(i, state)| (step_of(i), state))
    });
    let failures = steps.flat_map(|(step, state)| {
        let tasks = state.tasks.iter().enumerate();
        let of_tasks = tasks.map(move |(i, t)| (step.task(i as u32), t.failures));
        of_tasks.chain([(step.task(0), state.failures)])
    });
    failures.max_by_key(|(_, count)| *count)
}
