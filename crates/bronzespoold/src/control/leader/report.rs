//! Reports of agents: task events, checkpoints and resource usage.

use {
    crate::control::leader::{calls::Leader, checkpoints::GangCheckpoint},
    bronzespool::{
        core::Time,
        schedule::{Attempt, Event, JobState, MemberOutcome, Record},
        wire::message::{CallResult, Reply, Report, TaskEvent, TaskId, TaskUsage},
    },
    std::time::Duration,
};

/// Inverse of the relative change above which a usage is committed.
const USAGE_CHANGE_DIVISOR: u64 = 10;

impl Leader {
    /// Processes an agent's report. Items for an attempt that is over are acknowledged and ignored,
    /// so that the agent stops sending them.
    pub(super) async fn report(&self, report: &Report) -> CallResult {
        self.replica.read_barrier().await?;
        let now = self.replica.log_time();
        let gang_checkpoints = self.completed_checkpoints(report, now);
        let mut records: Vec<_> = gang_checkpoints.iter().map(checkpoint_record).collect();
        let current = report.events.iter().filter(|(task, _)| self.is_current(task));
        records.extend(current.map(|(task, event)| Record::new(now, task_event(task, *event))));
        let usage =
            report.usage.iter().filter_map(|(task, usage)| self.usage_event(task, *usage, now));
        records.extend(usage.map(|event| Record::new(now, event)));
        if !records.is_empty() {
            self.commit_records(records).await?;
        }
        let mut checkpoints = self.checkpoints.borrow_mut();
        gang_checkpoints.iter().for_each(|checkpoint| checkpoints.confirm(checkpoint));
        Ok(Reply::Acknowledged)
    }

    fn is_current(&self, task: &TaskId) -> bool {
        let state = self.replica.state();
        current_attempt(state.scheduler().job(&task.job), task).is_some()
    }

    fn completed_checkpoints(&self, report: &Report, now: Time) -> Vec<GangCheckpoint> {
        if report.checkpoints.is_empty() {
            return Vec::new();
        }
        let state = self.replica.state();
        let scheduler = state.scheduler();
        let mut checkpoints = self.checkpoints.borrow_mut();
        checkpoints.retain(|job, number| {
            let attempt = scheduler.job(job).and_then(JobState::attempt);
            attempt.is_some_and(|a| a.number == number)
        });
        let completed = report.checkpoints.iter().filter_map(|(task, count)| {
            let (job, attempt) = current_attempt(scheduler.job(&task.job), task)?;
            checkpoints.record(job, attempt, task.member, *count, now)
        });
        completed.collect()
    }

    /// The event that records a usage, if the usage changes what the scheduler has to account for.
    fn usage_event(&self, task: &TaskId, usage: TaskUsage, now: Time) -> Option<Event> {
        let state = self.replica.state();
        let (job, attempt) = current_attempt(state.scheduler().job(&task.job), task)?;
        if !is_significant(job, attempt, task.member, usage) {
            return None;
        }
        let seen = now - Duration::from_millis(usage.age);
        let TaskId { job, attempt, member } = task.clone();
        let TaskUsage { cores, memory, .. } = usage;
        Some(Event::Usage { job, attempt, member, cores, memory, seen })
    }
}

/// The job and its attempt, if the task belongs to that attempt.
fn current_attempt<'a>(
    job: Option<&'a JobState>,
    task: &TaskId,
) -> Option<(&'a JobState, &'a Attempt)> {
    let job = job?;
    let attempt = job.attempt().filter(|a| a.number == task.attempt)?;
    Some((job, attempt))
}

/// Whether a usage is worth a record. Usage within the declared need changes nothing. Steady usage
/// above it is only recorded while the attempt is throttled.
fn is_significant(job: &JobState, attempt: &Attempt, member: u32, usage: TaskUsage) -> bool {
    let need = job.spec.need;
    let (cores, memory) = (usage.cores.max(need.cores), usage.memory.max(need.memory));
    let over = cores > need.cores || memory > need.memory;
    if attempt.throttled.is_some() && over {
        return true;
    }
    let last = attempt.usage.get(member as usize).copied().flatten();
    let (last_cores, last_memory) = last.map_or((need.cores, need.memory), |last| {
        (last.cores.max(need.cores), last.memory.max(need.memory))
    });
    let differs = |a: u64, b: u64| a.abs_diff(b) * USAGE_CHANGE_DIVISOR > a.max(b);
    differs(cores.into(), last_cores.into()) || differs(memory, last_memory)
}

fn checkpoint_record(checkpoint: &GangCheckpoint) -> Record {
    let GangCheckpoint { job, attempt, .. } = checkpoint.clone();
    Record::new(checkpoint.at, Event::Checkpointed { job, attempt })
}

fn task_event(task: &TaskId, event: TaskEvent) -> Event {
    let TaskId { job, attempt, member } = task.clone();
    let outcome = match event {
        TaskEvent::Prepared => return Event::Prepared { job, attempt, member },
        TaskEvent::Done => MemberOutcome::Done,
        TaskEvent::Failed => MemberOutcome::Failed,
        TaskEvent::Stopped => MemberOutcome::Stopped,
        TaskEvent::Lost => MemberOutcome::Lost,
    };
    Event::Stopped { job, attempt, member, outcome }
}
