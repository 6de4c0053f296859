//! State of the modelled system, and how each move changes it.

use {
    crate::{
        fault::{FaultKind, InjectedFault},
        fixture::{FIRST_PROCESS, HOME, agent_name, incarnation, spec},
        leader::{Answer, Leader},
        message::{Body, Kind, Message},
        moves::Move,
        scope::Scope,
        worker::Worker,
    },
    bronzespool_batch::{
        JobId, RunId, WorkerIncarnation,
        agent::Reconciler,
        ledger::{RunOutcome, WorkerSpec},
    },
    bronzespool_core::Time,
    std::{
        fmt,
        hash::{DefaultHasher, Hash, Hasher},
        time::Duration,
    },
};

/// Time after which the agent does not wait for the worker's answer any more.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// Time after which the agent does not wait for the answer to a poll any more.
const POLL_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time that passes between two polls at least, so that the agent can tell their order.
const POLL_SPACING: Duration = Duration::from_millis(1);
/// Age up to which a call may be carried out.
const CALL_AGE_MAX: Duration = Duration::from_secs(6);

/// State of the system.
#[derive(Clone, Debug)]
pub(crate) struct ModelState {
    pub(crate) scope: Scope,
    pub(crate) injected: InjectedFault,
    pub(crate) now: Time,
    /// Number of changes so far of the runs on the worker and of the tasks that are free.
    pub(crate) step: u32,
    pub(crate) leader: Leader,
    pub(crate) reconciler: Reconciler,
    /// Number of the agent's process.
    process: u32,
    /// Number of polls that the agent's processes have sent.
    polls_sent: u32,
    /// Number of the worker's latest check-in.
    seq: u64,
    pub(crate) worker: Worker,
    pub(crate) messages: Vec<Message>,
    pub(crate) faults: u8,
    /// Whether the worker's answers and check-ins do not reach the agent.
    pub(crate) cut: bool,
    /// Whether the agent's process stands still.
    pub(crate) frozen: bool,
    /// Whether the worker accepts no new tasks any more.
    draining: bool,
    /// Number of the latest change after which the leader considered the task of each job free.
    pub(crate) free_at: Vec<Option<u32>>,
    /// Ends as done that were acknowledged, each with its job and the number of the change that ended
    /// the run.
    pub(crate) acknowledged: Vec<(JobId, u32)>,
    /// Ends as done elsewhere that may not be recorded yet.
    finished_elsewhere: Vec<(JobId, u32)>,
    /// Starts on the worker, each with its job and the number of the change.
    pub(crate) started: Vec<(JobId, u32)>,
    /// Runs that an injected fault takes for refused.
    pub(crate) mistaken: Vec<RunId>,
    /// Lists, and polls, that the agent has sent since time last passed.
    lists: u8,
    polls: u8,
}

impl ModelState {
    /// Returns the state after the worker has checked in.
    pub(crate) fn new(scope: Scope, injected: InjectedFault) -> Self {
        let now = Time::from_secs(100);
        let mut state = Self {
            scope,
            injected,
            now,
            step: 0,
            leader: Leader::new(injected, now, &scope),
            reconciler: Reconciler::new(agent_name(), FIRST_PROCESS, scope.limits, now),
            process: FIRST_PROCESS,
            polls_sent: 0,
            seq: 0,
            worker: Worker::new(incarnation(HOME, 1), now, scope.limits.lease_max),
            messages: Vec::new(),
            faults: 0,
            cut: false,
            frozen: false,
            draining: false,
            free_at: vec![None; scope.jobs as usize],
            acknowledged: Vec::new(),
            finished_elsewhere: Vec::new(),
            started: Vec::new(),
            mistaken: Vec::new(),
            lists: 0,
            polls: 0,
        };
        state.check_in();
        state
    }

    /// Whether the agent may request the worker's list before time passes.
    pub(crate) const fn may_list(&self) -> bool {
        self.lists < self.scope.rounds && !self.frozen
    }

    /// Whether the agent may poll before time passes.
    pub(crate) const fn may_poll(&self) -> bool {
        self.polls < self.scope.rounds && !self.frozen
    }

    /// Lets the agent list and poll again before time passes.
    pub(crate) const fn reset_rounds(&mut self) {
        (self.lists, self.polls) = (0, 0);
    }

