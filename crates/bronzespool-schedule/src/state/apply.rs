//! Application of records to the scheduler state.

use {
    super::{Error, Result, SchedulerState},
    crate::{
        cell::{Cell, CellBinding},
        fragmentation::GangShape,
        job::{
            Attempt, JobNumber, JobPhase, JobSpec, JobState, MemberState, MemberUsage, PendingStop,
        },
        record::{Event, JobOutcome, MemberOutcome, Record, StopReason},
    },
    bronzespool_core::{Job, Time},
    std::{collections::BTreeSet, time::Duration},
};

impl SchedulerState {
    /// Applies one record. The result is the same on every replica.
    ///
    /// # Errors
    ///
    /// [`Error`] if the record is not valid in this state, which is then unchanged.
    pub fn apply(&mut self, record: &Record) -> Result<()> {
        let at = record.at;
        match &record.event {
            Event::WorkerUp { place, capacity, incarnation } => {
                self.worker_up(place, *capacity, *incarnation)
            }
            Event::WorkerDown { instance } => self.change_worker(instance, |w| w.up = false),
            Event::WorkerRemoved { instance } => self.change_worker(instance, |w| {
                w.up = false;
                w.draining = true;
            }),
            Event::DrainingChanged { instance, draining } => {
                let draining = *draining;
                self.change_worker(instance, |w| w.draining = draining)
            }
            Event::Guarantees(shapes) => {
                self.set_guarantees(shapes);
                Ok(())
            }
            Event::Submitted(spec) => self.submit(spec, at),
            Event::Reserved { job, cells, borrowed, bindings } => {
                self.reserve(job, cells, *borrowed, bindings, at)
            }
            Event::Unreserved { job, not_before } => self.unreserve(job, *not_before),
            Event::Granted { job, attempt, cells, lease, borrowed, bindings } => {
                let attempt = new_attempt(*attempt, cells, *lease, *borrowed, at);
                self.grant(job, attempt, bindings)
            }
            Event::Demoted { jobs } => {
                jobs.iter().for_each(|job| self.demote(job, at));
                Ok(())
            }
            Event::Prepared { job, attempt, member } => self.prepared(job, *attempt, *member),
            Event::Started { job, attempt } => self.start(job, *attempt, at),
            Event::Checkpointed { job, attempt } => self.checkpoint(job, *attempt, at),
            Event::Throttled { job, attempt } => {
                self.change_attempt(job, *attempt, |a| a.throttled = Some(at))
            }
            Event::Stopping { job, attempt, reason, deadline } => {
                let stop = PendingStop { reason: *reason, at, deadline: *deadline };
                self.change_attempt(job, *attempt, |a| a.stop = Some(stop))
            }
            Event::Stopped { job, attempt, member, outcome } => {
                self.stopped(job, *attempt, *member, *outcome, at)
            }
            Event::Expired { job, attempt } => self.expire(job, *attempt, at),
            Event::Requeued { job, not_before } => self.requeue(job, *not_before, at),
            Event::Ended { job, outcome } => self.end(job, *outcome, at),
            Event::Cancelled { jobs } => {
                jobs.iter().for_each(|job| self.cancel(job, at));
                Ok(())
            }
            Event::Refused { job, code, .. } => self.end(job, JobOutcome::Refused(*code), at),
            Event::Quarantined { instance } => self.change_worker(instance, |w| {
                w.quarantine = Some(at);
                w.probing = None;
            }),
            Event::Probing { instance } => self.change_worker(instance, |w| w.probing = Some(at)),
            Event::Healthy { instance } => self.change_worker(instance, |w| {
                w.quarantine = None;
                w.probing = None;
                w.failures.clear();
            }),
            Event::Usage { job, attempt, member, cores, memory, seen } => {
                let usage = MemberUsage { cores: *cores, memory: *memory, seen: *seen };
                self.record_usage(job, *attempt, *member, usage)
            }
            Event::Pruned { jobs } => {
                jobs.iter().for_each(|job| self.prune(job));
                Ok(())
            }
        }
    }

    fn submit(&mut self, spec: &JobSpec, at: Time) -> Result<()> {
        if self.index.names.contains_key(&spec.job) {
            return Err(Error::Duplicate(spec.job.clone()));
        }
        let id = self.durable.next;
        self.durable.next += 1;
        let job = JobState {
            id,
            spec: spec.clone(),
            submitted: at,
            attempts: 0,
            saved_progress: Duration::ZERO,
            lost_runtime: Duration::ZERO,
            preemptions: 0,
            moves: 0,
            failed_workers: BTreeSet::new(),
            failures: 0,
            phase: JobPhase::Waiting { not_before: at },
        };
        self.durable.workload_mix.push(GangShape {
            members: spec.members,
            accels: spec.need.accels,
            adjacent: spec.adjacent,
        });
        self.durable.jobs.insert(id, job);
        self.index.names.insert(spec.job.clone(), id);
        self.reindex(id);
        Ok(())
    }

