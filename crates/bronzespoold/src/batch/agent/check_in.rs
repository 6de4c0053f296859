//! Check-ins of the worker, and notices that it ends.
//!
//! Anyone can send a check-in. One of an incarnation that is not the agent's worker yet counts only
//! once the process at the worker's address has answered as this incarnation.

use {
    crate::{
        batch::{Agent, ListOutcome, Worker},
        telemetry::{Event as _, event},
    },
    bronzespool::batch::{
        WorkerIncarnation, agent::ListFailure, cold::ColdReport, departure::DepartureReport,
        ledger::WorkerSpec,
    },
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

/// Longest time for which the sender of a check-in is asked who it is. A worker takes its check-in for
/// lost after a second.
const IDENTITY_TIMEOUT: Duration = Duration::from_millis(800);
/// Pause after a request for the identity that had no answer.
const IDENTITY_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Most check-ins whose senders are being asked at once.
const IDENTIFYING_MAX: usize = 8;

/// A check-in of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckIn {
    /// The worker's description of itself.
    pub spec: WorkerSpec,
    /// Sequence number, which rises with each check-in of a worker incarnation.
    pub seq: u64,
    /// Time for which the worker stays slow after its start.
    pub cold: Duration,
    /// Time for which a worker that has announced its end goes on at least.
    pub notice: Option<Duration>,
}

/// What became of a check-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CheckInOutcome {
    /// It counts.
    Noted,
    /// It is older than what is known, and changes nothing.
    Late,
    /// Another process answers at the worker's address.
    Foreign,
    /// Nothing at the worker's address has answered as this incarnation in time, or too many check-ins
    /// are waiting for such an answer.
    Unidentified,
}

impl<W: Worker> Agent<W> {
    /// Handles a check-in.
    pub async fn check_in(&self, check_in: CheckIn) -> CheckInOutcome {
        let incarnation = check_in.spec.incarnation.clone();
        let outcome = self.identify(&incarnation).await;
        if outcome != CheckInOutcome::Noted {
            let verdict = format!("{outcome:?}");
            event::CheckInUnconfirmed { life: incarnation, verdict }.emit();
            if outcome == CheckInOutcome::Unidentified {
                self.unidentified.replace(Some(check_in));
            }
            return outcome;
        }
        self.note_check_in(check_in)
    }

    /// Handles the latest check-in without an identified sender again. A worker that has seen a higher
    /// token than this process has is identified once the leader has answered a poll, which may take
    /// longer than the check-in waits.
    pub(super) async fn retry_check_in(&self) {
        let Some(check_in) = self.unidentified.take() else { return };
        let before = self.reconciler.borrow().incarnation().cloned();
        let answer = self.ask_identity(&check_in.spec.incarnation).await;
        let has_changed = before.as_ref() != self.reconciler.borrow().incarnation();
        if answer == Some(true) && !has_changed {
            self.note_check_in(check_in);
        } else if answer.is_none() && self.unidentified.borrow().is_none() {
            self.unidentified.replace(Some(check_in));
        }
    }

    /// Handles the notice that a worker is ending; `started_at` is when it started, if the notice says
    /// so.
    pub fn leave(&self, worker: &str, started_at: Option<u64>) {
        let is_current = self.reconciler.borrow_mut().leave(worker, started_at);
        event::WorkerEnds { worker: worker.to_owned(), is_current }.emit();
        self.poll_wakeup.notify_one();
    }

    /// Finds out whether the process at the worker's address is this incarnation.
    async fn identify(&self, incarnation: &WorkerIncarnation) -> CheckInOutcome {
        let before = self.reconciler.borrow().incarnation().cloned();
        if before.as_ref() == Some(incarnation) {
            return CheckInOutcome::Noted;
        }
        if self.identifying.get() >= IDENTIFYING_MAX {
            return CheckInOutcome::Unidentified;
        }
        self.identifying.set(self.identifying.get() + 1);
        let answer = timeout(IDENTITY_TIMEOUT, self.await_identity(incarnation)).await;
        self.identifying.set(self.identifying.get() - 1);
        // The answer may have been held up while another incarnation has answered.
        let has_changed = before.as_ref() != self.reconciler.borrow().incarnation();
        match answer {
            Ok(true) if has_changed => CheckInOutcome::Unidentified,
            Ok(true) => CheckInOutcome::Noted,
            Ok(false) => CheckInOutcome::Foreign,
            Err(_) => CheckInOutcome::Unidentified,
        }
    }

    /// Asks until a process at the worker's address answers. Returns whether it is this incarnation.
    async fn await_identity(&self, incarnation: &WorkerIncarnation) -> bool {
        loop {
            if let Some(is_same) = self.ask_identity(incarnation).await {
                return is_same;
            }
            sleep(IDENTITY_RETRY_PAUSE).await;
        }
    }

    /// Asks the process at the worker's address whether it is this incarnation; none if that is still
    /// unknown.
    async fn ask_identity(&self, incarnation: &WorkerIncarnation) -> Option<bool> {
        let request = self.reconciler.borrow().identity_request(incarnation);
        match self.worker.list(&request, Duration::ZERO).await {
            ListOutcome::Listed(listing) => Some(listing.identifies(incarnation)),
            ListOutcome::Unanswered(ListFailure::Foreign) => Some(false),
            ListOutcome::Fenced => {
                self.note_fenced(request.epoch);
                None
            }
            ListOutcome::Unanswered(_) => None,
        }
    }

    /// Takes a check-in of the process at the worker's address.
    fn note_check_in(&self, check_in: CheckIn) -> CheckInOutcome {
        let CheckIn { spec, seq, cold, notice } = check_in;
        let before = self.reconciler.borrow().incarnation().cloned();
        let last_seen = self.reconciler.borrow().last_seen();
        let was_leaving = self.reconciler.borrow().is_leaving();
        let incarnation = spec.incarnation.clone();
        if !self.reconciler.borrow_mut().check_in(self.clock.now(), spec, seq) {
            event::CheckInLate { life: incarnation, seq }.emit();
            return CheckInOutcome::Late;
        }
        self.unidentified.take();
        self.note_cold(&incarnation, cold);
        if let Some(notice) = notice {
            self.note_departure(&incarnation, notice);
        }
        if before.as_ref() != Some(&incarnation) {
            let last_seen = last_seen.map(|(l, runs)| format!("{l:?} with {runs} runs"));
            event::CheckedIn { life: incarnation.clone(), before, last_seen }.emit();
            self.log_crash();
        }
        let is_leaving = self.reconciler.borrow().is_leaving();
        if is_leaving != was_leaving {
            event::WorkerDrainingChanged { life: incarnation, leaving: is_leaving }.emit();
            self.poll_wakeup.notify_one();
        }
        CheckInOutcome::Noted
    }

    /// Records how long the worker stays cold, as reported in its check-in.
    fn note_cold(&self, incarnation: &WorkerIncarnation, remaining: Duration) {
        let remaining = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        // The first report without remaining time is sent as well: the worker may be warm early.
        if self.was_cold.replace(remaining > 0) || remaining > 0 {
            let incarnation = incarnation.clone();
            self.cold.replace(Some(ColdReport { incarnation, remaining }));
        }
    }

    /// Records how long the worker goes on at least, as reported in a check-in that announces its end.
    fn note_departure(&self, incarnation: &WorkerIncarnation, remaining: Duration) {
        let remaining = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        let incarnation = incarnation.clone();
        self.departure.replace(Some(DepartureReport { incarnation, remaining }));
    }
}
