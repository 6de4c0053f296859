//! Crashes of workers, and the tasks that may have caused them.
//!
//! Covers a task that crashes each worker that starts it. Tasks that ran beside it are lost with the
//! same workers, so a crash counts as evidence against a task only where no other one can have
//! caused it: of all runs on the worker, those that had just started are suspected first.

use {
    crate::{
        crash::{Crash, CrashedRun},
        id::{JobId, RunId, StepId, TaskId, WorkerIncarnation},
        ledger::{EventOutcome, Job, Ledger, Phase},
    },
    bronzespool_core::{Instance, Time},
    serde::{Deserialize, Deserializer, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Age below which a run has just started: a task crashes its worker at its start, and the agent may
/// learn of the crash by this much later.
const JUST_STARTED: Duration = Duration::from_millis(500);
/// Age from which a run has shown that its task does not crash workers at its start, so that earlier
/// crashes were not its fault.
pub(crate) const SURVIVED: Duration = Duration::from_secs(30);
/// Machines on which only one task can have caused a crash, after which its job fails. Two crashes on
/// one machine may be the machine's fault.
const MACHINES_MAX: usize = 2;
/// Crashes that only one task can have caused, after which its job fails, all on one machine too:
/// there may be no other.
const SOLE_CRASHES_MAX: usize = 3;
/// Crashes under a task after which its job fails if only it can have caused one of them. The platform
/// allows no more than two starts after the third crash.
const CRASHES_MAX: usize = 4;
/// Crashes under a task after which its job fails whatever ran beside it: a task that crashes its
/// workers some time after its start may never be alone there.
const SHARED_CRASHES_MAX: usize = 5;
/// Time for which a crash is remembered, so that a repeated report of it counts once.
const REPORT_RETENTION: Duration = Duration::from_secs(600);

/// How much a run is suspected of a crash, beside the other runs on the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Suspicion {
    /// It has run for a while.
    Running,
    /// Its start had no answer: it may have begun at any time, or not at all.
    Unanswered,
    /// It had just started.
    JustStarted,
}

impl Suspicion {
    fn of(run: &CrashedRun) -> Self {
        match run.age {
            None => Self::Unanswered,
            Some(age) if Duration::from_millis(age) < JUST_STARTED => Self::JustStarted,
            Some(_) => Self::Running,
        }
    }
}

/// A crash under a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUnder {
    /// Name of the worker.
    pub worker: Arc<str>,
    /// Instance of the agent beside it.
    pub agent: Instance,
    /// Whether nothing but the task, or its gang, can have caused it.
    pub sole: bool,
}

/// Evidence against a task: the crashes with a run of it on the worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEvidence {
    /// The crashes, by time.
    pub crashes: Vec<CrashUnder>,
}

impl CrashEvidence {
    /// Returns the number of crashes that nothing but the task can have caused.
    pub fn sole(&self) -> usize {
        self.crashes.iter().filter(|c| c.sole).count()
    }

    /// Whether a worker beside an agent has crashed under the task.
    pub fn includes(&self, agent: &Instance) -> bool {
        self.crashes.iter().any(|c| c.agent == *agent)
    }

    /// Returns the names of the workers that have crashed.
    pub fn workers(&self) -> Vec<Arc<str>> {
        self.crashes.iter().map(|c| Arc::clone(&c.worker)).collect()
    }

    fn is_enough(&self) -> bool {
        let sole = self.crashes.iter().filter(|c| c.sole);
        let machines: BTreeSet<&Instance> = sole.map(|c| &c.agent).collect();
        let (sole, all) = (self.sole(), self.crashes.len());
        machines.len() >= MACHINES_MAX
            || sole >= SOLE_CRASHES_MAX
            || sole > 0 && all >= CRASHES_MAX
            || all >= SHARED_CRASHES_MAX
    }
}

/// Why a job has failed although no task has used up its attempts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFailure {
    /// The task that crashes its workers.
    pub task: TaskId,
    /// Workers that have crashed under it.
    pub workers: Vec<Arc<str>>,
}

/// All crashes that matter to jobs in the ledger.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashLog {
    tasks: BTreeMap<TaskId, CrashEvidence>,
    failures: BTreeMap<JobId, CrashFailure>,
    /// Crashes that were reported, and when.
    reported: BTreeMap<WorkerIncarnation, Time>,
    /// Workers whose machines were taken down for maintenance, and when. Their end is no crash.
    taken_down: BTreeMap<WorkerIncarnation, Time>,
}

impl CrashLog {
    /// Whether there is no evidence against any task.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns the evidence against a task.
    pub fn of_task(&self, task: TaskId) -> Option<&CrashEvidence> {
        self.tasks.get(&task)
    }

    /// Returns the task of a job under which the most workers have crashed.
    pub fn worst_of_job(&self, job: JobId) -> Option<(TaskId, &CrashEvidence)> {
        let of_job = self.tasks.iter().filter(|(task, _)| task.step.job == job);
        of_job.max_by_key(|(_, e)| (e.sole(), e.crashes.len())).map(|(task, e)| (*task, e))
    }

    /// Returns why a job has failed, if crashes were the reason.
    pub fn failure(&self, job: JobId) -> Option<&CrashFailure> {
        self.failures.get(&job)
    }

