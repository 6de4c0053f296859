//! Reconciliation of a worker with the leader's orders: the agent compares both and calls the
//! worker where they differ.
//!
//! A call without an answer may have been carried out, and may still be carried out seconds later.
//! A run in this state is reported as refused only after the worker has acknowledged a stop for it,
//! which prevents the run from starting at all. A refusal tells of one call: a run is refused by it
//! alone only if no other start of the run can be under way, from this process or an earlier one.

use {
    crate::{
        agent::{
            call::{
                Action, LastSeen, Limits, ListFailure, ListRequest, Listing, NotStarted,
                StartOutcome, StopOutcome,
            },
            crash_reports::CrashReports,
            fence::Fence,
            lease::{ClockReading, lease_duration_max},
            worker::{CallState, WorkerState},
        },
        crash::Crash,
        id::{RunId, WorkerIncarnation},
        ledger::{RunEnd, WorkerSpec},
        message::{Orders, Poll, PollId},
    },
    bronzespool_core::{Instance, Time},
    std::time::Duration,
};

/// Orders that are older than this start no task, because the leader may have decided otherwise
/// since.
const ORDERS_AGE_MAX: Duration = Duration::from_millis(900);

/// State of the agent of one worker.
#[derive(Clone, Debug)]
pub struct Reconciler {
    limits: Limits,
    agent: Instance,
    /// Random number that identifies this process.
    process: u32,
    started_at: Time,
    worker: Option<WorkerState>,
    gone: Vec<WorkerIncarnation>,
    crashes: CrashReports,
    /// Incarnations that were dropped because they were silent or had left.
    dropped: Vec<WorkerIncarnation>,
    orders: Option<ReceivedOrders>,
    /// When a worker was last dropped. Orders that answer an earlier poll do not know of this.
    dropped_at: Time,
    fence: Fence,
}

/// The latest orders, and when the poll that they answer was sent.
#[derive(Clone, Debug)]
struct ReceivedOrders {
    sent: Time,
    orders: Orders,
}

impl Reconciler {
    /// Creates the reconciler of an agent that knows no worker yet; `process` is a random number that
    /// identifies this start of the agent.
    pub fn new(agent: Instance, process: u32, limits: Limits, now: Time) -> Self {
        Self {
            limits,
            agent,
            process,
            started_at: now,
            worker: None,
            gone: Vec::new(),
            crashes: CrashReports::default(),
            dropped: Vec::new(),
            orders: None,
            dropped_at: Time::ZERO,
            fence: Fence::default(),
        }
    }

    /// Returns the request by which an incarnation that checks in shows that it is the process at the
    /// worker's address. It extends no lease and acknowledges nothing.
    ///
    /// Anyone can send a check-in. Only an answer from the worker's address is evidence that the former
    /// incarnation has ended.
    ///
    /// It is repeated until there is an answer. A token that the worker has rejected is left out, since
    /// each rejection voids the orders on the way that would tell the next one.
    pub fn identity_request(&self, incarnation: &WorkerIncarnation) -> ListRequest {
        let epoch = (!self.fence.is_rejected()).then(|| self.fence.current_token());
        let incarnation = incarnation.clone();
        ListRequest { epoch, cursor: 0, until: None, incarnation, serial: 0 }
    }

