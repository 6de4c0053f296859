//! Which jobs need a look, and when.

use {
    super::SchedulerState,
    crate::{
        job::{Attempt, JobNumber, JobPhase, JobState, MemberState},
        record::MemberOutcome,
    },
    bronzespool_core::{Instance, Time},
};

/// Where a job stands in the index.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mark {
    due: Option<Time>,
    delayed: Option<Time>,
    queued: Option<bool>,
    reserved: bool,
    active: bool,
    ended: Option<Time>,
}

impl SchedulerState {
    /// Enters a job into the queues and timers that its phase calls for.
    pub(super) fn schedule(&mut self, id: JobNumber) {
        self.unmark(id);
        let Some(job) = self.durable.jobs.get(&id) else {
            return;
        };
        let mark = self.mark(job);
        let index = &mut self.index;
        if let Some(due) = mark.due {
            index.due.insert((due, id));
        }
        if let Some(delayed) = mark.delayed {
            index.delayed.insert((delayed, id));
        }
        if let Some(rank) = mark.queued {
            index.queue.entry(job.spec.team.clone()).or_default().insert((rank, id));
        }
        if mark.reserved {
            index.reserved.insert(id);
        }
        if mark.active {
            index.active.entry(job.spec.team.clone()).or_default().insert(id);
        }
        if let Some(ended) = mark.ended {
            index.ended.insert((ended, id));
        }
        index.marks.insert(id, mark);
    }

    fn unmark(&mut self, id: JobNumber) {
        let index = &mut self.index;
        let Some(mark) = index.marks.remove(&id) else {
            return;
        };
        if let Some(due) = mark.due {
            index.due.remove(&(due, id));
        }
        if let Some(delayed) = mark.delayed {
            index.delayed.remove(&(delayed, id));
        }
        if let Some(rank) = mark.queued {
            let team = &self.durable.jobs[&id].spec.team;
            if let Some(queue) = index.queue.get_mut(team) {
                queue.remove(&(rank, id));
                if queue.is_empty() {
                    index.queue.remove(team);
                }
            }
        }
        if mark.reserved {
            index.reserved.remove(&id);
        }
        if mark.active
            && let Some(active) = index.active.get_mut(&self.durable.jobs[&id].spec.team)
        {
            active.remove(&id);
        }
        if let Some(ended) = mark.ended {
            index.ended.remove(&(ended, id));
        }
    }

    fn mark(&self, job: &JobState) -> Mark {
        let mut mark = Mark::default();
        match &job.phase {
            JobPhase::Waiting { not_before } => {
                mark.queued = Some(!job.spec.urgent);
                mark.delayed = Some(*not_before).filter(|&at| at > Time::ZERO);
                mark.due = job.spec.deadline;
                if self.is_hopeless(job) {
                    mark.due = Some(Time::ZERO);
                }
            }
            JobPhase::Reserved { .. } => mark.reserved = true,
            JobPhase::Active(attempt) => {
                mark.active = true;
                mark.due = self.attempt_due(job, attempt);
            }
            JobPhase::Ended { at, .. } => mark.ended = Some(*at),
        }
        mark
    }

    /// When an attempt needs a record, if ever without news.
    fn attempt_due(&self, job: &JobState, attempt: &Attempt) -> Option<Time> {
        let now = Some(Time::ZERO);
        if let Some(stop) = attempt.stop {
            let open = stop.deadline == Time::MAX;
            return if open || !attempt.holds() { now } else { Some(stop.deadline) };
        }
        let failed =
            |m: &MemberState| matches!(m, MemberState::Stopped(o) if *o != MemberOutcome::Done);
        if attempt.members.iter().any(failed) || !attempt.holds() || self.lost(attempt) {
            return now;
        }
        if attempt.started.is_some() {
            return self.overuse(job, attempt).and(now);
        }
        if attempt.members.iter().all(|m| *m == MemberState::Prepared) {
            return now;
        }
        Some(attempt.granted + self.durable.settings.prepare_timeout)
    }

    /// Whether a job has failed on so many workers in good standing, or so often, that the job is
    /// at fault.
    pub(crate) fn is_hopeless(&self, job: &JobState) -> bool {
        let good = |name: &&Instance| {
            self.durable.workers.get(*name).is_some_and(|w| w.quarantine.is_none())
        };
        let workers = job.failed_workers.iter().filter(good).count();
        let strikes = self.durable.settings.job_failures_max;
        workers >= strikes as usize || (workers > 0 && job.failures >= 2 * strikes)
    }

    /// Enters a worker among the suspects, or takes it off.
    pub(super) fn suspect(&mut self, instance: &Instance) {
        let Some(worker) = self.durable.workers.get(instance) else {
            return;
        };
        if worker.failures.is_empty() && worker.quarantine.is_none() {
            self.index.suspects.remove(instance);
        } else {
            self.index.suspects.insert(instance.clone());
        }
    }

    /// Whether a member still held is on a worker that is lost.
    pub(crate) fn lost(&self, attempt: &Attempt) -> bool {
        let mut held = attempt.cells.iter().zip(&attempt.members).filter(|(_, m)| m.holds());
        held.any(|(cell, _)| !self.durable.workers.get(&cell.instance).is_some_and(|w| w.up))
    }
}
