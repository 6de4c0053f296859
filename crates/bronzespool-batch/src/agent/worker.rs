//! The agent's knowledge of the current incarnation of its worker.

use {
    crate::{
        agent::{LastSeen, Limits, ListFailure, NotStarted, lease::Lease, pace::Pacer},
        crash::{Crash, CrashedRun},
        id::RunId,
        ledger::{RunEnd, WorkerSpec},
        message::RunStatus,
    },
    bronzespool_core::{HashMap, HashSet, Time},
    std::time::Duration,
};

/// Time after an acknowledged stop from which the run is stopped again if the worker still lists
/// it.
const STOP_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Pause after a stop that was refused or had no answer, and after an answered start whose run is not
/// listed. The worker answers at once, so that the agent would repeat the call without end.
const CALL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time for which connections are closed or refused before the worker's process counts as ended; two
/// requests for the list are made in it.
const DOWN_DELAY: Duration = Duration::from_millis(300);
/// Number of check-in intervals without a check-in after which a worker counts as silent and
/// accepts no new tasks.
const SILENT_INTERVALS: u32 = 3;

/// State of a call for a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallState {
    /// A stop is in flight.
    StopInFlight,
    /// A start is in flight. `only` if no other start of the run can have been carried out, or can
    /// still be.
    StartInFlight { only: bool },
    /// The worker has answered; the first list requested with this serial number or a later one
    /// shows the outcome.
    Answered(u64),
    /// A start had no answer. It is not repeated before the list requested with this serial number,
    /// or a later one, shows whether it was carried out: each copy that is on its way can outlive the
    /// run.
    Unanswered(u64),
    /// The worker has acknowledged a stop at this time, but the run may take a while to end. The
    /// serial number is that of the first list that can show the outcome.
    Stopping(u64, Time),
    /// No call for the run is sent before this time: a stop has failed, or the worker contradicts
    /// itself.
    Paused(Time),
}

/// State of the worker's current incarnation.
#[derive(Clone, Debug)]
pub(super) struct WorkerState {
    pub(super) spec: WorkerSpec,
    /// Sequence number of the latest check-in.
    pub(super) seq: u64,
    pub(super) last_heartbeat: Time,
    pub(super) first_seen: Time,
    pub(super) lease: Lease,
    pub(super) running: Vec<RunStatus>,
    pub(super) ends: Vec<RunEnd>,
    /// Number up to which the worker has been told that it may forget ended runs.
    pub(super) acknowledged: u64,
    /// The runs that the latest list names, as running or as ended.
    listed: HashSet<RunId>,
    /// Whether the worker may hold runs that its latest list does not name.
    pub(super) truncated: bool,
    pub(super) has_list: bool,
    /// Whether the leader has given orders for this incarnation.
    pub(super) has_orders: bool,
    /// Whether the worker answered the latest request for its list.
    pub(super) answers: bool,
    /// What it has been since its last answer.
    last_seen: LastSeen,
    /// When it was first seen to be closed, if it is.
    closed_at: Time,
    /// When runs were first known to run, until their ends are recorded or the worker says that it
    /// will not run them.
    running_since: HashMap<RunId, Time>,
    /// Whether another incarnation has answered in its place.
    pub(super) replaced: bool,
    /// Serial number of the latest list request when the worker was said to end; none if it has
    /// answered a later one.
    ends_after: Option<u64>,
    pub(super) calls: HashMap<RunId, CallState>,
    /// Runs for which a start was sent that may have been carried out, or may still be, each with the
    /// latest end of a lease in these starts, on the worker's clock.
    pub(super) started: HashMap<RunId, u64>,
    /// Runs of which a start was refused while another may be carried out. They are stopped before
    /// they count as refused.
    pub(super) doubtful: HashSet<RunId>,
    pub(super) refused: HashSet<RunId>,
    /// Runs that have been settled as refused since they were last taken from here, and why.
    settled: Vec<(RunId, NotStarted)>,
    pub(super) list_serial: u64,
    pub(super) pacer: Pacer,
}

impl WorkerState {
    pub(super) fn new(spec: WorkerSpec, seq: u64, now: Time) -> Self {
        Self {
            spec,
            seq,
            last_heartbeat: now,
            first_seen: now,
            lease: Lease::default(),
            running: Vec::new(),
            ends: Vec::new(),
            acknowledged: 0,
            listed: HashSet::default(),
            truncated: false,
            has_list: false,
            has_orders: false,
            answers: false,
            last_seen: LastSeen::Answering,
            closed_at: now,
            running_since: HashMap::default(),
            replaced: false,
            ends_after: None,
            calls: HashMap::default(),
            started: HashMap::default(),
            doubtful: HashSet::default(),
            refused: HashSet::default(),
            settled: Vec::new(),
            list_serial: 0,
            pacer: Pacer::default(),
        }
    }

    pub(super) fn is_silent(&self, now: Time, limits: &Limits) -> bool {
        now.since(self.last_heartbeat) > limits.heartbeat_interval * SILENT_INTERVALS
    }