    /// Takes a check-in of the current incarnation, or of one that has answered its
    /// [identity request](Self::identity_request). Returns false for a check-in of an older
    /// incarnation, or an older one of the current incarnation.
    pub fn check_in(&mut self, now: Time, spec: WorkerSpec, seq: u64) -> bool {
        let Some(worker) = &mut self.worker else {
            self.fence.note_incarnation(&spec.incarnation);
            self.worker = Some(WorkerState::new(spec, seq, now));
            return true;
        };
        if worker.spec.incarnation == spec.incarnation {
            if seq <= worker.seq {
                return false;
            }
            let leaving = worker.spec.leaving || spec.leaving;
            worker.spec = WorkerSpec { leaving, ..spec };
            worker.seq = seq;
            worker.last_heartbeat = now;
            return true;
        }
        // If the clock was set back, a new incarnation may look older than one that is gone. A late
        // check-in of an earlier incarnation looks the same while the current one is cut off. Nor
        // does the start time of one that was dropped tell which of the two lives.
        let (old, crash) = (worker.spec.incarnation.clone(), worker.crash(now));
        let was_dropped = self.dropped.contains(&spec.incarnation);
        let is_younger = spec.incarnation.started_at > old.started_at && !was_dropped;
        if !is_younger && !self.is_gone(now) {
            return false;
        }
        if is_younger {
            self.crashes.add(crash);
        } else {
            self.note_dropped(old.clone());
        }
        // The leader ends the runs of the former incarnation under the same name itself, once the
        // younger one has acknowledged stops of them.
        if !is_younger || old.worker != spec.incarnation.worker {
            self.gone.push(old);
        }
        self.fence.note_incarnation(&spec.incarnation);
        self.worker = Some(WorkerState::new(spec, seq, now));
        true
    }

    /// Takes the message of a worker that it ends now, and when that incarnation started, if the
    /// message says so. Returns whether it may be the current one that ends.
    ///
    /// The message of a former incarnation may arrive late, and names the same worker. So it counts
    /// only until the worker's next answer, and not as an announcement that the worker leaves: that is
    /// for its check-ins to say.
    pub fn leave(&mut self, name: &str, started_at: Option<u64>) -> bool {
        let is_named = |i: &WorkerIncarnation| {
            &*i.worker == name && started_at.is_none_or(|s| s == i.started_at)
        };
        let worker = self.worker.as_mut().filter(|w| is_named(&w.spec.incarnation));
        worker.map(WorkerState::note_end).is_some()
    }

    /// Whether the worker was said to end and has not answered since, or another incarnation has
    /// answered in its place.
    pub fn has_departed(&self) -> bool {
        self.worker.as_ref().is_some_and(WorkerState::has_departed)
    }

    /// Whether the worker has reported that it accepts nothing new.
    pub fn is_leaving(&self) -> bool {
        self.worker.as_ref().is_some_and(|w| w.spec.leaving)
    }

    /// Returns the worker's current incarnation.
    pub fn incarnation(&self) -> Option<&WorkerIncarnation> {
        self.worker.as_ref().map(|w| &w.spec.incarnation)
    }

    /// Returns how the worker's current incarnation was last seen, and the number of runs that it may
    /// hold.
    pub fn last_seen(&self) -> Option<(LastSeen, usize)> {
        self.worker.as_ref().map(|w| (w.last_seen(), w.started.len()))
    }

    /// Returns the runs that are reported as not started from now on, and why, each once.
    pub fn take_not_started(&mut self) -> Vec<(RunId, NotStarted)> {
        self.worker.as_mut().map(WorkerState::take_settled).unwrap_or_default()
    }

    /// Returns a crash that the leader has to be told of, before it is told of the next incarnation.
    pub fn crash(&self) -> Option<&Crash> {
        self.crashes.next()
    }

    /// Notes that the leader has recorded the crash of an incarnation.
    pub fn crash_reported(&mut self, incarnation: &WorkerIncarnation) {
        self.crashes.reported(incarnation);
    }

    /// Notes that the leader could not be told of the crash of an incarnation. Returns whether it
    /// will be told again.
    pub fn crash_unreported(&mut self, incarnation: &WorkerIncarnation) -> bool {
        self.crashes.unreported(incarnation)
    }

    /// Returns the report for the leader. `position` counts the polls of this process.
    pub fn poll(&self, now: Time, position: u32) -> Poll {
        let worker = self.worker.as_ref().filter(|w| w.is_reportable(now, &self.limits));
        Poll {
            agent: self.agent.clone(),
            id: PollId::new(self.process, position),
            relay: None,
            worker: worker.map(|w| w.spec.clone()),
            gone: self.gone.clone(),
            running: worker.map(|w| w.running.clone()).unwrap_or_default(),
            ends: worker.map(|w| w.ends.clone()).unwrap_or_default(),
            refused: worker.map(|w| w.refused.iter().copied().collect()).unwrap_or_default(),
            in_flight: worker.map(|w| w.calls.keys().copied().collect()).unwrap_or_default(),
        }
    }

