//! Wakes the polls that a change concerns, and the planner where a plan reads what has changed.
//!
//! The replica reports each batch record that it applies, whoever proposed it, so that no poll
//! misses a record. Without leadership no poll waits, and a woken planner does nothing.

use {
    crate::control::state::Effect,
    bronzespool::{
        batch::{
            Ledger, Record,
            affected::{RecordScope, WaitingPolls, record_calls_for_plan},
        },
        core::Instance,
    },
    std::{cell::RefCell, rc::Rc, sync::Arc, time::Duration},
    tokio::{sync::Notify, time::timeout},
};

/// Waiting polls, and whether a plan is due.
#[derive(Debug, Default)]
pub(in crate::control) struct Wakes {
    polls: RefCell<WaitingPolls<Rc<Notify>>>,
    planner: Notify,
}

/// A poll that waits for orders, until it is dropped.
pub(super) struct WaitingPoll<'a> {
    wakes: &'a Wakes,
    id: u64,
    notify: Rc<Notify>,
}

impl WaitingPoll<'_> {
    /// Waits until the poll may be concerned by a change since it was registered or last woken,
    /// at most for `limit`.
    pub(super) async fn woken(&self, limit: Duration) {
        // A timeout and a wake lead to the same next step.
        let _ = timeout(limit, self.notify.notified()).await;
    }
}

impl Drop for WaitingPoll<'_> {
    fn drop(&mut self) {
        self.wakes.polls.borrow_mut().remove(self.id);
    }
}

impl Wakes {
    /// Registers a poll of an agent that reports this worker, if any.
    pub(super) fn register(&self, agent: &Instance, worker: Option<&Arc<str>>) -> WaitingPoll<'_> {
        let notify = Rc::new(Notify::new());
        let handle = Rc::clone(&notify);
        let id = self.polls.borrow_mut().insert(agent.clone(), worker.cloned(), handle);
        WaitingPoll { wakes: self, id, notify }
    }

    /// Determines what a record concerns that is to be applied to `ledger` next. None if no poll
    /// waits: later polls see the changed ledger.
    pub(in crate::control) fn scope(
        &self,
        ledger: &Ledger,
        record: &Record,
    ) -> Option<RecordScope> {
        let waits = !self.polls.borrow().is_empty();
        waits.then(|| RecordScope::of(ledger, record))
    }

    /// Wakes the polls that an applied record concerns, and the planner if it changed anything.
    pub(in crate::control) fn record_applied(
        &self,
        scope: Option<RecordScope>,
        ledger: &Ledger,
        record: &Record,
        effect: &Effect,
    ) {
        let polls = self.polls.borrow();
        for worker in scope.into_iter().flat_map(|s| s.affected_workers(ledger)) {
            polls.of_worker(&worker).for_each(|n| n.notify_one());
        }
        if let Effect::Batch(outcomes) = effect
            && record_calls_for_plan(record, outcomes)
        {
            self.request_plan();
        }
    }

    /// Wakes an agent's polls, which a newer one supersedes.
    pub(super) fn wake_agent(&self, agent: &Instance) {
        self.polls.borrow().of_agent(agent).for_each(|n| n.notify_one());
    }

    /// Wakes all polls and the planner, as after a change of leadership.
    pub(in crate::control) fn wake_all(&self) {
        self.polls.borrow().all().for_each(|n| n.notify_one());
        self.request_plan();
    }

    /// Requests a plan because something that it reads has changed.
    pub(super) fn request_plan(&self) {
        self.planner.notify_one();
    }

    /// Waits until a plan is requested, at most for `limit`.
    pub(super) async fn plan_requested(&self, limit: Duration) {
        // A timeout and a request lead to the same next step.
        let _ = timeout(limit, self.planner.notified()).await;
    }
}
