//! Polls of agents: their reports are committed to the log, and the ledger's orders are returned.

use {
    crate::{
        control::{
            batch::{BatchController, gauges::record_tail_latencies},
            replica::Result,
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
        batch::{
            Event, WorkerIncarnation,
            contact::Arrival,
            crash::Crash,
            exchange::{poll_events, poll_orders},
            grant::WORKER_LEASE,
            message::{Orders, Poll, Reply},
        },
        core::{Code, Refusal, Time},
    },
    std::{rc::Rc, time::Duration},
};

/// Longest time for which a poll waits for orders.
const ORDERS_WAIT: Duration = Duration::from_millis(400);

impl BatchController {
    pub(super) async fn poll(&self, poll: Poll) -> Result<Reply> {
        let poll = Rc::new(poll);
        let arrival = self.record_poll(&poll);
        record_tail_latencies(self.replica.state().batch(), &poll);
        let events = match arrival.is_late {
            true => Vec::new(),
            false => {
                self.sample_poll(&poll);
                self.events(&poll)
            }
        };
        let has_events = !events.is_empty();
        self.revoke_permits(&poll);
        if has_events {
            self.log_reported_gone(&poll, &events);
            self.propose(events).await?;
        }
        let end = self.clock.now() + ORDERS_WAIT;
        let worker = poll.worker.as_ref().map(|w| &w.incarnation.worker);
        let waiting = self.replica.batch_wakes().register(&poll.agent, worker);
        loop {
            if !self.replica.leads() {
                return Err(Refusal::from(Code::NoLeader));
            }
            let now = self.clock.now();
            let orders = self.orders(&poll);
            let idle = orders.starts.is_empty() && orders.stops.is_empty();
            let superseded =
                self.agents.borrow().contacts.is_superseded(&poll.agent, arrival.serial);
            if has_events || !idle || superseded || now >= end {
                if let Some(incarnation) = &orders.incarnation {
                    self.record_grant(now, &poll, incarnation);
                }
                return Ok(Reply::Orders(Box::new(orders)));
            }
            waiting.woken(end.since(now)).await;
        }
    }

    pub(super) async fn record_crash(&self, crash: Box<Crash>) -> Result<Reply> {
        self.replica.read_barrier().await?;
        let is_known = self.replica.state().batch().crashes().is_reported(&crash.incarnation);
        if !is_known {
            self.propose(vec![Event::Crashed(crash)]).await?;
        }
        Ok(Reply::Done)
    }

    fn record_poll(&self, poll: &Rc<Poll>) -> Arrival {
        let now = self.clock.now();
        let mut agents = self.agents.borrow_mut();
        agents.enter_term(self.replica.status().term, now);
        agents.record_relay(now, poll.relay);
        let arrival = agents.contacts.record_poll(now, poll);
        self.replica.batch_wakes().wake_agent(&poll.agent);
        if arrival.calls_for_plan {
            self.replica.batch_wakes().request_plan();
        }
        arrival
    }

    fn sample_poll(&self, poll: &Poll) {
        let (term, at) = (self.replica.term(), self.replica.log_time());
        let state = self.replica.state();
        let incarnation = poll.worker.as_ref().map(|w| &w.incarnation);
        let is_cold = incarnation.is_some_and(|i| self.cold.borrow().is_cold(i, at));
        self.run_times.borrow_mut().record_poll(term, at, state.batch(), poll, is_cold);
    }

    fn record_grant(&self, now: Time, poll: &Poll, incarnation: &WorkerIncarnation) {
        if self.agents.borrow_mut().record_grant(now, poll, incarnation) {
            self.replica.batch_wakes().request_plan();
        }
    }

    /// Revokes the permits of runs that the worker has refused.
    fn revoke_permits(&self, poll: &Poll) {
        let Some(spec) = &poll.worker else { return };
        let now = self.replica.log_time();
        let permits = &mut self.external.borrow_mut().permits;
        for run in &poll.refused {
            let step = run.task.step;
            if permits.get(step, &spec.incarnation, now).is_some() {
                self.replica.batch_wakes().request_plan();
            }
            permits.revoke(step, &spec.incarnation);
        }
    }

    fn events(&self, poll: &Poll) -> Vec<Event> {
        let (now, state) = (self.clock.now(), self.replica.state());
        poll_events(now, state.batch(), &self.agents.borrow().grants, poll)
    }

    /// Logs the workers whose end an agent reports.
    fn log_reported_gone(&self, poll: &Poll, events: &[Event]) {
        let state = self.replica.state();
        for event in events {
            let Event::WorkerGone(life) = event else { continue };
            let runs = state.batch().worker(life).map_or(0, |w| w.runs.len());
            let (life, agent) = (life.clone(), poll.agent.clone());
            event::WorkerReportedGone { life, agent, runs }.emit();
        }
    }

    fn orders(&self, poll: &Poll) -> Orders {
        let (state, withdrawals) = (self.replica.state(), self.replica.withdrawals());
        let term = self.replica.status().term;
        poll_orders(state.batch(), &withdrawals, poll, term, WORKER_LEASE)
    }
}