    /// Takes the leader's answer to a poll that was sent at `sent`.
    pub fn receive_orders(&mut self, sent: Time, poll: &Poll, orders: Orders) {
        let late =
            self.orders.as_ref().is_some_and(|r| r.orders.epoch == orders.epoch && sent < r.sent);
        if late || sent < self.dropped_at || !self.fence.admit(sent, orders.epoch) {
            return;
        }
        self.gone.retain(|i| !poll.gone.contains(i));
        let incarnation = self.worker.as_ref().map(|w| w.spec.incarnation.clone());
        if let Some(worker) = &mut self.worker
            && orders.incarnation == incarnation
        {
            worker.has_orders = true;
            worker.forget_ends(orders.cursor);
            worker.refused.retain(|r| !poll.refused.contains(r));
        }
        self.orders = Some(ReceivedOrders { sent, orders });
    }

    /// Returns the calls that the worker needs now.
    pub fn actions(&mut self, now: Time) -> Vec<Action> {
        let alone = self.former_calls_over(now);
        let Some(received) = &mut self.orders else { return Vec::new() };
        let Some(worker) = &mut self.worker else { return Vec::new() };
        if received.orders.incarnation.as_ref() != Some(&worker.spec.incarnation)
            || worker.has_departed()
        {
            return Vec::new();
        }
        let epoch = self.fence.token(received.orders.epoch);
        let incarnation = worker.spec.incarnation.clone();
        let mut actions = Vec::new();
        for run in std::mem::take(&mut received.orders.stops) {
            if worker.calls.contains_key(&run) {
                continue;
            }
            worker.calls.insert(run, CallState::StopInFlight);
            actions.push(Action::Stop { run, epoch, incarnation: incarnation.clone() });
        }
        let stale = now.since(received.sent) > ORDERS_AGE_MAX;
        let starts = std::mem::take(&mut received.orders.starts);
        if stale {
            return actions;
        }
        let span = Duration::from_millis(received.orders.lease);
        let leaving = worker.spec.leaving;
        // A call from before the worker was dropped may be answered after it came back.
        let came_back = self.dropped.contains(&worker.spec.incarnation);
        for start in starts {
            let run = start.run;
            if worker.calls.contains_key(&run) || worker.refused.contains(&run) || worker.lists(run)
            {
                continue;
            }
            if leaving && alone && worker.is_absent(run) {
                worker.settle_refused(run, NotStarted::Leaving);
                continue;
            }
            if leaving || worker.doubtful.contains(&run) {
                worker.calls.insert(run, CallState::StopInFlight);
                actions.push(Action::Stop { run, epoch, incarnation: incarnation.clone() });
                continue;
            }
            let Some(until) = worker.lease.extend(now, received.sent, span, self.limits.lease_max)
            else {
                continue;
            };
            let only = worker.note_start(run, until) && alone && !came_back;
            worker.calls.insert(run, CallState::StartInFlight { only });
            actions.push(Action::Start { start, until, epoch, incarnation: incarnation.clone() });
        }
        actions
    }

    /// Returns stops of what the worker runs although it has started again under its name and the
    /// leader has given no orders for this incarnation yet: late starts for the former one, whose
    /// runs the leader may give to others meanwhile.
    pub fn stray_stops(&mut self) -> Vec<Action> {
        let Some(worker) = &mut self.worker else { return Vec::new() };
        let incarnation = &worker.spec.incarnation;
        if worker.has_orders || worker.has_departed() || !self.fence.is_next(incarnation) {
            return Vec::new();
        }
        let epoch = self.fence.current_token();
        let is_open = |run: &RunId| !worker.calls.contains_key(run);
        let runs: Vec<RunId> = worker.running.iter().map(|s| s.run).filter(is_open).collect();
        worker.calls.extend(runs.iter().map(|run| (*run, CallState::StopInFlight)));
        let stop = |run| Action::Stop { run, epoch, incarnation: incarnation.clone() };
        runs.into_iter().map(stop).collect()
    }