    /// Returns the places of the messages of a kind.
    pub(crate) fn places(&self, kind: Kind) -> std::ops::Range<usize> {
        0..self.messages.iter().filter(|m| m.kind() == kind).count()
    }

    /// Whether a message may arrive next. A poll waits for older ones of the same process, unless
    /// polls may overtake each other.
    pub(crate) fn is_deliverable(&self, kind: Kind, place: usize) -> bool {
        if self.cut && kind.is_from_worker() || self.frozen && kind.is_for_agent() {
            return false;
        }
        let in_order = self.scope.plans && !self.scope.has(FaultKind::Poll);
        let process = self.poll_processes().nth(place).filter(|_| kind == Kind::Poll);
        let Some(process) = process else { return true };
        !in_order || !self.poll_processes().take(place).any(|p| p == process)
    }

    /// Whether a message is a call that is likely to be late: its sender does not wait any more.
    pub(crate) fn lingers(&self, kind: Kind, place: usize) -> bool {
        let message = self.messages.iter().filter(|m| m.kind() == kind).nth(place);
        self.scope.late_calls && kind.is_call() && message.is_some_and(|m| !m.awaited)
    }

    /// Returns the process that sent each of the polls in flight.
    fn poll_processes(&self) -> impl Iterator<Item = u32> {
        self.messages.iter().filter_map(|m| match &m.body {
            Body::Poll(poll) => Some(poll.id.process()),
            _ => None,
        })
    }

    fn index(&self, kind: Kind, place: usize) -> Option<usize> {
        let of_kind = self.messages.iter().enumerate().filter(|(_, m)| m.kind() == kind);
        of_kind.map(|(i, _)| i).nth(place)
    }

    fn take(&mut self, kind: Kind, place: usize) -> Option<Message> {
        self.index(kind, place).map(|i| self.messages.remove(i))
    }

    /// Makes a move. Returns false, with nothing changed, if the state does not allow it.
    pub(crate) fn apply_move(&mut self, next: Move) -> bool {
        let before = self.occupancy();
        let applied = self.try_move(next).is_some();
        if applied {
            self.faults += u8::from(next.fault().is_some());
            if !self.scope.records_wait {
                self.apply_records();
            }
            self.observe();
            self.step += u32::from(self.occupancy() != before);
        }
        applied
    }

    /// Returns the runs on the worker, and whether the task of each job is free.
    fn occupancy(&self) -> (Vec<RunId>, Vec<bool>) {
        let free = (1..=self.scope.jobs).map(|job| self.leader.is_free(job));
        (self.worker.runs.clone(), free.collect())
    }

    fn try_move(&mut self, next: Move) -> Option<()> {
        match next {
            Move::Tick => self.tick(),
            Move::Poll => self.poll()?,
            Move::PollNow => self.poll_now()?,
            Move::List => self.list()?,
            Move::ListNow => self.list_now()?,
            Move::Deliver(kind, i) => {
                self.is_deliverable(kind, i).then_some(())?;
                let message = self.take(kind, i)?;
                self.deliver(message);
            }
            Move::Commit => self.leader.commit(self.now).then_some(())?,
            Move::Answer(i) => self.answer(i)?,
            Move::PlanHome => self.leader.plan(self.now, false).then_some(())?,
            Move::PlanElsewhere => self.leader.plan(self.now, true).then_some(())?,
            Move::Finish(i) => {
                let run = *self.worker.runs.get(i)?;
                self.worker.end(self.step, run, RunOutcome::Done);
            }
            Move::FinishElsewhere(i) => {
                let run = self.leader.runs_elsewhere().nth(i)?;
                self.leader.finish_elsewhere(run);
                self.finished_elsewhere.push((run.task.step.job, self.step));
            }
            Move::Heal => std::mem::take(&mut self.cut).then_some(())?,
            Move::Thaw => std::mem::take(&mut self.frozen).then_some(())?,
            _ => self.try_fault(next)?,
        }
        Some(())
    }

