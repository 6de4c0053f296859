//! Polls of agents: what they report goes into the log, what the ledger wants goes back.

use {
    crate::control::{
        batch::{Batch, agents::LEASE, gauges::tails},
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
const PARK: Duration = Duration::from_millis(400);

impl Batch {
    pub(super) async fn poll(&self, poll: Poll) -> Result<Reply> {
        let serial = {
            let mut agents = self.agents.borrow_mut();
            agents.enter(self.replica.status().term, self.clock.now());
            agents.note_relay(self.clock.now(), poll.relay);
            agents.note(self.clock.now(), &poll)
        };
        tails(self.replica.state().batch(), &poll);
        let events = poll_events(self.replica.state().batch(), &poll);
        let told = !events.is_empty();
        if let Some(spec) = &poll.worker {
            let mut outside = self.outside.borrow_mut();
            for run in &poll.refused {
                outside.permits.revoke(run.task.step, &spec.incarnation);
            }
        }
        if told {
            self.propose(events).await?;
        }
        self.kick.notify_one();
        let end = self.clock.now() + PARK;
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
            if told || !idle || superseded || now >= end {
                if let Some(life) = &orders.incarnation {
                    self.agents.borrow_mut().grant(now, &poll.agent, life);
                }
                return Ok(Reply::Orders(Box::new(orders)));
            }
            let _ = timeout(end.since(now), watch.changed()).await;
        }
    }

    fn orders(&self, poll: &Poll) -> Orders {
        poll_orders(self.replica.state().batch(), poll, self.replica.status().term, LEASE)
    }
}