    /// Returns the calls that adapt the pace of best-effort runs, by the worker's latest list.
    pub fn pace_actions(&mut self, now: Time) -> Vec<Action> {
        let Some(received) = &self.orders else { return Vec::new() };
        let Some(worker) = &mut self.worker else { return Vec::new() };
        if received.orders.classes.is_empty()
            || received.orders.incarnation.as_ref() != Some(&worker.spec.incarnation)
        {
            return Vec::new();
        }
        let classes = received.orders.classes.iter().copied().collect();
        let changes = worker.pacer.update(now, &worker.running, &classes);
        let epoch = self.fence.token(received.orders.epoch);
        let incarnation = &worker.spec.incarnation;
        let pace =
            |(run, percent)| Action::Pace { run, percent, epoch, incarnation: incarnation.clone() };
        changes.into_iter().map(pace).collect()
    }

    /// Takes the worker's answer to a change of pace.
    pub fn pace_answered(
        &mut self,
        now: Time,
        incarnation: &WorkerIncarnation,
        run: RunId,
        outcome: StopOutcome,
    ) {
        if let StopOutcome::Fenced(token) = outcome {
            self.fenced(now, Some(token));
        }
        if outcome != StopOutcome::Noted
            && let Some(worker) = self.current_worker(incarnation)
        {
            worker.pacer.mark_unacknowledged(run);
        }
    }

    /// Takes the worker's answer to a start.
    pub fn start_answered(
        &mut self,
        now: Time,
        incarnation: &WorkerIncarnation,
        run: RunId,
        outcome: StartOutcome,
    ) {
        if let StartOutcome::Fenced(token) = outcome {
            self.fenced(now, Some(token));
        }
        let Some(worker) = self.current_worker(incarnation) else { return };
        if !matches!(outcome, StartOutcome::Late | StartOutcome::Unknown) {
            worker.note_answer();
        }
        match outcome {
            StartOutcome::Present => {
                worker.note_running(now, run);
                worker.await_list(run);
            }
            StartOutcome::Old => worker.note_old(run),
            StartOutcome::Refused => worker.start_refused(run),
            StartOutcome::Late | StartOutcome::Fenced(_) => worker.start_void(run),
            StartOutcome::Unknown => worker.start_unanswered(run),
        }
    }

    /// Takes the worker's answer to a stop.
    pub fn stop_answered(
        &mut self,
        now: Time,
        incarnation: &WorkerIncarnation,
        run: RunId,
        outcome: StopOutcome,
    ) {
        if let StopOutcome::Fenced(token) = outcome {
            self.fenced(now, Some(token));
        }
        let Some(worker) = self.current_worker(incarnation) else { return };
        if outcome != StopOutcome::Unknown {
            worker.note_answer();
        }
        match outcome {
            StopOutcome::Noted => {
                worker.calls.insert(run, CallState::Stopping(worker.list_serial + 1, now));
            }
            StopOutcome::Fenced(_) | StopOutcome::Unknown => worker.stop_failed(now, run),
        }
    }

    /// Returns a request for the worker's list that extends its leases as far as the leader allows.
    pub fn list_request(&mut self, now: Time) -> Option<ListRequest> {
        let lease_max = self.limits.lease_max;
        let epoch = self.orders.as_ref().map(|r| self.fence.token(r.orders.epoch));
        let worker = self.worker.as_mut()?;
        worker.list_serial += 1;
        let incarnation = worker.spec.incarnation.clone();
        // The leader counts a lease only for the incarnation that its orders name. If another one has
        // answered since, the call reaches that one.
        let received = self.orders.as_ref().filter(|r| {
            self.fence.is_current(r.orders.epoch)
                && self.fence.is_latest(&incarnation)
                && r.orders.incarnation.as_ref() == Some(&incarnation)
        });
        let mut request =
            ListRequest { epoch, cursor: 0, until: None, incarnation, serial: worker.list_serial };
        if let Some(received) = received {
            // An acknowledgement that is repeated without need could reach the next incarnation, and
            // make it forget ends that nobody has seen.
            if received.orders.cursor > worker.acknowledged {
                request.cursor = received.orders.cursor;
            }
            if worker.answers || !worker.lease.is_read() {
                let span = Duration::from_millis(received.orders.lease);
                request.until = worker.lease.extend(now, received.sent, span, lease_max);
            }
        }
        Some(request)
    }

