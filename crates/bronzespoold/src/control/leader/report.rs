//! Reports of agents: what happened to tasks, which checkpoints they made, what they use.

use {
    crate::control::leader::{calls::Leader, checkpoints::Whole},
    bronzespool::{
        core::Time,
        schedule::{Attempt, Event, JobState, MemberOutcome, Record},
        wire::message::{CallResult, Reply, Report, TaskEvent, TaskId, TaskUsage},
    },
    std::time::Duration,
};

/// Change of a usage, as a part of one in this many, that is worth a record.
const CHANGE_PART: u64 = 10;

impl Leader {
    /// Takes an agent's report. What concerns an attempt that is over is acknowledged and has no
    /// effect, so that the agent stops sending it.
    pub(super) async fn report(&self, report: &Report) -> CallResult {
        self.replica.read().await?;
        let now = self.replica.log_time();
        let wholes = self.whole_checkpoints(report, now);
        let mut records: Vec<_> = wholes.iter().map(checkpointed).collect();
        let current = report.events.iter().filter(|(task, _)| self.is_current(task));
        records.extend(current.map(|(task, event)| Record::new(now, event_of(task, *event))));
        let usage = report.usage.iter().filter_map(|(task, usage)| self.usage(task, *usage, now));
        records.extend(usage.map(|event| Record::new(now, event)));
        if !records.is_empty() {
            self.commit_records(records).await?;
        }
        let mut checkpoints = self.checkpoints.borrow_mut();
        wholes.iter().for_each(|whole| checkpoints.confirm(whole));
        Ok(Reply::Acknowledged)
    }

    fn is_current(&self, task: &TaskId) -> bool {
        let state = self.replica.state();
        current(state.book().job(&task.job), task).is_some()
    }

    fn whole_checkpoints(&self, report: &Report, now: Time) -> Vec<Whole> {
        if report.checkpoints.is_empty() {
            return Vec::new();
        }
        let state = self.replica.state();
        let book = state.book();
        let mut checkpoints = self.checkpoints.borrow_mut();
        checkpoints.retain(|job, number| {
            let attempt = book.job(job).and_then(JobState::attempt);
            attempt.is_some_and(|a| a.number == number)
        });
        let whole = report.checkpoints.iter().filter_map(|(task, count)| {
            let (job, attempt) = current(book.job(&task.job), task)?;
            checkpoints.note(job, attempt, task.member, *count, now)
        });
        whole.collect()
    }

    /// A record of a usage, if it changes what the schedule counts with.
    fn usage(&self, task: &TaskId, usage: TaskUsage, now: Time) -> Option<Event> {
        let state = self.replica.state();
        let (job, attempt) = current(state.book().job(&task.job), task)?;
        if !is_news(job, attempt, task.member, usage) {
            return None;
        }
        let seen = now - Duration::from_millis(usage.age);
        let TaskId { job, attempt, member } = task.clone();
        let TaskUsage { cores, memory, .. } = usage;
        Some(Event::Usage { job, attempt, member, cores, memory, seen })
    }
}

/// The job and its attempt, if that is the one of the task.
fn current<'a>(job: Option<&'a JobState>, task: &TaskId) -> Option<(&'a JobState, &'a Attempt)> {
    let job = job?;
    let attempt = job.attempt().filter(|a| a.number == task.attempt)?;
    Some((job, attempt))
}

/// A use within the declared need changes nothing, and a steady one only while it is throttled.
fn is_news(job: &JobState, attempt: &Attempt, member: u32, usage: TaskUsage) -> bool {
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
    let differs = |a: u64, b: u64| a.abs_diff(b) * CHANGE_PART > a.max(b);
    differs(cores.into(), last_cores.into()) || differs(memory, last_memory)
}

fn checkpointed(whole: &Whole) -> Record {
    let Whole { job, attempt, .. } = whole.clone();
    Record::new(whole.at, Event::Checkpointed { job, attempt })
}

fn event_of(task: &TaskId, event: TaskEvent) -> Event {
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
