//! Arrival of messages: what their receivers do, and what their senders learn.

use {
    crate::{
        fault::InjectedFault,
        message::{Body, ListAnswer, Message},
        state::ModelState,
    },
    bronzespool_batch::{
        RunId, WorkerIncarnation,
        agent::{Action, ListFailure, ListRequest, StartOutcome, StopOutcome},
    },
};

impl ModelState {
    /// Hands a message to its receiver, which may answer.
    pub(crate) fn deliver(&mut self, message: Message) {
        let Message { sent, awaited, body } = message;
        match body {
            Body::Poll(poll) => self.leader.receive_poll(self.now, sent, poll),
            Body::Orders(poll, mut orders) => {
                let sent = match self.injected {
                    InjectedFault::LateGrant => self.now,
                    _ => sent,
                };
                if self.injected == InjectedFault::UnnamedGrant && orders.incarnation.is_none() {
                    orders.incarnation = Some(self.worker.incarnation.clone());
                    orders.lease = self.scope.lease.as_millis() as u64;
                }
                if self.injected == InjectedFault::FormerIncarnation {
                    orders.incarnation = Some(self.worker.incarnation.clone());
                }
                self.reconciler.receive_orders(sent, &poll, *orders);
                let actions = self.reconciler.actions(self.now);
                let calls = actions.into_iter().map(|a| Message::new(self.now, Body::Call(a)));
                self.messages.extend(calls);
            }
            Body::Call(action) => {
                let answer = self.carry_out(&action);
                self.messages.extend(awaited.then(|| Message::new(sent, answer)));
            }
            Body::List(request) => {
                let answer = self.carry_out_list(&request);
                let body = Body::Listing(request, answer);
                self.messages.extend(awaited.then(|| Message::new(sent, body)));
            }
            answer => self.receive_answer(answer),
        }
    }

    fn receive_answer(&mut self, answer: Body) {
        match answer {
            Body::StartAnswer(incarnation, run, outcome) => {
                let mistaken = match outcome {
                    StartOutcome::Unknown => self.injected == InjectedFault::UnknownIsRefused,
                    StartOutcome::Refused => self.injected == InjectedFault::RefusedIsFinal,
                    _ => false,
                };
                self.mistaken.extend(mistaken.then_some(run));
                self.reconciler.start_answered(self.now, &incarnation, run, outcome);
            }
            Body::StopAnswer(incarnation, run, outcome) => {
                self.reconciler.stop_answered(self.now, &incarnation, run, outcome);
            }
            Body::Listing(request, ListAnswer::Listed(listing)) => {
                self.reconciler.receive_listing(self.now, &request, listing);
                let stops = self.reconciler.stray_stops();
                let calls = stops.into_iter().map(|a| Message::new(self.now, Body::Call(a)));
                self.messages.extend(calls);
            }
            Body::Listing(request, ListAnswer::Fenced) => {
                self.reconciler.fenced(self.now, request.epoch);
            }
            Body::Listing(request, ListAnswer::Unanswered) => {
                self.reconciler.list_unanswered(self.now, &request, ListFailure::Silent);
            }
            Body::CheckIn(spec, seq) => {
                self.reconciler.check_in(self.now, *spec, seq);
            }
            Body::Poll(_) | Body::Orders(..) | Body::Call(_) | Body::List(_) => {}
        }
    }

    /// Whether a call reaches the worker: it names the worker, not the incarnation.
    fn reaches_worker(&self, incarnation: &WorkerIncarnation) -> bool {
        incarnation.worker == self.worker.incarnation.worker
            || self.injected == InjectedFault::FormerIncarnation
    }

    fn carry_out(&mut self, action: &Action) -> Body {
        match action {
            Action::Start { start, until, epoch, incarnation } => {
                let outcome = match self.reaches_worker(incarnation) {
                    true => self.worker.start(self.now, self.step, start.run, *until, *epoch),
                    false => StartOutcome::Late,
                };
                Body::StartAnswer(incarnation.clone(), start.run, outcome)
            }
            Action::Stop { run, epoch, incarnation } => {
                let outcome = match self.reaches_worker(incarnation) {
                    true => self.worker.stop(self.step, *run, *epoch),
                    false => StopOutcome::Unknown,
                };
                Body::StopAnswer(incarnation.clone(), *run, outcome)
            }
            Action::Pace { .. } => unreachable!("no task of the model has a class of service"),
        }
    }

    fn carry_out_list(&mut self, request: &ListRequest) -> ListAnswer {
        if !self.reaches_worker(&request.incarnation) {
            return ListAnswer::Unanswered;
        }
        match self.worker.list(self.now, request) {
            Some(listing) => ListAnswer::Listed(listing),
            None => ListAnswer::Fenced,
        }
    }

    /// Answers a call that the worker refuses with nothing done.
    pub(crate) fn refuse(&mut self, message: Message) {
        let Message { sent, awaited, body } = message;
        let answer = match body {
            Body::Call(Action::Start { start, incarnation, .. }) => {
                Body::StartAnswer(incarnation, start.run, StartOutcome::Refused)
            }
            Body::Call(Action::Stop { run, incarnation, .. }) => {
                Body::StopAnswer(incarnation, run, StopOutcome::Unknown)
            }
            _ => return,
        };
        self.messages.extend(awaited.then(|| Message::new(sent, answer)));
    }

    /// Ends the wait for the answer to a call, which may still arrive.
    pub(crate) fn give_up(&mut self, i: usize) {
        let message = self.messages[i].clone();
        self.messages[i].awaited = false;
        self.unanswered(&message);
    }

    /// Tells the sender of a call that there is no answer.
    pub(crate) fn unanswered(&mut self, message: &Message) {
        if !message.awaited {
            return;
        }
        let start = |i: &WorkerIncarnation, run: RunId| {
            Body::StartAnswer(i.clone(), run, StartOutcome::Unknown)
        };
        let stop = |i: &WorkerIncarnation, run: RunId| {
            Body::StopAnswer(i.clone(), run, StopOutcome::Unknown)
        };
        let outcome = match &message.body {
            Body::Call(Action::Start { start: s, incarnation, .. }) => start(incarnation, s.run),
            Body::Call(Action::Stop { run, incarnation, .. }) => stop(incarnation, *run),
            Body::StartAnswer(incarnation, run, _) => start(incarnation, *run),
            Body::StopAnswer(incarnation, run, _) => stop(incarnation, *run),
            Body::List(request) | Body::Listing(request, _) => {
                Body::Listing(request.clone(), ListAnswer::Unanswered)
            }
            _ => return,
        };
        self.receive_answer(outcome);
    }
}