    fn try_fault(&mut self, fault: Move) -> Option<()> {
        match fault {
            Move::Lose(kind, i) => {
                let message = self.take(kind, i)?;
                self.unanswered(&message);
            }
            Move::GiveUp(kind, i) => {
                let i = self.index(kind, i).filter(|i| self.messages[*i].awaited)?;
                self.give_up(i);
            }
            Move::Duplicate(kind, i) => {
                let copy = self.messages[self.index(kind, i)?].clone();
                self.messages.push(Message { awaited: false, ..copy });
            }
            Move::Refuse(kind, i) => {
                let message = self.take(kind, i)?;
                self.refuse(message);
            }
            Move::FailPoll(i) => self.leader.fail_poll(i).then_some(())?,
            Move::FailPlan => self.leader.fail_plan().then_some(())?,
            Move::NewLeader => self.leader.replace(self.now, false),
            Move::NewLeaderWithoutRecords => self.leader.replace(self.now, true),
            Move::NewAgent => self.replace_agent(),
            Move::NewWorker => {
                let started_at = self.worker.incarnation.started_at + 1;
                self.replace_worker(incarnation(&format!("{HOME}-{started_at}"), started_at));
                self.check_in();
            }
            Move::NewOlderWorker => {
                let started_at = self.worker.incarnation.started_at.checked_sub(1)?;
                self.replace_worker(incarnation(&format!("{HOME}-back-{started_at}"), started_at));
                self.check_in();
            }
            Move::RestartWorker => {
                let WorkerIncarnation { worker, started_at } = self.worker.incarnation.clone();
                self.replace_worker(WorkerIncarnation { worker, started_at: started_at + 1 });
            }
            Move::Cut => self.cut = true,
            Move::Drain => self.draining = true,
            Move::ToggleCenter => self.leader.toggle_center(),
            Move::Freeze => self.frozen = true,
            Move::Cancel(job) => self.leader.cancel(job),
            _ => return None,
        }
        Some(())
    }

    fn check_in(&mut self) {
        self.seq += 1;
        let spec = WorkerSpec { leaving: self.draining, ..spec(&self.worker.incarnation) };
        if self.cut || self.frozen {
            let body = Body::CheckIn(Box::new(spec), self.seq);
            return self.messages.push(Message::new(self.now, body));
        }
        self.reconciler.check_in(self.now, spec, self.seq);
    }

    fn replace_worker(&mut self, incarnation: WorkerIncarnation) {
        self.worker = Worker::new(incarnation, self.now, self.scope.limits.lease_max);
        self.seq = 0;
        self.draining = false;
    }

    /// Answers to a process that has ended reach nobody; its calls are still on their way.
    fn replace_agent(&mut self) {
        self.process += 1;
        self.frozen = false;
        self.reconciler = Reconciler::new(agent_name(), self.process, self.scope.limits, self.now);
        let is_answer =
            |m: &Message| matches!(m.kind(), Kind::Orders | Kind::Answer | Kind::Listing);
        self.messages.retain(|m| !is_answer(m));
        self.messages.iter_mut().for_each(|m| m.awaited = m.kind() == Kind::CheckIn);
        if !self.scope.plans {
            self.check_in();
        }
    }

    fn tick(&mut self) {
        while let Some(i) = self.leader.idle_poll() {
            self.answer(i);
        }
        self.now += self.scope.tick;
        self.reset_rounds();
        self.worker.expire_lease(self.now, self.step);
        self.check_in();
        if !self.frozen {
            if self.scope.plans {
                self.time_out();
            }
            self.reconciler.expire(self.now);
        }
        if !self.scope.plans {
            self.leader.record_gone(self.now);
        }
    }

    /// Ends waits that have become too long, and removes messages that cannot arrive any more.
    fn time_out(&mut self) {
        let now = self.now;
        let late = |m: &Message| m.awaited && now.since(m.sent) > CALL_TIMEOUT;
        while let Some(i) = self.messages.iter().position(|m| late(m) && m.kind().is_call()) {
            self.give_up(i);
        }
        let answer = |m: &Message| matches!(m.kind(), Kind::Answer | Kind::Listing);
        while let Some(i) = self.messages.iter().position(|m| late(m) && answer(m)) {
            let message = self.messages.remove(i);
            self.unanswered(&message);
        }
        let late_polls = self.scope.has(FaultKind::Poll);
        self.messages.retain(|m| match m.kind() {
            Kind::Orders => now.since(m.sent) <= POLL_TIMEOUT,
            Kind::Poll => late_polls || now.since(m.sent) <= POLL_TIMEOUT,
            _ => now.since(m.sent) <= CALL_AGE_MAX,
        });
    }

