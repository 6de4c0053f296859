//! The leader: its answers to polls, its plans, and records that are proposed and applied at
//! different moments. It follows `bronzespoold::control::batch`, which does I/O.

use {
    crate::{
        fault::InjectedFault,
        fixture::{
            ELSEWHERE, FIRST_PROCESS, HOME, HOME_CENTER, config, elsewhere_spec, incarnation, job,
            run, spec,
        },
        scope::Scope,
        state::digest_of,
    },
    bronzespool_batch::{
        Event, JobId, Ledger, Record, RunId, WorkerIncarnation,
        agent::lease_duration_max,
        contact::AGENT_TIMEOUT,
        exchange::{poll_events, poll_orders},
        grant::Grants,
        ledger::{Assignment, RunEnd, RunOutcome, Task},
        message::{Orders, Poll, PollId},
        withdrawal::Withdrawals,
    },
    bronzespool_core::Time,
    std::{rc::Rc, sync::Arc, time::Duration},
};

/// A record on its way into the log.
#[derive(Clone, Debug)]
struct Proposal {
    id: u64,
    events: Vec<Event>,
}

/// A poll that waits for its answer.
#[derive(Clone, Debug)]
struct WaitingPoll {
    sent: Time,
    poll: Box<Poll>,
    /// Proposal of what the poll reported, if there was something new.
    proposal: Option<u64>,
}

/// The latest poll of the agent.
#[derive(Clone, Debug)]
struct Contact {
    heard_at: Time,
    poll: PollId,
    worker: Option<WorkerIncarnation>,
}

/// Answer to a poll.
pub(crate) struct Answer {
    pub(crate) sent: Time,
    pub(crate) poll: Box<Poll>,
    pub(crate) orders: Orders,
}

/// The leader with the replicated log. A later leader takes over the ledger.
#[derive(Clone, Debug)]
pub(crate) struct Leader {
    injected: InjectedFault,
    /// Time for which it lets the agent extend leases.
    lease: Duration,
    pub(crate) ledger: Rc<Ledger>,
    /// Digest of the ledger, with its count of changes.
    ledger_digest: Option<(u64, u64)>,
    epoch: u64,
    leading_since: Time,
    grants: Grants,
    withdrawals: Withdrawals,
    contact: Option<Contact>,
    proposals: Vec<Proposal>,
    last_proposal: u64,
    waiting: Vec<WaitingPoll>,
    /// Proposal of the latest plan, while the plan waits for it.
    plan: Option<u64>,
}

impl Leader {
    /// Returns a leader that has assigned the first run of the first job to the worker.
    pub(crate) fn new(injected: InjectedFault, now: Time, scope: &Scope) -> Self {
        let mut leader = Self {
            injected,
            lease: scope.lease,
            ledger: Rc::default(),
            ledger_digest: None,
            epoch: 1,
            leading_since: now,
            grants: Grants::new(scope.lease),
            withdrawals: Withdrawals::default(),
            contact: None,
            proposals: Vec::new(),
            last_proposal: 0,
            waiting: Vec::new(),
            plan: None,
        };
        let home = incarnation(HOME, 1);
        leader.apply(now, Event::Configured(Arc::new(config())));
        leader.apply(now, Event::WorkerUp(Box::new(spec(&home))));
        leader.apply(now, Event::WorkerUp(Box::new(elsewhere_spec())));
        for id in 1..=scope.jobs {
            leader.apply(now, Event::Submitted(Arc::new(job(id))));
        }
        leader.apply(now, Event::Started(vec![assignment(run(1, 1), home.clone())]));
        // The agent's process has been in contact for long enough that its reports count.
        leader.grants.record(now - AGENT_TIMEOUT, &home, PollId::new(FIRST_PROCESS, 0));
        leader.grants.record(now - AGENT_TIMEOUT / 2, &home, PollId::new(FIRST_PROCESS, 0));
        leader
    }

    fn apply(&mut self, now: Time, event: Event) {
        Rc::make_mut(&mut self.ledger).apply(&Record { at: now, events: vec![event] });
    }

    fn propose(&mut self, events: Vec<Event>) -> u64 {
        self.last_proposal += 1;
        self.withdrawals.begin(&events);
        self.proposals.push(Proposal { id: self.last_proposal, events });
        self.last_proposal
    }

    /// Returns a digest by which equal leaders are recognized.
    pub(crate) fn digest(&mut self) -> u64 {
        let changes = self.ledger.change_count();
        let known = self.ledger_digest.filter(|(count, _)| *count == changes);
        let (_, ledger) = known.unwrap_or_else(|| (changes, digest_of(&self.ledger)));
        self.ledger_digest = Some((changes, ledger));
        let granted = (&self.grants, &self.withdrawals);
        let own = (self.epoch, self.leading_since, granted, &self.contact);
        let pending = (&self.proposals, self.last_proposal, &self.waiting, self.plan);
        digest_of(&(ledger, own, pending))
    }

    /// Whether records are on their way.
    pub(crate) const fn has_proposals(&self) -> bool {
        !self.proposals.is_empty()
    }

