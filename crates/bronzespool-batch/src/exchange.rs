//! What the leader and an agent tell each other: a poll becomes events, the ledger becomes orders.

use {
    crate::{
        id::RunId,
        ledger::{ActiveRun, Event, Ledger, Worker},
        message::{Orders, Poll, QosClass, Start},
    },
    bronzespool_core::HashSet,
    std::time::Duration,
};

/// What a poll tells that the ledger does not hold.
pub fn poll_events(ledger: &Ledger, poll: &Poll) -> Vec<Event> {
    let mut events = Vec::new();
    for incarnation in poll.gone.iter().filter(|l| ledger.worker(l).is_some()) {
        events.push(Event::WorkerGone(incarnation.clone()));
    }
    let Some(spec) = &poll.worker else { return events };
    let known = ledger.worker(&spec.incarnation);
    // A worker that is leaving does not come back in this life.
    let is_news = |w: &Worker| w.spec != *spec && (spec.leaving || !w.spec.leaving);
    if known.is_none_or(is_news) {
        events.push(Event::WorkerUp(Box::new(spec.clone())));
    }
    let Some(known) = known else { return events };
    for run in poll.refused.iter().filter(|r| known.runs.contains_key(r)) {
        events.push(Event::Refused { incarnation: spec.incarnation.clone(), run: *run });
    }
    let ends: Vec<_> = poll.ends.iter().filter(|e| e.number > known.cursor).cloned().collect();
    if !ends.is_empty() {
        events.push(Event::Ended { incarnation: spec.incarnation.clone(), ends });
    }
    events
}

/// What the ledger wants of the agent that sent a poll, under a fencing token; `lease` is the time
/// for which the agent may extend its worker's leases.
pub fn poll_orders(ledger: &Ledger, poll: &Poll, epoch: u64, lease: Duration) -> Orders {
    let mut orders = Orders {
        epoch,
        incarnation: None,
        cursor: 0,
        lease: u64::try_from(lease.as_millis()).unwrap_or(u64::MAX),
        starts: Vec::new(),
        stops: Vec::new(),
        classes: Vec::new(),
    };
    let incarnation = poll.worker.as_ref().map(|w| &w.incarnation);
    let Some(worker) = incarnation.and_then(|l| ledger.worker(l)) else { return orders };
    orders.incarnation = Some(worker.spec.incarnation.clone());
    orders.cursor = worker.cursor;
    compare(ledger, worker, poll, &mut orders);
    orders.classes = parts(ledger, worker);
    orders
}

/// Fills in what the worker has to start and to stop.
fn compare(ledger: &Ledger, worker: &Worker, poll: &Poll, orders: &mut Orders) {
    let running: HashSet<RunId> = poll.running.iter().map(|h| h.run).collect();
    let ended = |r: &RunId| poll.ends.iter().any(|e| e.run == *r) || poll.refused.contains(r);
    for run in worker.runs.keys().filter(|r| !ended(r) && !poll.in_flight.contains(r)) {
        if ledger.is_unwanted(*run) {
            orders.stops.push(*run);
        } else if !running.contains(run) {
            orders.starts.extend(start(ledger, *run));
        }
    }
    let strange =
        |r: &&RunId| !worker.runs.contains_key(r) && !poll.in_flight.contains(r) && !ended(r);
    orders.stops.extend(running.iter().filter(strange));
}

/// Runs of a worker that serve or fill.
fn parts(ledger: &Ledger, worker: &Worker) -> Vec<(RunId, QosClass)> {
    let part = |run: &RunId| {
        let step = run.task.step;
        let shape = ledger.job(step.job)?.step_spec(step.step)?;
        match shape.latency_bound {
            _ if shape.best_effort => Some((*run, QosClass::BestEffort)),
            0 => None,
            bound => Some((*run, QosClass::LatencySensitive(bound))),
        }
    };
    worker.runs.keys().filter_map(part).collect()
}

fn start(ledger: &Ledger, run: RunId) -> Option<Start> {
    let job = ledger.job(run.task.step.job)?;
    let live: &ActiveRun = ledger.active_run(run)?;
    Some(Start {
        run,
        text: job.spec.text.clone(),
        checkpoint: live.checkpoint.clone(),
        permit: live.permit.clone(),
    })
}
