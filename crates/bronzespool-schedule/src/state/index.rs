//! Indexes of the jobs by queue, timer and phase, and of suspect workers.

use {
    super::SchedulerState,
    crate::{
        job::{Attempt, JobNumber, JobPhase, JobState, MemberState},
        record::MemberOutcome,
    },
    bronzespool_core::{Instance, Time},
};

/// Index entries of a job, kept so that they can be removed when the job changes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct IndexEntry {
    due: Option<Time>,
    delayed: Option<Time>,
    /// Sort key in the team's queue: `false` for urgent jobs, which come first.
    queued: Option<bool>,
    reserved: bool,
    stopping: bool,
    demoted: bool,
    active: bool,
    ended: Option<Time>,
}

impl SchedulerState {
    /// Replaces the index entries of a job by those for its current phase.
    pub(super) fn reindex(&mut self, id: JobNumber) {
        self.remove_entry(id);
        let Some(job) = self.durable.jobs.get(&id) else {
            return;
        };
        let entry = self.entry_of(job);
        let index = &mut self.index;
        if let Some(due) = entry.due {
            index.due.insert((due, id));
        }
        if let Some(delayed) = entry.delayed {
            index.delayed.insert((delayed, id));
        }
        if let Some(rank) = entry.queued {
            index.queue.entry(job.spec.team.clone()).or_default().insert((rank, id));
        }
        if entry.reserved {
            index.reserved.insert(id);
        }
        if entry.stopping {
            index.stopping.insert(id);
        }
        if entry.demoted {
            index.demoted.insert(id);
        }
        if entry.active {
            index.active.entry(job.spec.team.clone()).or_default().insert(id);
        }
        if let Some(ended) = entry.ended {
            index.ended.insert((ended, id));
        }
        index.entries.insert(id, entry);
    }

    fn remove_entry(&mut self, id: JobNumber) {
        let index = &mut self.index;
        let Some(entry) = index.entries.remove(&id) else {
            return;
        };
        if let Some(due) = entry.due {
            index.due.remove(&(due, id));
        }
        if let Some(delayed) = entry.delayed {
            index.delayed.remove(&(delayed, id));
        }
        if let Some(rank) = entry.queued {
            let team = &self.durable.jobs[&id].spec.team;
            if let Some(queue) = index.queue.get_mut(team) {
                queue.remove(&(rank, id));
                if queue.is_empty() {
                    index.queue.remove(team);
                }
            }
        }
        if entry.reserved {
            index.reserved.remove(&id);
        }
        if entry.stopping {
            index.stopping.remove(&id);
        }
        if entry.demoted {
            index.demoted.remove(&id);
        }
        if entry.active
            && let Some(active) = index.active.get_mut(&self.durable.jobs[&id].spec.team)
        {
            active.remove(&id);
        }
        if let Some(ended) = entry.ended {
            index.ended.remove(&(ended, id));
        }
    }

    fn entry_of(&self, job: &JobState) -> IndexEntry {
        let mut entry = IndexEntry::default();
        match &job.phase {
            JobPhase::Waiting { not_before } => {
                entry.queued = Some(!job.spec.urgent);
                entry.delayed = Some(*not_before).filter(|&at| at > Time::ZERO);
                entry.due = job.spec.deadline;
                if self.is_faulty_job(job) {
                    entry.due = Some(Time::ZERO);
                }
            }
            JobPhase::Reserved { .. } => entry.reserved = true,
            JobPhase::Active(attempt) => {
                entry.active = true;
                entry.stopping = attempt.stop.is_some();
                entry.demoted = attempt.demoted.is_some();
                entry.due = self.attempt_due(job, attempt);
            }
            JobPhase::Ended { at, .. } => entry.ended = Some(*at),
        }
        entry
    }

    /// Time at which an attempt is due for a record if nothing is reported before.
    fn attempt_due(&self, job: &JobState, attempt: &Attempt) -> Option<Time> {
        let at_once = Some(Time::ZERO);
        if let Some(stop) = attempt.stop {
            let unsent = stop.deadline == Time::MAX;
            return if unsent || !attempt.holds() { at_once } else { Some(stop.deadline) };
        }
        let failed =
            |m: &MemberState| matches!(m, MemberState::Stopped(o) if *o != MemberOutcome::Done);
        if attempt.members.iter().any(failed) || !attempt.holds() || self.has_lost_member(attempt) {
            return at_once;
        }
        if attempt.started.is_some() {
            return self.overuse(job, attempt).and(at_once);
        }
        if attempt.members.iter().all(|m| *m == MemberState::Prepared) {
            return at_once;
        }
        Some(attempt.granted + self.durable.settings.prepare_timeout)
    }

    /// Whether the job itself is faulty: it failed on too many workers that are not in quarantine,
    /// or on at least one of these and too often in total.
    pub(crate) fn is_faulty_job(&self, job: &JobState) -> bool {
        let healthy = |name: &&Instance| {
            self.durable.workers.get(*name).is_some_and(|w| w.quarantine.is_none())
        };
        let workers = job.failed_workers.iter().filter(healthy).count();
        let limit = self.durable.settings.job_failures_max;
        workers >= limit as usize || (workers > 0 && job.failures >= 2 * limit)
    }

    /// Adds a worker to the suspects or removes it, by its failures and quarantine.
    pub(super) fn update_suspect(&mut self, instance: &Instance) {
        let Some(worker) = self.durable.workers.get(instance) else {
            return;
        };
        if worker.failures.is_empty() && worker.quarantine.is_none() {
            self.index.suspects.remove(instance);
        } else {
            self.index.suspects.insert(instance.clone());
        }
    }

    /// Whether the cell of a member that has not stopped is on a lost worker.
    pub(crate) fn has_lost_member(&self, attempt: &Attempt) -> bool {
        let mut held = attempt.cells.iter().zip(&attempt.members).filter(|(_, m)| m.holds());
        held.any(|(cell, _)| !self.durable.workers.get(&cell.instance).is_some_and(|w| w.up))
    }
}