    fn is_pending(&self, id: u64) -> bool {
        self.proposals.iter().any(|p| p.id == id)
    }

    /// Applies the oldest record that is on its way. Returns false if there is none.
    pub(crate) fn commit(&mut self, now: Time) -> bool {
        if self.proposals.is_empty() {
            return false;
        }
        let Proposal { id, events } = self.proposals.remove(0);
        self.withdrawals.end(&events);
        Rc::make_mut(&mut self.ledger).apply(&Record { at: now, events });
        self.plan.take_if(|p| *p == id);
        true
    }

    /// Takes a poll, which waits for its answer from now on.
    pub(crate) fn receive_poll(&mut self, now: Time, sent: Time, poll: Box<Poll>) {
        let late = self.contact.as_ref().is_some_and(|c| c.poll.follows(poll.id));
        if late {
            return self.waiting.push(WaitingPoll { sent, poll, proposal: None });
        }
        let worker = poll.worker.as_ref().map(|w| w.incarnation.clone());
        self.contact = Some(Contact { heard_at: now, poll: poll.id, worker });
        let events = poll_events(now, &self.ledger, &self.grants, &poll);
        let proposal = (!events.is_empty()).then(|| self.propose(events));
        self.waiting.push(WaitingPoll { sent, poll, proposal });
    }

    /// Returns the numbers of the waiting polls that can be answered.
    pub(crate) fn answerable(&self) -> impl Iterator<Item = usize> {
        let ready = |w: &WaitingPoll| w.proposal.is_none_or(|id| !self.is_pending(id));
        self.waiting.iter().enumerate().filter(move |(_, w)| ready(w)).map(|(i, _)| i)
    }

    /// Returns the numbers of the waiting polls whose proposal is on its way.
    pub(crate) fn unanswerable(&self) -> impl Iterator<Item = usize> {
        let pending = |w: &WaitingPoll| w.proposal.is_some_and(|id| self.is_pending(id));
        self.waiting.iter().enumerate().filter(move |(_, w)| pending(w)).map(|(i, _)| i)
    }

    /// Returns the number of a waiting poll that has reported nothing new.
    pub(crate) fn idle_poll(&self) -> Option<usize> {
        self.waiting.iter().position(|w| w.proposal.is_none())
    }

    /// Returns the number of the waiting poll that arrived last.
    pub(crate) const fn last_poll(&self) -> Option<usize> {
        self.waiting.len().checked_sub(1)
    }

    /// Answers a waiting poll.
    pub(crate) fn answer(&mut self, now: Time, i: usize) -> Option<Answer> {
        if !self.answerable().any(|a| a == i) {
            return None;
        }
        let WaitingPoll { sent, poll, .. } = self.waiting.remove(i);
        let mut orders =
            poll_orders(&self.ledger, &self.withdrawals, &poll, self.epoch, self.lease);
        if let Some(incarnation) = &orders.incarnation {
            self.grants.record(now, incarnation, poll.id);
            self.contact.iter_mut().for_each(|c| c.heard_at = now);
        }
        if self.injected == InjectedFault::EarlyCursor {
            orders.cursor += 1;
        }
        Some(Answer { sent, poll, orders })
    }

    /// Ends the wait of a poll for its proposal, which may still be applied.
    pub(crate) fn fail_poll(&mut self, i: usize) -> bool {
        let fails = self.unanswerable().any(|u| u == i);
        if fails {
            self.waiting.remove(i);
        }
        fails
    }

    /// Ends the wait of a plan for its proposal, which may still be applied.
    pub(crate) fn fail_plan(&mut self) -> bool {
        self.plan.take().is_some()
    }

    /// Whether a plan waits for its proposal.
    pub(crate) const fn is_planning(&self) -> bool {
        self.plan.is_some()
    }

    /// Proposes what a plan decides: workers whose leases have ended are gone, and free tasks start
    /// on the worker or elsewhere. Returns false if there is nothing to decide, or if the latest
    /// plan still waits.
    pub(crate) fn plan(&mut self, now: Time, elsewhere: bool) -> bool {
        if self.plan.is_some() {
            return false;
        }
        let mut events = self.gone_workers(now);
        events.extend(self.starts(now, elsewhere));
        if events.is_empty() {
            return false;
        }
        self.plan = Some(self.propose(events));
        true
    }

    /// Proposes that workers whose leases have ended are gone.
    pub(crate) fn record_gone(&mut self, now: Time) {
        let events = self.gone_workers(now);
        if !events.is_empty() {
            self.propose(events);
        }
    }

    fn gone_workers(&mut self, now: Time) -> Vec<Event> {
        let incarnations = self.ledger.workers().map(|w| w.spec.incarnation.clone());
        let home = incarnations.filter(|i| &*i.worker != ELSEWHERE);
        let gone: Vec<_> = home.filter(|i| self.leases_ended(now, i)).collect();
        gone.iter().for_each(|i| self.grants.forget(i));
        gone.into_iter().map(Event::WorkerGone).collect()
    }

