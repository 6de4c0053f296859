//! Polls of agents: what they report goes into the log, what the ledger wants goes back.

use {
    crate::control::{
        batch::{Batch, agents::LEASE, gauges::tails},
        replica::Result,
    },
    bronzespool::{
        batch::{
            Event, Ledger, RunId,
            ledger::{Live, Worker},
            message::{Orders, Part, Poll, Reply, Start},
        },
        core::{Code, HashSet, Refusal},
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
        let events = events(self.replica.state().batch(), &poll);
        let told = !events.is_empty();
        if let Some(spec) = &poll.worker {
            let mut outside = self.outside.borrow_mut();
            for run in &poll.refused {
                outside.permits.refused(run.task.step, &spec.life);
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
                if let Some(life) = &orders.life {
                    self.agents.borrow_mut().grant(now, &poll.agent, life);
                }
                return Ok(Reply::Orders(Box::new(orders)));
            }
            let _ = timeout(end.since(now), watch.changed()).await;
        }
    }

    fn orders(&self, poll: &Poll) -> Orders {
        let state = self.replica.state();
        let ledger = state.batch();
        let mut orders = Orders {
            epoch: self.replica.status().term,
            life: None,
            cursor: 0,
            lease: LEASE.as_millis() as u64,
            starts: Vec::new(),
            stops: Vec::new(),
            parts: Vec::new(),
        };
        let life = poll.worker.as_ref().map(|w| &w.life);
        let Some(worker) = life.and_then(|l| ledger.worker(l)) else { return orders };
        orders.life = Some(worker.spec.life.clone());
        orders.cursor = worker.cursor;
        compare(ledger, worker, poll, &mut orders);
        orders.parts = parts(ledger, worker);
        orders
    }
}

/// What a poll tells that the ledger does not hold.
fn events(ledger: &Ledger, poll: &Poll) -> Vec<Event> {
    let mut events = Vec::new();
    for life in poll.gone.iter().filter(|l| ledger.worker(l).is_some()) {
        events.push(Event::WorkerGone(life.clone()));
    }
    let Some(spec) = &poll.worker else { return events };
    let known = ledger.worker(&spec.life);
    // A worker that is leaving does not come back in this life.
    let is_news = |w: &Worker| w.spec != *spec && (spec.leaving || !w.spec.leaving);
    if known.is_none_or(is_news) {
        events.push(Event::WorkerUp(Box::new(spec.clone())));
    }
    let Some(known) = known else { return events };
    for run in poll.refused.iter().filter(|r| known.runs.contains_key(r)) {
        events.push(Event::Refused { life: spec.life.clone(), run: *run });
    }
    let ends: Vec<_> = poll.ends.iter().filter(|e| e.number > known.cursor).cloned().collect();
    if !ends.is_empty() {
        events.push(Event::Ended { life: spec.life.clone(), ends });
    }
    events
}

/// Fills in what the worker has to start and to stop.
fn compare(ledger: &Ledger, worker: &Worker, poll: &Poll, orders: &mut Orders) {
    let running: HashSet<RunId> = poll.running.iter().map(|h| h.run).collect();
    let ended = |r: &RunId| poll.ends.iter().any(|e| e.run == *r) || poll.refused.contains(r);
    for run in worker.runs.keys().filter(|r| !ended(r) && !poll.busy.contains(r)) {
        if ledger.is_unwanted(*run) {
            orders.stops.push(*run);
        } else if !running.contains(run) {
            orders.starts.extend(start(ledger, *run));
        }
    }
    let strange = |r: &&RunId| !worker.runs.contains_key(r) && !poll.busy.contains(r) && !ended(r);
    orders.stops.extend(running.iter().filter(strange));
}

/// Runs of a worker that serve or fill.
fn parts(ledger: &Ledger, worker: &Worker) -> Vec<(RunId, Part)> {
    let part = |run: &RunId| {
        let step = run.task.step;
        let shape = ledger.job(step.job)?.shape(step.step)?;
        match shape.target {
            _ if shape.filler => Some((*run, Part::Fills)),
            0 => None,
            bound => Some((*run, Part::Serves(bound))),
        }
    };
    worker.runs.keys().filter_map(part).collect()
}

fn start(ledger: &Ledger, run: RunId) -> Option<Start> {
    let job = ledger.job(run.task.step.job)?;
    let live: &Live = ledger.live(run)?;
    Some(Start {
        run,
        text: job.spec.text.clone(),
        saved: live.saved.clone(),
        ticket: live.ticket.clone(),
    })
}