    fn poll(&mut self) -> Option<()> {
        self.may_poll().then_some(())?;
        self.polls += 1;
        if self.scope.plans {
            self.now += POLL_SPACING;
        }
        self.polls_sent += 1;
        let mut poll = self.reconciler.poll(self.now, self.polls_sent);
        if poll.worker.is_some() {
            poll.refused.extend(&self.mistaken);
        }
        if self.injected == InjectedFault::SilentRefusal {
            poll.refused.clear();
        }
        self.messages.push(Message::new(self.now, Body::Poll(Box::new(poll))));
        Some(())
    }

    fn poll_now(&mut self) -> Option<()> {
        self.poll()?;
        let place = self.places(Kind::Poll).end - 1;
        if !self.is_deliverable(Kind::Poll, place) {
            return Some(());
        }
        let message = self.messages.pop()?;
        self.deliver(message);
        let last = self.leader.last_poll()?;
        if self.answer(last).is_some() {
            let orders = self.messages.pop()?;
            self.deliver(orders);
        }
        Some(())
    }

    fn answer(&mut self, i: usize) -> Option<()> {
        let Answer { sent, poll, orders } = self.leader.answer(self.now, i)?;
        // A process that has ended gets no answer.
        if poll.id.process() == self.process {
            let body = Body::Orders(poll, Box::new(orders));
            self.messages.push(Message::new(sent, body));
        }
        Some(())
    }

    /// Applies all records at once, and answers all polls.
    fn apply_records(&mut self) {
        while self.leader.commit(self.now) {}
        while self.answer(0).is_some() {}
    }

    fn list(&mut self) -> Option<()> {
        self.may_list().then_some(())?;
        self.lists += 1;
        let request = self.reconciler.list_request(self.now)?;
        self.messages.push(Message::new(self.now, Body::List(request)));
        Some(())
    }

    fn list_now(&mut self) -> Option<()> {
        self.list()?;
        let request = self.messages.pop()?;
        self.deliver(request);
        let answer = self.messages.pop()?;
        match self.cut {
            true => self.unanswered(&answer),
            false => self.deliver(answer),
        }
        Some(())
    }

    /// Delivers all messages, and lists, polls, commits and plans once.
    pub(crate) fn run_undisturbed(&mut self) {
        self.reset_rounds();
        self.apply_move(Move::ListNow);
        self.apply_move(Move::Poll);
        let elsewhere = self.draining || self.leader.is_home_drained();
        self.apply_move(if elsewhere { Move::PlanElsewhere } else { Move::PlanHome });
        while self.apply_oldest() {}
    }

    fn apply_oldest(&mut self) -> bool {
        let next = self.messages.first().map(|m| Move::Deliver(m.kind(), 0));
        next.is_some_and(|n| self.apply_move(n))
            || self.apply_move(Move::Commit)
            || self.apply_move(Move::Answer(0))
    }

    /// Returns a digest by which equal states are recognized.
    pub(crate) fn digest(&mut self) -> u64 {
        let observed = (&self.free_at, &self.acknowledged, &self.finished_elsewhere, &self.started);
        let agent = (&self.reconciler, self.process, self.seq, self.lists, self.polls);
        let conditions = (self.cut, self.frozen, self.draining);
        let rest = (self.now, self.step, self.faults, &self.worker, &self.messages, &self.mistaken);
        digest_of(&(self.leader.digest(), observed, agent, conditions, rest))
    }

    /// Notes what the invariants refer to.
    fn observe(&mut self) {
        let step = self.step;
        for (job, free_at) in (1..).zip(&mut self.free_at) {
            if self.leader.is_free(job) {
                *free_at = Some(step);
            }
        }
        let acknowledged = self.worker.acknowledged.drain(..);
        self.acknowledged.extend(acknowledged.map(|(task, at)| (task.step.job, at)));
        let leader = &self.leader;
        let recorded = self.finished_elsewhere.extract_if(.., |(JobId(j), _)| leader.is_done(*j));
        self.acknowledged.extend(recorded);
        let started = self.worker.started.drain(..);
        self.started.extend(started.map(|(run, at)| (run.task.step.job, at)));
    }
}

/// Returns a digest of everything that a value shows of itself.
pub(crate) fn digest_of(value: &impl fmt::Debug) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{value:?}").hash(&mut hasher);
    hasher.finish()
}