    fn leases_ended(&self, now: Time, incarnation: &WorkerIncarnation) -> bool {
        let last = self.grants.last_at(incarnation).unwrap_or(self.leading_since);
        let lease_duration = match self.injected {
            InjectedFault::ShortLease => Duration::from_millis(400),
            _ => lease_duration_max(self.lease),
        };
        now.since(last.max(self.leading_since)) > lease_duration
    }

    fn starts(&self, now: Time, elsewhere: bool) -> Vec<Event> {
        let placement = match elsewhere {
            true => Some(incarnation(ELSEWHERE, 1)),
            false => self.schedulable_home(now),
        };
        let Some(placement) = placement else { return Vec::new() };
        let room = self.ledger.worker(&placement).map_or(0, |w| w.free().gpu);
        let free = self.free_tasks().take(room as usize);
        free.map(|r| Event::Started(vec![assignment(r, placement.clone())])).collect()
    }

    /// Returns the worker if it may be assigned tasks, because its agent is in contact.
    fn schedulable_home(&self, now: Time) -> Option<WorkerIncarnation> {
        let current = |c: &&Contact| now.since(c.heard_at) < AGENT_TIMEOUT;
        let incarnation = self.contact.as_ref().filter(current)?.worker.as_ref()?;
        let worker = self.ledger.worker(incarnation)?;
        (!worker.spec.leaving).then(|| worker.spec.incarnation.clone())
    }

    /// Returns the next run of each task that no worker holds.
    fn free_tasks(&self) -> impl Iterator<Item = RunId> {
        let active = self.ledger.jobs().filter(|j| j.phase.is_active());
        active.filter_map(|j| {
            let JobId(id) = j.spec.id;
            let last_run = self.task(id).map_or(0, |t| t.last_run);
            (last_run == 0 || self.is_free(id)).then(|| run(id, last_run + 1))
        })
    }

    /// Whether the task of a job has run and no worker holds it now. One that never ran is free as
    /// well, but nothing can break by that.
    pub(crate) fn is_free(&self, job: u64) -> bool {
        self.task(job).is_some_and(|t| !t.done && t.active_runs.is_empty())
    }

    /// Whether the task of a job is recorded as done.
    pub(crate) fn is_done(&self, job: u64) -> bool {
        self.task(job).is_some_and(|t| t.done)
    }

    fn task(&self, job: u64) -> Option<&Task> {
        self.ledger.job(JobId(job))?.task(run(job, 1).task)
    }

    /// Proposes that the data centre of the worker is drained, or that its drain is revoked.
    pub(crate) fn toggle_center(&mut self) {
        let (center, state) = (HOME_CENTER.into(), self.ledger.drains().state(HOME_CENTER));
        let base = state.revision;
        self.propose(vec![match state.drained {
            true => Event::CenterRestored { center, base },
            false => Event::CenterDrained { center, base },
        }]);
    }

    /// Whether the data centre of the worker is drained.
    pub(crate) fn is_home_drained(&self) -> bool {
        self.ledger.drains().is_drained(HOME_CENTER)
    }

    /// Proposes that a job is cancelled.
    pub(crate) fn cancel(&mut self, job: u64) {
        let mut events = vec![Event::Cancelled(JobId(job))];
        if self.injected == InjectedFault::EarlyRelease {
            let runs = self.ledger.workers().flat_map(|w| {
                let incarnation = w.spec.incarnation.clone();
                w.runs.keys().map(move |run| (incarnation.clone(), *run))
            });
            let cancelled = runs.filter(|(_, r)| r.task.step.job == JobId(job));
            let refused = |(incarnation, run)| Event::Refused { incarnation, run };
            events.extend(cancelled.map(refused));
        }
        self.propose(events);
    }

    /// Returns the runs of the ideal worker.
    pub(crate) fn runs_elsewhere(&self) -> impl Iterator<Item = RunId> {
        let worker = self.ledger.worker(&incarnation(ELSEWHERE, 1));
        worker.into_iter().flat_map(|w| w.runs.keys().copied())
    }

    /// Proposes that a run on the ideal worker is done.
    pub(crate) fn finish_elsewhere(&mut self, run: RunId) {
        let incarnation = incarnation(ELSEWHERE, 1);
        let number = self.ledger.worker(&incarnation).map_or(0, |w| w.cursor) + 1;
        let end = RunEnd { number, run, outcome: RunOutcome::Done, checkpoint: "".into() };
        self.propose(vec![Event::Ended { incarnation, ends: vec![end] }]);
    }

    /// Puts another leader in place, which has applied its log. The records that are on their way
    /// are in this log, or are lost.
    pub(crate) fn replace(&mut self, now: Time, lost: bool) {
        if lost {
            self.proposals.clear();
        }
        if self.injected != InjectedFault::UnappliedLog {
            while self.commit(now) {}
        }
        self.epoch += 1;
        self.leading_since = now;
        self.grants = Grants::new(self.lease);
        self.withdrawals.clear();
        self.contact = None;
        self.waiting.clear();
        self.plan = None;
    }
}

fn assignment(run: RunId, incarnation: WorkerIncarnation) -> Assignment {
    Assignment { run, incarnation, checkpoint: "".into(), permit: None }
}
