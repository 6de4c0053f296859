//! Polls of agents: their reports are committed to the log, and the ledger's orders are returned.

use {
    crate::control::{
        batch::{BatchController, agents::WORKER_LEASE, gauges::record_tail_latencies},
        replica::Result,
    },
    bronzespool::{
        batch::{
            exchange::{poll_events, poll_orders},
            message::{Orders, Poll, Reply},
        },
        core::{Code, Refusal},
    },
    std::time::Duration,
    tokio::time::timeout,
};

/// Longest time for which a poll waits for orders.
const ORDERS_WAIT: Duration = Duration::from_millis(400);

impl BatchController {
    pub(super) async fn poll(&self, poll: Poll) -> Result<Reply> {
        let serial = {
            let mut agents = self.agents.borrow_mut();
            agents.enter_term(self.replica.status().term, self.clock.now());
            agents.record_relay(self.clock.now(), poll.relay);
            agents.record_poll(self.clock.now(), &poll)
        };
        record_tail_latencies(self.replica.state().batch(), &poll);
        let events = poll_events(self.replica.state().batch(), &poll);
        let has_events = !events.is_empty();
        if let Some(spec) = &poll.worker {
            let mut external = self.external.borrow_mut();
            for run in &poll.refused {
                external.permits.revoke(run.task.step, &spec.incarnation);
            }
        }
        if has_events {
            self.propose(events).await?;
        }
        self.planner_notify.notify_one();
        let end = self.clock.now() + ORDERS_WAIT;
        let mut watch = self.replica.watch();
        loop {
            watch.borrow_and_update();
            if !self.replica.leads() {
                return Err(Refusal::from(Code::NoLeader));
            }
            let now = self.clock.now();
            let orders = self.orders(&poll);
            let idle = orders.starts.is_empty() && orders.stops.is_empty();
            let superseded = self.agents.borrow().is_superseded(&poll.agent, serial);
            if has_events || !idle || superseded || now >= end {
                if let Some(incarnation) = &orders.incarnation {
                    self.agents.borrow_mut().record_grant(now, &poll.agent, incarnation);
                }
                return Ok(Reply::Orders(Box::new(orders)));
            }
            let _ = timeout(end.since(now), watch.changed()).await;
        }
    }

    fn orders(&self, poll: &Poll) -> Orders {
        poll_orders(self.replica.state().batch(), poll, self.replica.status().term, WORKER_LEASE)
    }
}