    pub(super) fn id(&self, job: &Job) -> Result<JobNumber> {
        self.index.names.get(job).copied().ok_or_else(|| Error::UnknownJob(job.clone()))
    }

    fn waiting_job(&self, name: &Job) -> Result<JobNumber> {
        let id = self.id(name)?;
        match self.durable.jobs[&id].phase {
            JobPhase::Waiting { .. } | JobPhase::Reserved { .. } => Ok(id),
            JobPhase::Active(_) | JobPhase::Ended { .. } => Err(Error::NotWaiting(name.clone())),
        }
    }

    fn reserve(
        &mut self,
        name: &Job,
        cells: &[Cell],
        borrowed: bool,
        bindings: &[CellBinding],
        at: Time,
    ) -> Result<()> {
        let id = self.waiting_job(name)?;
        self.check_workers(cells)?;
        self.release(id);
        let job = self.durable.jobs.get_mut(&id).expect("the number of a known job");
        job.phase = JobPhase::Reserved { cells: cells.to_vec(), borrowed, at };
        let (team, need) = (job.spec.team.clone(), job.spec.need);
        self.index.occupancy.reserve(cells, &need, borrowed);
        self.bind(&team, bindings);
        self.reindex(id);
        Ok(())
    }

    /// Releases the reservation of a job, if it has one.
    fn release(&mut self, id: JobNumber) {
        let job = &self.durable.jobs[&id];
        let JobPhase::Reserved { cells, borrowed, .. } = &job.phase else {
            return;
        };
        self.index.occupancy.unreserve(cells, &job.spec.need, *borrowed);
        self.index.capacity_epoch += 1;
        let (team, borrowed) = (job.spec.team.clone(), *borrowed);
        let job = self.durable.jobs.get_mut(&id).expect("the number of a known job");
        job.phase = JobPhase::Waiting { not_before: Time::ZERO };
        if !borrowed {
            self.unbind(&team);
        }
    }

    fn unreserve(&mut self, name: &Job, not_before: Time) -> Result<()> {
        let id = self.waiting_job(name)?;
        self.release(id);
        let job = self.durable.jobs.get_mut(&id).expect("the number of a known job");
        job.phase = JobPhase::Waiting { not_before };
        self.reindex(id);
        Ok(())
    }

    fn check_workers(&self, cells: &[Cell]) -> Result<()> {
        let missing = cells.iter().find(|c| self.index.occupancy.slot_of(&c.instance).is_none());
        missing.map_or(Ok(()), |c| Err(Error::UnknownWorker(c.instance.clone())))
    }

    fn check_free(&self, cells: &[Cell]) -> Result<()> {
        let occupancy = &self.index.occupancy;
        for cell in cells {
            let slot = occupancy.slot_of(&cell.instance).expect("checked before");
            if occupancy.slot(slot).used & cell.mask() != 0 {
                return Err(Error::CellInUse(cell.instance.clone(), cell.first));
            }
        }
        Ok(())
    }

    fn grant(&mut self, name: &Job, attempt: Attempt, bindings: &[CellBinding]) -> Result<()> {
        let id = self.waiting_job(name)?;
        self.check_workers(&attempt.cells)?;
        self.check_undrained(&attempt.cells)?;
        self.check_free(&attempt.cells)?;
        let team = self.durable.jobs[&id].spec.team.clone();
        if !attempt.borrowed {
            self.bind(&team, bindings);
        }
        let job = self.durable.jobs.get_mut(&id).expect("the number of a known job");
        let before = std::mem::replace(&mut job.phase, JobPhase::Active(attempt.clone()));
        job.attempts = attempt.number;
        if let JobPhase::Reserved { cells, borrowed, .. } = &before {
            self.index.occupancy.unreserve(cells, &job.spec.need, *borrowed);
        }
        let usage = self.index.team_usage.entry(team).or_default();
        for (member, cell) in attempt.cells.iter().enumerate() {
            self.index.occupancy.occupy(job, &attempt, member);
            usage.add(cell, &job.spec.need, attempt.borrowed);
        }
        self.reindex(id);
        Ok(())
    }

