//! How records change the book.

use {
    super::{Book, Error, Result, Worker},
    crate::{
        cell::{ACCELS_MAX, Bind, Cell},
        job::{Attempt, Id, JobSpec, JobState, Member, Phase, Stop, Usage},
        mix::GangShape,
        record::{Event, JobOutcome, MemberOutcome, Record, StopReason},
    },
    bronzespool_core::{Capacity, Instance, Job, Place, Shape, Team, Time},
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

impl Book {
    /// Changes the book by one record, the same way on every replica.
    ///
    /// # Errors
    ///
    /// [`Error`] when the record does not fit; the book is unchanged then.
    pub fn apply(&mut self, record: &Record) -> Result<()> {
        let at = record.at;
        match &record.event {
            Event::WorkerUp { place, capacity, incarnation } => {
                self.worker_up(place, *capacity, *incarnation)
            }
            Event::WorkerDown { instance } => self.worker(instance, |w| w.up = false),
            Event::WorkerGone { instance } => self.worker(instance, |w| {
                w.up = false;
                w.leaving = true;
            }),
            Event::Drained { instance, leaving } => {
                let leaving = *leaving;
                self.worker(instance, |w| w.leaving = leaving)
            }
            Event::Guarantees(shapes) => {
                self.guarantees(shapes);
                Ok(())
            }
            Event::Submitted(spec) => self.submit(spec, at),
            Event::Reserved { job, cells, borrowed, binds } => {
                self.reserve(job, cells, *borrowed, binds, at)
            }
            Event::Unreserved { job, after } => self.unreserve(job, *after),
            Event::Granted { job, attempt, cells, lease, borrowed, binds } => {
                let fresh = attempt_of(*attempt, cells, *lease, *borrowed, at);
                self.grant(job, fresh, binds)
            }
            Event::Demoted { jobs } => {
                jobs.iter().for_each(|job| self.demote(job, at));
                Ok(())
            }
            Event::Prepared { job, attempt, member } => self.prepared(job, *attempt, *member),
            Event::Go { job, attempt } => self.change(job, *attempt, |a| a.started = Some(at)),
            Event::Checkpointed { job, attempt } => self.checkpoint(job, *attempt, at),
            Event::Throttled { job, attempt } => {
                self.change(job, *attempt, |a| a.throttled = Some(at))
            }
            Event::Stopping { job, attempt, reason, by } => {
                let stop = Stop { reason: *reason, at, by: *by };
                self.change(job, *attempt, |a| a.stop = Some(stop))
            }
            Event::Stopped { job, attempt, member, outcome } => {
                self.stopped(job, *attempt, *member, *outcome, at)
            }
            Event::Expired { job, attempt } => self.expire(job, *attempt, at),
            Event::Requeued { job, after } => self.requeue(job, *after, at),
            Event::Ended { job, outcome } => self.end(job, *outcome, at),
            Event::Cancelled { jobs } => {
                jobs.iter().for_each(|job| self.cancel(job, at));
                Ok(())
            }
            Event::Refused { job, code, .. } => self.end(job, JobOutcome::Refused(*code), at),
            Event::Quarantined { instance } => self.worker(instance, |w| {
                w.quarantine = Some(at);
                w.probing = None;
            }),
            Event::Probing { instance } => self.worker(instance, |w| w.probing = Some(at)),
            Event::Healthy { instance } => self.worker(instance, |w| {
                w.quarantine = None;
                w.probing = None;
                w.failures.clear();
            }),
            Event::Usage { job, attempt, member, cores, memory, seen } => {
                let usage = Usage { cores: *cores, memory: *memory, seen: *seen };
                self.usage(job, *attempt, *member, usage)
            }
            Event::Forgotten { jobs } => {
                jobs.iter().for_each(|job| self.forget(job));
                Ok(())
            }
        }
    }

    fn worker_up(&mut self, place: &Place, capacity: Capacity, incarnation: u64) -> Result<()> {
        if capacity.accels > ACCELS_MAX {
            return Err(Error::Accels(place.instance.clone()));
        }
        self.index.epoch += 1;
        if let Some(worker) = self.state.workers.get_mut(&place.instance) {
            worker.capacity = capacity;
            worker.incarnation = incarnation;
            worker.up = true;
            worker.leaving = false;
            let worker = worker.clone();
            self.index.grid.update(&worker);
            return Ok(());
        }
        let worker = Worker {
            slot: self.state.slots,
            place: place.clone(),
            capacity,
            incarnation,
            up: true,
            leaving: false,
            quarantine: None,
            probing: None,
            failures: BTreeMap::new(),
        };
        self.state.slots += 1;
        self.index.grid.insert(&worker);
        self.state.workers.insert(place.instance.clone(), worker);
        self.bind_all();
        Ok(())
    }

    /// Marks the cells of all teams again, since a domain has grown.
    fn bind_all(&mut self) {
        for team in self.state.teams.values() {
            for bind in &team.binds {
                self.index.grid.bind(bind);
            }
        }
    }

    fn worker(&mut self, instance: &Instance, change: impl FnOnce(&mut Worker)) -> Result<()> {
        let unknown = || Error::UnknownWorker(instance.clone());
        let worker = self.state.workers.get_mut(instance).ok_or_else(unknown)?;
        change(worker);
        let worker = worker.clone();
        self.index.grid.update(&worker);
        self.index.epoch += 1;
        self.suspect(instance);
        let tasks = self.index.grid.at(worker.slot).tasks.clone();
        for id in tasks.into_iter().map(|(id, _)| id).chain(worker.failures.into_keys()) {
            self.schedule(id);
        }
        Ok(())
    }

    fn guarantees(&mut self, shapes: &[(Team, Vec<Shape>)]) {
        for team in self.state.teams.values_mut() {
            team.shapes.clear();
        }
        for (team, shapes) in shapes {
            let state = self.state.teams.entry(team.clone()).or_default();
            for shape in shapes {
                *state.shapes.entry(shape.level).or_default() += shape.count;
            }
        }
        self.state.teams.retain(|_, t| !t.shapes.is_empty() || !t.binds.is_empty());
        self.index.epoch += 1;
    }

    fn submit(&mut self, spec: &JobSpec, at: Time) -> Result<()> {
        if self.index.names.contains_key(&spec.job) {
            return Err(Error::Duplicate(spec.job.clone()));
        }
        let id = self.state.next;
        self.state.next += 1;
        let job = JobState {
            id,
            spec: spec.clone(),
            submitted: at,
            attempts: 0,
            saved: Duration::ZERO,
            lost: Duration::ZERO,
            preemptions: 0,
            moves: 0,
            failed: BTreeSet::new(),
            failures: 0,
            phase: Phase::Waiting { after: at },
        };
        self.state.mix.push(GangShape {
            members: spec.members,
            accels: spec.need.accels,
            adjacent: spec.adjacent,
        });
        self.state.jobs.insert(id, job);
        self.index.names.insert(spec.job.clone(), id);
        self.schedule(id);
        Ok(())
    }

    fn id(&self, job: &Job) -> Result<Id> {
        self.index.names.get(job).copied().ok_or_else(|| Error::UnknownJob(job.clone()))
    }

    fn waiting(&self, name: &Job) -> Result<Id> {
        let id = self.id(name)?;
        match self.state.jobs[&id].phase {
            Phase::Waiting { .. } | Phase::Reserved { .. } => Ok(id),
            Phase::Active(_) | Phase::Ended { .. } => Err(Error::NotWaiting(name.clone())),
        }
    }

    fn reserve(
        &mut self,
        name: &Job,
        cells: &[Cell],
        borrowed: bool,
        binds: &[Bind],
        at: Time,
    ) -> Result<()> {
        let id = self.waiting(name)?;
        self.check_workers(cells)?;
        self.release(id);
        let job = self.state.jobs.get_mut(&id).expect("id is of a job");
        job.phase = Phase::Reserved { cells: cells.to_vec(), borrowed, at };
        let (team, need) = (job.spec.team.clone(), job.spec.need);
        self.index.grid.hold(cells, &need, borrowed);
        self.bind(&team, binds);
        self.schedule(id);
        Ok(())
    }

    /// Gives up the reservation of a job, if it has one.
    fn release(&mut self, id: Id) {
        let job = &self.state.jobs[&id];
        let Phase::Reserved { cells, borrowed, .. } = &job.phase else {
            return;
        };
        self.index.grid.unhold(cells, &job.spec.need, *borrowed);
        self.index.epoch += 1;
        let (team, borrowed) = (job.spec.team.clone(), *borrowed);
        let job = self.state.jobs.get_mut(&id).expect("id is of a job");
        job.phase = Phase::Waiting { after: Time::ZERO };
        if !borrowed {
            self.unbind(&team);
        }
    }

    fn unreserve(&mut self, name: &Job, after: Time) -> Result<()> {
        let id = self.waiting(name)?;
        self.release(id);
        let job = self.state.jobs.get_mut(&id).expect("id is of a job");
        job.phase = Phase::Waiting { after };
        self.schedule(id);
        Ok(())
    }

    fn check_workers(&self, cells: &[Cell]) -> Result<()> {
        let missing = cells.iter().find(|c| self.index.grid.slot(&c.instance).is_none());
        missing.map_or(Ok(()), |c| Err(Error::UnknownWorker(c.instance.clone())))
    }

    fn check_free(&self, cells: &[Cell]) -> Result<()> {
        let grid = &self.index.grid;
        for held in cells {
            let slot = grid.slot(&held.instance).expect("checked before");
            if grid.at(slot).used & held.mask() != 0 {
                return Err(Error::Held(held.instance.clone(), held.first));
            }
        }
        Ok(())
    }

    fn grant(&mut self, name: &Job, attempt: Attempt, binds: &[Bind]) -> Result<()> {
        let id = self.waiting(name)?;
        self.check_workers(&attempt.cells)?;
        self.check_free(&attempt.cells)?;
        let team = self.state.jobs[&id].spec.team.clone();
        if !attempt.borrowed {
            self.bind(&team, binds);
        }
        let job = self.state.jobs.get_mut(&id).expect("id is of a job");
        let before = std::mem::replace(&mut job.phase, Phase::Active(attempt.clone()));
        job.attempts = attempt.number;
        if let Phase::Reserved { cells, borrowed, .. } = &before {
            self.index.grid.unhold(cells, &job.spec.need, *borrowed);
        }
        let ledger = self.index.ledger.entry(team).or_default();
        for (member, held) in attempt.cells.iter().enumerate() {
            self.index.grid.occupy(job, &attempt, member);
            ledger.add(held, &job.spec.need, attempt.borrowed);
        }
        self.schedule(id);
        Ok(())
    }

    fn bind(&mut self, team: &Team, binds: &[Bind]) {
        if binds.is_empty() {
            return;
        }
        let state = self.state.teams.entry(team.clone()).or_default();
        for bind in binds {
            self.index.grid.bind(bind);
            state.binds.push(bind.clone());
        }
    }

    /// Takes an attempt off its team's guarantee; it runs on as borrowed.
    pub(super) fn demote(&mut self, name: &Job, at: Time) {
        let Ok(id) = self.id(name) else {
            return;
        };
        let lease = self.state.settings.lease;
        let job = self.state.jobs.get_mut(&id).expect("id is of a job");
        let Phase::Active(attempt) = &mut job.phase else {
            return;
        };
        if attempt.borrowed {
            return;
        }
        let held = |a: &Attempt| (0..a.cells.len()).filter(|&m| a.members[m].holds()).collect();
        let members: Vec<usize> = held(attempt);
        let before = attempt.clone();
        attempt.borrowed = true;
        attempt.lease = lease;
        attempt.demoted = Some(at);
        let after = attempt.clone();
        let team = job.spec.team.clone();
        for member in members {
            self.index.grid.vacate(job, &before, member);
            self.index.grid.occupy(job, &after, member);
            let ledger = self.index.ledger.entry(team.clone()).or_default();
            ledger.sub(&before.cells[member], &job.spec.need, false);
            ledger.add(&after.cells[member], &job.spec.need, true);
        }
        self.index.epoch += 1;
        self.unbind(&team);
        self.schedule(id);
    }

    /// Frees guaranteed cells in which no work of the team is left.
    fn unbind(&mut self, team: &Team) {
        let Some(state) = self.state.teams.get(team) else {
            return;
        };
        let grid = &self.index.grid;
        let idle = |bind: &Bind| {
            let covers = grid.covers(bind);
            covers.iter().all(|&(slot, mask)| grid.at(slot).own & mask == 0)
        };
        let (gone, kept) = state.binds.iter().cloned().partition::<Vec<_>, _>(idle);
        if gone.is_empty() {
            return;
        }
        for bind in &gone {
            self.index.grid.unbind(bind);
        }
        self.state.teams.get_mut(team).expect("looked up above").binds = kept;
        self.index.epoch += 1;
    }

    /// Job with its active attempt `number`.
    fn active(&mut self, name: &Job, number: u32) -> Result<(Id, &mut Attempt)> {
        let id = self.id(name)?;
        let job = self.state.jobs.get_mut(&id).expect("id is of a job");
        match &mut job.phase {
            Phase::Active(attempt) if attempt.number == number => Ok((id, attempt)),
            _ => Err(Error::Attempt(name.clone(), number)),
        }
    }

    fn change(&mut self, name: &Job, number: u32, change: impl FnOnce(&mut Attempt)) -> Result<()> {
        let (id, attempt) = self.active(name, number)?;
        change(attempt);
        self.schedule(id);
        Ok(())
    }

    fn prepared(&mut self, name: &Job, number: u32, member: u32) -> Result<()> {
        self.change(name, number, |attempt| {
            if let Some(state) = attempt.members.get_mut(member as usize)
                && *state == Member::Granted
            {
                *state = Member::Prepared;
            }
        })
    }

    fn checkpoint(&mut self, name: &Job, number: u32, at: Time) -> Result<()> {
        let (id, attempt) = self.active(name, number)?;
        let Some(started) = attempt.started else {
            return Ok(());
        };
        let since = attempt.checkpointed.unwrap_or(started);
        attempt.checkpointed = Some(at);
        self.state.jobs.get_mut(&id).expect("id is of a job").saved += at.since(since);
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
        let (id, _) = self.active(name, number)?;
        self.drop_member(id, member as usize, outcome, at);
        self.schedule(id);
        Ok(())
    }

    /// Takes a member off its worker and keeps the evidence of how it stopped.
    fn drop_member(&mut self, id: Id, member: usize, outcome: MemberOutcome, at: Time) {
        let job = self.state.jobs.get_mut(&id).expect("id is of a job");
        let Phase::Active(attempt) = &mut job.phase else {
            return;
        };
        if !attempt.members.get(member).is_some_and(|m| m.holds()) {
            return;
        }
        let mut attempt = attempt.clone();
        self.index.grid.vacate(job, &attempt, member);
        attempt.members[member] = Member::Stopped(outcome);
        let held = attempt.cells[member].clone();
        let team = job.spec.team.clone();
        let ledger = self.index.ledger.entry(team.clone()).or_default();
        ledger.sub(&held, &job.spec.need, attempt.borrowed);
        if outcome == MemberOutcome::Failed {
            job.failed.insert(held.instance.clone());
            job.failures += 1;
        }
        let borrowed = attempt.borrowed;
        job.phase = Phase::Active(attempt);
        if let Some(worker) = self.state.workers.get_mut(&held.instance) {
            match outcome {
                MemberOutcome::Failed => _ = worker.failures.insert(id, at),
                MemberOutcome::Done => worker.failures.clear(),
                MemberOutcome::Stopped | MemberOutcome::Lost => {}
            }
        }
        self.suspect(&held.instance);
        if !borrowed {
            self.unbind(&team);
        }
        self.index.epoch += 1;
    }

    fn expire(&mut self, name: &Job, number: u32, at: Time) -> Result<()> {
        let (id, attempt) = self.active(name, number)?;
        let members = attempt.members.len();
        for member in 0..members {
            self.drop_member(id, member, MemberOutcome::Lost, at);
        }
        self.schedule(id);
        Ok(())
    }

    /// Counts what the last attempt leaves behind, with the members still held taken off.
    fn close(&mut self, id: Id, at: Time) {
        let members = match &self.state.jobs[&id].phase {
            Phase::Active(attempt) => attempt.members.len(),
            _ => 0,
        };
        for member in 0..members {
            self.drop_member(id, member, MemberOutcome::Lost, at);
        }
        self.release(id);
        let job = self.state.jobs.get_mut(&id).expect("id is of a job");
        let Phase::Active(attempt) = &job.phase else {
            return;
        };
        let Some(started) = attempt.started else {
            return;
        };
        let end = attempt.stop.map_or(at, |stop| stop.at);
        job.lost += end.since(attempt.checkpointed.unwrap_or(started));
        match attempt.stop.map(|stop| stop.reason) {
            Some(StopReason::Reclaim | StopReason::Reservation) => job.preemptions += 1,
            Some(StopReason::Move) => job.moves += 1,
            _ => {}
        }
    }

    fn requeue(&mut self, name: &Job, after: Time, at: Time) -> Result<()> {
        let id = self.id(name)?;
        self.close(id, at);
        let job = self.state.jobs.get_mut(&id).expect("id is of a job");
        let overuse = |a: &Attempt| a.stop.is_some_and(|s| s.reason == StopReason::Overuse);
        if job.attempt().is_some_and(overuse) {
            job.spec = job.grown();
        }
        job.phase = Phase::Waiting { after };
        self.schedule(id);
        Ok(())
    }

    fn end(&mut self, name: &Job, outcome: JobOutcome, at: Time) -> Result<()> {
        let id = self.id(name)?;
        if outcome == JobOutcome::Done {
            self.learn(id, at);
        }
        self.close(id, at);
        let job = self.state.jobs.get_mut(&id).expect("id is of a job");
        job.phase = Phase::Ended { outcome, at };
        self.schedule(id);
        Ok(())
    }

    /// Remembers the whole run time of a job that is done.
    fn learn(&mut self, id: Id, at: Time) {
        let job = &self.state.jobs[&id];
        let Some(started) = job.attempt().and_then(|a| a.started) else {
            return;
        };
        let since = job.attempt().and_then(|a| a.checkpointed).unwrap_or(started);
        let span = job.saved + at.since(since);
        for team in [Some(job.spec.team.clone()), None] {
            let key = (team, job.spec.service.clone(), job.spec.kind.clone());
            self.state.estimates.entry(key).or_default().push(span);
        }
    }

    /// Ends a job that holds nothing; marks an active one for its stop.
    fn cancel(&mut self, name: &Job, at: Time) {
        let Ok(id) = self.id(name) else {
            return;
        };
        match &mut self.state.jobs.get_mut(&id).expect("id is of a job").phase {
            Phase::Active(attempt) => {
                let by = attempt.stop.map_or(Time::MAX, |stop| stop.by);
                attempt.stop = Some(Stop { reason: StopReason::Cancelled, at, by });
            }
            Phase::Waiting { .. } | Phase::Reserved { .. } => {
                self.release(id);
                let job = self.state.jobs.get_mut(&id).expect("id is of a job");
                job.phase = Phase::Ended { outcome: JobOutcome::Cancelled, at };
            }
            Phase::Ended { .. } => {}
        }
        self.schedule(id);
    }

    fn usage(&mut self, name: &Job, number: u32, member: u32, usage: Usage) -> Result<()> {
        let (id, attempt) = self.active(name, number)?;
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
        let after = attempt.clone();
        let job = &self.state.jobs[&id];
        self.index.grid.vacate(job, &before, member);
        self.index.grid.occupy(job, &after, member);
        self.index.epoch += 1;
        self.schedule(id);
        Ok(())
    }

    fn forget(&mut self, name: &Job) {
        let Ok(id) = self.id(name) else {
            return;
        };
        if let Phase::Ended { at, .. } = self.state.jobs[&id].phase {
            self.index.ended.remove(&(at, id));
            self.index.marks.remove(&id);
            self.index.names.remove(name);
            self.state.jobs.remove(&id);
        }
    }
}

fn attempt_of(number: u32, cells: &[Cell], lease: Duration, borrowed: bool, at: Time) -> Attempt {
    Attempt {
        number,
        cells: cells.to_vec(),
        members: vec![Member::Granted; cells.len()],
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