    /// Takes the worker's list. Returns whether there is something new for the leader.
    pub fn receive_listing(
        &mut self,
        now: Time,
        request: &ListRequest,
        mut listing: Listing,
    ) -> bool {
        let former_calls_over = self.former_calls_over(now);
        let Some(worker) = self.current_worker(&request.incarnation) else { return false };
        if let Some(started_at) =
            listing.started_at.filter(|s| *s != request.incarnation.started_at)
        {
            worker.replaced = true;
            let worker = request.incarnation.worker.clone();
            self.fence.note_incarnation(&WorkerIncarnation { worker, started_at });
            return false;
        }
        worker.answers = true;
        let is_back = worker.note_alive(request.serial);
        let is_first = !std::mem::replace(&mut worker.has_list, true);
        worker.lease.read(ClockReading { clock: listing.clock, at: now });
        worker.acknowledged = worker.acknowledged.max(request.cursor);
        listing.withhold_contradicted_ends();
        let cursor = worker.acknowledged;
        let ends: Vec<RunEnd> = listing.ends.into_iter().filter(|e| e.number > cursor).collect();
        let has_new_ends = ends.len() > worker.ends.len()
            || ends.last().map(|e| e.number) > worker.ends.last().map(|e| e.number);
        worker.take_list(now, listing.running, ends, listing.truncated);
        worker.end_pauses(now);
        let finished = worker.finish_calls(now, request.serial);
        if former_calls_over {
            worker.settle_expired(listing.clock);
        }
        is_first || is_back || has_new_ends || finished
    }

    /// Notes that the worker has not answered a request for its list.
    pub fn list_unanswered(&mut self, now: Time, request: &ListRequest, failure: ListFailure) {
        if let Some(worker) = self.current_worker(&request.incarnation) {
            worker.list_failed(now, failure);
        }
    }

    /// Notes that the worker has rejected the fencing token of a call: from now on only orders of a
    /// higher term count, or those that answer a later poll. A rejected call without a token says
    /// nothing about any orders.
    pub fn fenced(&mut self, now: Time, token: Option<u64>) {
        if token.is_some_and(|t| self.fence.reject(now, t)) {
            self.orders = None;
        }
    }

    /// Drops a worker that is gone: it does not answer, or has left, and all of its leases have
    /// expired. Returns whether it was dropped.
    pub fn expire(&mut self, now: Time) -> bool {
        if !self.is_gone(now) {
            return false;
        }
        if let Some(worker) = self.worker.take() {
            self.crashes.add(worker.crash(now));
            self.note_dropped(worker.spec.incarnation.clone());
            self.gone.push(worker.spec.incarnation);
        }
        self.orders = None;
        self.dropped_at = now;
        true
    }

    fn note_dropped(&mut self, incarnation: WorkerIncarnation) {
        if !self.dropped.contains(&incarnation) {
            self.dropped.push(incarnation);
        }
    }

    /// Whether a start that an earlier process of this agent sent would be too late by now.
    fn former_calls_over(&self, now: Time) -> bool {
        now.since(self.started_at) > lease_duration_max(self.limits.lease_max)
    }

    /// Whether there is a worker that does not answer, or has left, and whose leases have expired.
    fn is_gone(&self, now: Time) -> bool {
        let Some(worker) = &self.worker else { return false };
        let silent = !worker.answers && worker.is_silent(now, &self.limits);
        let start = self.started_at.max(worker.first_seen);
        (silent || worker.has_departed())
            && worker.lease.has_expired(now, start, self.limits.lease_max)
    }

    fn current_worker(&mut self, incarnation: &WorkerIncarnation) -> Option<&mut WorkerState> {
        self.worker.as_mut().filter(|w| w.spec.incarnation == *incarnation)
    }
}