    /// Takes the word that the worker ends now. It names no incarnation and may be late, so it holds
    /// only until the worker answers.
    pub(super) const fn note_end(&mut self) {
        self.ends_after = Some(self.list_serial);
    }

    /// Notes that the worker has answered the list request with a serial number. Returns whether it
    /// was said to have ended before that.
    pub(super) fn note_alive(&mut self, serial: u64) -> bool {
        self.ends_after.take_if(|after| serial > *after).is_some()
    }

    /// Whether the worker was said to end and has not answered since, or another incarnation has
    /// answered in its place.
    pub(super) const fn has_departed(&self) -> bool {
        self.replaced || self.ends_after.is_some()
    }

    /// Takes a request for the list that had no answer.
    pub(super) fn list_failed(&mut self, now: Time, failure: ListFailure) {
        self.answers = false;
        let last_seen = match (failure, self.last_seen) {
            (ListFailure::Refused, _) => LastSeen::Answering,
            (ListFailure::Silent, _) => LastSeen::Silent,
            // A connection that was open a moment ago ends a silence. A worker that is absent after
            // one may have ended at any time in it.
            (ListFailure::Closed, _) => LastSeen::Closed,
            (ListFailure::Absent | ListFailure::Foreign, LastSeen::Answering) => LastSeen::Closed,
            (ListFailure::Absent | ListFailure::Foreign, last_seen) => last_seen,
        };
        if last_seen == LastSeen::Closed && self.last_seen != LastSeen::Closed {
            self.closed_at = now;
        }
        self.last_seen = last_seen;
    }

    /// Notes that the worker has answered a call.
    pub(super) const fn note_answer(&mut self) {
        self.last_seen = LastSeen::Answering;
    }

    /// Returns how the incarnation was last seen.
    pub(super) const fn last_seen(&self) -> LastSeen {
        let leaves = self.spec.leaving || self.ends_after.is_some();
        if leaves { LastSeen::Leaving } else { self.last_seen }
    }

    /// Returns the crash of this incarnation, which has ended by `now`; none if it was not seen to
    /// crash, or held no run.
    pub(super) fn crash(&self, now: Time) -> Option<Crash> {
        let ended_at = match self.last_seen() {
            LastSeen::Answering => now,
            LastSeen::Closed => self.closed_at,
            LastSeen::Silent | LastSeen::Leaving => return None,
        };
        let listed = self.running.iter().map(|s| s.run);
        let sent = self.started.keys().copied().filter(|r| !self.has_ended(*r));
        let held: HashSet<RunId> = listed.chain(sent).collect();
        let mut runs: Vec<CrashedRun> =
            held.into_iter().map(|run| CrashedRun { run, age: self.age(run, ended_at) }).collect();
        runs.sort_by_key(|r| r.run);
        let WorkerSpec { incarnation, agent, .. } = self.spec.clone();
        (!runs.is_empty()).then_some(Crash { incarnation, agent, runs })
    }

    /// Returns for how many milliseconds a run has been known to run.
    fn age(&self, run: RunId, now: Time) -> Option<u64> {
        self.running_since.get(&run).map(|at| now.since(*at).as_millis() as u64)
    }

    /// Whether the worker has said that a run is there, and not since that it will not run it. Only its
    /// end shows then that it is not there any more.
    fn has_run(&self, run: RunId) -> bool {
        self.running_since.contains_key(&run)
    }

    /// Whether no start of a run was sent and the worker has never said that it is there, in a list that
    /// names all.
    pub(super) fn is_absent(&self, run: RunId) -> bool {
        !self.started.contains_key(&run) && !self.has_run(run) && !self.truncated
    }

    /// Takes the worker's answer that a run was stopped or has ended there.
    pub(super) fn note_old(&mut self, run: RunId) {
        self.running_since.remove(&run);
        self.await_list(run);
    }

    fn has_ended(&self, run: RunId) -> bool {
        self.ends.iter().any(|e| e.run == run)
    }

    /// Notes that the worker has answered that a run is there.
    pub(super) fn note_running(&mut self, now: Time, run: RunId) {
        self.running_since.entry(run).or_insert(now);
    }

    /// Whether the worker's process has certainly ended: connections have been closed or refused for
    /// longer than a reset of them lasts.
    fn is_down(&self, now: Time) -> bool {
        self.last_seen == LastSeen::Closed && now.since(self.closed_at) >= DOWN_DELAY
    }

    /// Whether the worker answers, or at least checks in, and its runs are known.
    pub(super) fn is_reportable(&self, now: Time, limits: &Limits) -> bool {
        let is_there = self.answers || !self.is_silent(now, limits);
        self.has_list && is_there && !self.is_down(now)
    }

    pub(super) fn await_list(&mut self, run: RunId) {
        self.calls.insert(run, CallState::Answered(self.list_serial + 1));
    }

    /// Takes a start that had no answer.
    pub(super) fn start_unanswered(&mut self, run: RunId) {
        self.calls.insert(run, CallState::Unanswered(self.list_serial + 1));
    }

    /// Takes a stop that was refused or had no answer.
    pub(super) fn stop_failed(&mut self, now: Time, run: RunId) {
        self.calls.insert(run, CallState::Paused(now + CALL_RETRY_DELAY));
    }