    /// Sequence number of a job with its active attempt `number`.
    fn active_attempt(&mut self, name: &Job, number: u32) -> Result<(JobNumber, &mut Attempt)> {
        let id = self.id(name)?;
        let job = self.durable.jobs.get_mut(&id).expect("the number of a known job");
        match &mut job.phase {
            JobPhase::Active(attempt) if attempt.number == number => Ok((id, attempt)),
            _ => Err(Error::UnknownAttempt(name.clone(), number)),
        }
    }

    fn start(&mut self, name: &Job, number: u32, at: Time) -> Result<()> {
        let (_, attempt) = self.active_attempt(name, number)?;
        let cells = attempt.cells.clone();
        self.check_undrained(&cells)?;
        self.change_attempt(name, number, |a| a.started = Some(at))
    }

    fn change_attempt(
        &mut self,
        name: &Job,
        number: u32,
        change: impl FnOnce(&mut Attempt),
    ) -> Result<()> {
        let (id, attempt) = self.active_attempt(name, number)?;
        change(attempt);
        self.reindex(id);
        Ok(())
    }

    fn prepared(&mut self, name: &Job, number: u32, member: u32) -> Result<()> {
        self.change_attempt(name, number, |attempt| {
            if let Some(state) = attempt.members.get_mut(member as usize)
                && *state == MemberState::Granted
            {
                *state = MemberState::Prepared;
            }
        })
    }

    fn checkpoint(&mut self, name: &Job, number: u32, at: Time) -> Result<()> {
        let (id, attempt) = self.active_attempt(name, number)?;
        let Some(started) = attempt.started else {
            return Ok(());
        };
        let since = attempt.checkpointed.unwrap_or(started);
        attempt.checkpointed = Some(at);
        self.durable.jobs.get_mut(&id).expect("the number of a known job").saved_progress +=
            at.since(since);
        Ok(())
    }

    fn stopped(
        &mut self,
        name: &Job,
        number: u32,
        member: u32,
        outcome: MemberOutcome,
        at: Time,
    ) -> Result<()> {
        let (id, _) = self.active_attempt(name, number)?;
        self.drop_member(id, member as usize, outcome, at);
        self.reindex(id);
        Ok(())
    }

    /// Releases the cell of a member and records its outcome for the job and the worker.
    fn drop_member(&mut self, id: JobNumber, member: usize, outcome: MemberOutcome, at: Time) {
        let job = self.durable.jobs.get_mut(&id).expect("the number of a known job");
        let JobPhase::Active(attempt) = &mut job.phase else {
            return;
        };
        if !attempt.members.get(member).is_some_and(|m| m.holds()) {
            return;
        }
        let mut attempt = attempt.clone();
        self.index.occupancy.vacate(job, &attempt, member);
        attempt.members[member] = MemberState::Stopped(outcome);
        let cell = attempt.cells[member].clone();
        let team = job.spec.team.clone();
        let usage = self.index.team_usage.entry(team.clone()).or_default();
        usage.subtract(&cell, &job.spec.need, attempt.borrowed);
        if outcome == MemberOutcome::Failed {
            job.failed_workers.insert(cell.instance.clone());
            job.failures += 1;
        }
        let borrowed = attempt.borrowed;
        job.phase = JobPhase::Active(attempt);
        if let Some(worker) = self.durable.workers.get_mut(&cell.instance) {
            match outcome {
                MemberOutcome::Failed => _ = worker.failures.insert(id, at),
                MemberOutcome::Done => worker.failures.clear(),
                MemberOutcome::Stopped | MemberOutcome::Lost => {}
            }
        }
        self.update_suspect(&cell.instance);
        if !borrowed {
            self.unbind(&team);
        }
        self.index.capacity_epoch += 1;
    }

    fn expire(&mut self, name: &Job, number: u32, at: Time) -> Result<()> {
        let (id, attempt) = self.active_attempt(name, number)?;
        let members = attempt.members.len();
        for member in 0..members {
            self.drop_member(id, member, MemberOutcome::Lost, at);
        }
        self.reindex(id);
        Ok(())
    }

    /// Releases the reservation and all remaining members of the last attempt, and adds its lost
    /// run time, preemption or move to the counters of the job.
    fn close_attempt(&mut self, id: JobNumber, at: Time) {
        let members = match &self.durable.jobs[&id].phase {
            JobPhase::Active(attempt) => attempt.members.len(),
            _ => 0,
        };
        for member in 0..members {
            self.drop_member(id, member, MemberOutcome::Lost, at);
        }
        self.release(id);
        let job = self.durable.jobs.get_mut(&id).expect("the number of a known job");
        let JobPhase::Active(attempt) = &job.phase else {
            return;
        };
        let Some(started) = attempt.started else {
            return;
        };
        let end = attempt.stop.map_or(at, |stop| stop.at);
        job.lost_runtime += end.since(attempt.checkpointed.unwrap_or(started));
        match attempt.stop.map(|stop| stop.reason) {
            Some(StopReason::Reclaim | StopReason::Reservation) => job.preemptions += 1,
            Some(StopReason::Move) => job.moves += 1,
            _ => {}
        }
    }