    /// Whether a crash was reported before.
    pub fn is_reported(&self, incarnation: &WorkerIncarnation) -> bool {
        self.reported.contains_key(incarnation)
    }

    /// Forgets the evidence against a task that is done.
    pub(super) fn forget_task(&mut self, task: TaskId) {
        self.tasks.remove(&task);
    }

    /// Forgets the evidence against all tasks of a job, which is in a final phase.
    pub(super) fn forget_tasks_of(&mut self, job: JobId) {
        self.tasks.retain(|task, _| task.step.job != job);
    }

    /// Forgets what is not needed any more. `has_job` tells which jobs the ledger holds.
    pub(super) fn expire(&mut self, now: Time, has_job: impl Fn(JobId) -> bool) {
        let recent = |at: &Time| now.since(*at) <= REPORT_RETENTION;
        self.reported.retain(|_, at| recent(at));
        self.taken_down.retain(|_, at| recent(at));
        self.failures.retain(|job, _| has_job(*job));
        self.tasks.retain(|task, _| has_job(task.step.job));
    }

    fn add(&mut self, crash: &Crash, suspect: CrashedRun, sole: bool) {
        let evidence = self.tasks.entry(suspect.run.task).or_default();
        if suspect.age.is_some_and(|age| Duration::from_millis(age) >= SURVIVED) {
            *evidence = CrashEvidence::default();
        }
        let worker = Arc::clone(&crash.incarnation.worker);
        evidence.crashes.push(CrashUnder { worker, agent: crash.agent.clone(), sole });
    }
}

/// Reads a crash log, which snapshots of former versions end without.
pub(super) fn read_or_default<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<CrashLog, D::Error> {
    // Only the end of the bytes can fail here: they are checksummed, and a rest is refused.
    Ok(CrashLog::deserialize(deserializer).unwrap_or_default())
}

impl Ledger {
    /// Returns the crashes of workers.
    pub const fn crashes(&self) -> &CrashLog {
        &self.crashes
    }

    pub(super) fn record_crash(&mut self, crash: &Crash) -> EventOutcome {
        let incarnation = &crash.incarnation;
        if self.crashes.is_reported(incarnation) {
            return EventOutcome::Known;
        }
        self.crashes.reported.insert(incarnation.clone(), self.log_time);
        if self.crashes.taken_down.contains_key(incarnation) {
            return EventOutcome::Stale;
        }
        // A run of a job that has ended since may be at fault too.
        let suspicion = crash.runs.iter().map(Suspicion::of).max();
        let is_blamed = |r: &CrashedRun| Some(Suspicion::of(r)) == suspicion;
        let blamed = crash.runs.iter().filter(|r| is_blamed(r));
        let is_sole = self.are_one_unit(blamed.map(|r| r.run));
        let is_open = |r: &&CrashedRun| self.may_start_again(r.run);
        let suspects: Vec<CrashedRun> = crash.runs.iter().filter(is_open).copied().collect();
        for suspect in &suspects {
            self.crashes.add(crash, *suspect, is_sole && is_blamed(suspect));
        }
        for suspect in suspects {
            self.give_up(suspect.run.task);
        }
        EventOutcome::Applied
    }

    /// Records that the machine of a worker goes down for maintenance.
    pub(super) fn take_down(&mut self, worker: &str) -> EventOutcome {
        let Some(worker) = self.workers.get(worker) else { return EventOutcome::Stale };
        let incarnation = worker.spec.incarnation.clone();
        self.crashes.taken_down.insert(incarnation, self.log_time);
        EventOutcome::Applied
    }

    /// Whether a run is known, and its task may be started again.
    fn may_start_again(&self, run: RunId) -> bool {
        let Some(job) = self.job(run.task.step.job) else { return false };
        let task = job.task(run.task);
        job.phase.is_active() && task.is_some_and(|t| !t.done && t.last_run >= run.run)
    }

    /// Whether the runs are of one task, or of one gang, whose tasks only start together.
    fn are_one_unit(&self, runs: impl Iterator<Item = RunId>) -> bool {
        let unit = |run: RunId| (run.task.step, self.is_gang(run.task.step), run.task.index);
        let mut units = runs.map(unit).map(|(step, gang, i)| (step, if gang { 0 } else { i }));
        let first = units.next();
        units.all(|u| Some(u) == first)
    }

    fn is_gang(&self, step: StepId) -> bool {
        let spec = self.job(step.job).and_then(|j| j.step_spec(step.step));
        spec.is_some_and(|s| s.gang)
    }

    /// Fails the job of a task under which too many workers have crashed.
    fn give_up(&mut self, task: TaskId) {
        let Some(evidence) = self.crashes.of_task(task) else { return };
        if !evidence.is_enough() {
            return;
        }
        let failure = CrashFailure { task, workers: evidence.workers() };
        let id = task.step.job;
        let at = self.log_time;
        let Some(job) = self.jobs.get_mut(&id).filter(|j: &&mut Job| j.phase.is_active()) else {
            return;
        };
        job.phase = Phase::Failed;
        job.finished = Some(at);
        self.crashes.failures.insert(id, failure);
        self.crashes.forget_tasks_of(id);
    }
}