    /// Takes the worker's refusal of a start. It tells of this call alone: only if no other start of
    /// the run can be carried out, the run will not start.
    pub(super) fn start_refused(&mut self, run: RunId) {
        match self.calls.remove(&run) {
            _ if self.lists(run) || self.has_run(run) => {}
            Some(CallState::StartInFlight { only: true }) => {
                self.settle_refused(run, NotStarted::Refused);
            }
            _ => {
                self.doubtful.insert(run);
            }
        }
    }

    /// Takes an answer by which a start has not been carried out and will not be.
    pub(super) fn start_void(&mut self, run: RunId) {
        if let Some(CallState::StartInFlight { only: true }) = self.calls.remove(&run) {
            self.started.remove(&run);
        }
    }

    /// Forgets the starts of runs whose ends are recorded, up to an end's number.
    pub(super) fn forget_ends(&mut self, cursor: u64) {
        for end in self.ends.extract_if(.., |e| e.number <= cursor) {
            self.started.remove(&end.run);
            self.doubtful.remove(&end.run);
            self.running_since.remove(&end.run);
        }
    }

    /// Settles a run as refused: it has not started, and will not.
    pub(super) fn settle_refused(&mut self, run: RunId, ground: NotStarted) {
        self.started.remove(&run);
        self.doubtful.remove(&run);
        self.running_since.remove(&run);
        if self.refused.insert(run) {
            self.settled.push((run, ground));
        }
    }

    /// Takes the runs that have been settled as refused since the last call.
    pub(super) fn take_settled(&mut self) -> Vec<(RunId, NotStarted)> {
        std::mem::take(&mut self.settled)
    }

    /// Takes the runs of a list.
    pub(super) fn take_list(
        &mut self,
        now: Time,
        running: Vec<RunStatus>,
        ends: Vec<RunEnd>,
        truncated: bool,
    ) {
        self.note_answer();
        self.listed = running.iter().map(|s| s.run).chain(ends.iter().map(|e| e.run)).collect();
        for status in &running {
            self.running_since.entry(status.run).or_insert(now);
        }
        (self.running, self.ends, self.truncated) = (running, ends, truncated);
    }

    /// Whether the worker's latest list names the run, as running or as ended.
    pub(super) fn lists(&self, run: RunId) -> bool {
        self.listed.contains(&run)
    }

    /// Lets the stops be repeated whose pause is over.
    pub(super) fn end_pauses(&mut self, now: Time) {
        self.calls.retain(|_, call| !matches!(call, CallState::Paused(until) if *until <= now));
    }

    /// Notes that a start is sent under a lease up to `until`. Returns whether it is the first one.
    pub(super) fn note_start(&mut self, run: RunId, until: u64) -> bool {
        let former = self.started.get(&run).copied();
        self.started.insert(run, former.unwrap_or(0).max(until));
        former.is_none()
    }

    /// Settles the runs that neither start nor stop has settled and that cannot start any more,
    /// because the leases in all starts had ended when the worker made its list at `clock`.
    pub(super) fn settle_expired(&mut self, clock: u64) {
        let has_expired = |run: &RunId| self.started.get(run).is_none_or(|until| *until < clock);
        let is_open = |run: &RunId| !self.lists(*run) && !self.has_run(*run) && !self.truncated;
        let expired: Vec<RunId> =
            self.doubtful.iter().copied().filter(|r| has_expired(r) && is_open(r)).collect();
        for run in expired {
            self.calls.remove(&run);
            self.settle_refused(run, NotStarted::Expired);
        }
    }

    /// Ends the calls whose outcome the list with a serial number shows. Returns whether there were
    /// any.
    pub(super) fn finish_calls(&mut self, now: Time, serial: u64) -> bool {
        let running: HashSet<RunId> = self.running.iter().map(|s| s.run).collect();
        // A list that leaves out a run which the worker has said to be there is no evidence of its end.
        let is_missing = |run: &RunId| !self.lists(*run) && self.has_run(*run);
        let may_run = |run: &RunId| running.contains(run) || is_missing(run);
        let done = |(run, call): (&RunId, &CallState)| match call {
            CallState::StopInFlight | CallState::StartInFlight { .. } | CallState::Paused(_) => {
                false
            }
            CallState::Answered(from) | CallState::Unanswered(from) => *from <= serial,
            CallState::Stopping(from, at) => {
                *from <= serial && (!may_run(run) || now.since(*at) > STOP_RETRY_DELAY)
            }
        };
        let runs: Vec<RunId> = self.calls.iter().filter(|d| done(*d)).map(|(r, _)| *r).collect();
        for run in &runs {
            match self.calls.remove(run) {
                Some(CallState::Unanswered(_)) => {}
                Some(CallState::Answered(_)) if self.has_run(*run) => {
                    if !self.lists(*run) {
                        self.calls.insert(*run, CallState::Paused(now + CALL_RETRY_DELAY));
                    }
                }
                _ if self.lists(*run) || self.truncated => {}
                _ => self.settle_refused(*run, NotStarted::Unlisted),
            }
        }
        !runs.is_empty()
    }
}