    fn requeue(&mut self, name: &Job, not_before: Time, at: Time) -> Result<()> {
        let id = self.id(name)?;
        self.close_attempt(id, at);
        let job = self.durable.jobs.get_mut(&id).expect("the number of a known job");
        let overuse = |a: &Attempt| a.stop.is_some_and(|s| s.reason == StopReason::Overuse);
        if job.attempt().is_some_and(overuse) {
            job.spec = job.grown();
        }
        job.phase = JobPhase::Waiting { not_before };
        self.reindex(id);
        Ok(())
    }

    fn end(&mut self, name: &Job, outcome: JobOutcome, at: Time) -> Result<()> {
        let id = self.id(name)?;
        if outcome == JobOutcome::Done {
            self.record_runtime(id, at);
        }
        self.close_attempt(id, at);
        let job = self.durable.jobs.get_mut(&id).expect("the number of a known job");
        job.phase = JobPhase::Ended { outcome, at };
        self.reindex(id);
        Ok(())
    }

    /// Adds the run time of a completed job to the estimates of its kind.
    fn record_runtime(&mut self, id: JobNumber, at: Time) {
        let job = &self.durable.jobs[&id];
        let Some(started) = job.attempt().and_then(|a| a.started) else {
            return;
        };
        let since = job.attempt().and_then(|a| a.checkpointed).unwrap_or(started);
        let span = job.saved_progress + at.since(since);
        for team in [Some(job.spec.team.clone()), None] {
            let key = (team, job.spec.service.clone(), job.spec.kind.clone());
            self.durable.estimates.entry(key).or_default().push(span);
        }
    }

    /// Ends a job without allocated cells; marks an active one to be stopped.
    fn cancel(&mut self, name: &Job, at: Time) {
        let Ok(id) = self.id(name) else {
            return;
        };
        match &mut self.durable.jobs.get_mut(&id).expect("the number of a known job").phase {
            JobPhase::Active(attempt) => {
                let deadline = attempt.stop.map_or(Time::MAX, |stop| stop.deadline);
                attempt.stop = Some(PendingStop { reason: StopReason::Cancelled, at, deadline });
            }
            JobPhase::Waiting { .. } | JobPhase::Reserved { .. } => {
                self.release(id);
                let job = self.durable.jobs.get_mut(&id).expect("the number of a known job");
                job.phase = JobPhase::Ended { outcome: JobOutcome::Cancelled, at };
            }
            JobPhase::Ended { .. } => {}
        }
        self.reindex(id);
    }

    fn record_usage(
        &mut self,
        name: &Job,
        number: u32,
        member: u32,
        usage: MemberUsage,
    ) -> Result<()> {
        let (id, attempt) = self.active_attempt(name, number)?;
        let member = member as usize;
        if !attempt.members.get(member).is_some_and(|m| m.holds()) {
            return Ok(());
        }
        let before = attempt.clone();
        let stale = usage.seen < attempt.granted
            || attempt.usage[member].is_some_and(|last| last.seen >= usage.seen);
        if stale {
            return Ok(());
        }
        attempt.usage[member] = Some(usage);
        let updated = attempt.clone();
        let job = &self.durable.jobs[&id];
        self.index.occupancy.vacate(job, &before, member);
        self.index.occupancy.occupy(job, &updated, member);
        self.index.capacity_epoch += 1;
        self.reindex(id);
        Ok(())
    }

    fn prune(&mut self, name: &Job) {
        let Ok(id) = self.id(name) else {
            return;
        };
        if let JobPhase::Ended { at, .. } = self.durable.jobs[&id].phase {
            self.index.ended.remove(&(at, id));
            self.index.entries.remove(&id);
            self.index.names.remove(name);
            self.durable.jobs.remove(&id);
        }
    }
}

fn new_attempt(number: u32, cells: &[Cell], lease: Duration, borrowed: bool, at: Time) -> Attempt {
    Attempt {
        number,
        cells: cells.to_vec(),
        members: vec![MemberState::Granted; cells.len()],
        borrowed,
        lease,
        demoted: None,
        granted: at,
        started: None,
        checkpointed: None,
        usage: vec![None; cells.len()],
        throttled: None,
        stop: None,
    }
}
