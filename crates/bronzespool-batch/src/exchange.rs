//! Conversion between the leader's ledger and the messages of an agent: a poll becomes events, and
//! the ledger becomes orders.

use {
    crate::{
        grant::Grants,
        id::{RunId, WorkerIncarnation},
        ledger::{ActiveRun, Event, Ledger, Worker},
        message::{Orders, Poll, QosClass, Start},
        withdrawal::Withdrawals,
    },
    bronzespool_core::HashSet,
    std::time::Duration,
};

/// Returns the events for everything in a poll that the ledger does not hold yet. What the poll takes
/// away counts only if it is newer than the `grants`.
pub fn poll_events(ledger: &Ledger, grants: &Grants, poll: &Poll) -> Vec<Event> {
    let mut events = Vec::new();
    let is_newer = |i: &WorkerIncarnation| grants.precede(i, poll.id);
    for incarnation in poll.gone.iter().filter(|i| ledger.worker(i).is_some() && is_newer(i)) {
        events.push(Event::WorkerGone(incarnation.clone()));
    }
    let Some(spec) = &poll.worker else { return events };
    let current = ledger.worker(&spec.incarnation);
    // A worker that is leaving does not come back in this incarnation.
    let has_changed = |w: &Worker| w.spec != *spec && (spec.leaving || !w.spec.leaving);
    if current.is_none_or(has_changed) {
        events.push(Event::WorkerUp(Box::new(spec.clone())));
    }
    let Some(current) = current else { return events };
    let is_newer = is_newer(&spec.incarnation);
    for run in poll.refused.iter().filter(|r| is_newer && current.runs.contains_key(r)) {
        events.push(Event::Refused { incarnation: spec.incarnation.clone(), run: *run });
    }
    let ends: Vec<_> = poll.ends.iter().filter(|e| e.number > current.cursor).cloned().collect();
    if !ends.is_empty() {
        events.push(Event::Ended { incarnation: spec.incarnation.clone(), ends });
    }
    events
}

/// Returns the orders for the agent that sent a poll. `epoch` is the leader's fencing token, and
/// `lease` is the time for which the agent may extend its worker's leases. What `withdrawals` take
/// away is neither ordered nor leased.
pub fn poll_orders(
    ledger: &Ledger,
    withdrawals: &Withdrawals,
    poll: &Poll,
    epoch: u64,
    lease: Duration,
) -> Orders {
    let mut orders = Orders {
        epoch,
        incarnation: None,
        cursor: 0,
        lease: 0,
        starts: Vec::new(),
        stops: Vec::new(),
        classes: Vec::new(),
    };
    let incarnation = poll.worker.as_ref().map(|w| &w.incarnation);
    let incarnation = incarnation.filter(|i| !withdrawals.takes_worker(i));
    let Some(worker) = incarnation.and_then(|i| ledger.worker(i)) else { return orders };
    orders.incarnation = Some(worker.spec.incarnation.clone());
    orders.cursor = worker.cursor;
    orders.lease = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
    add_starts_and_stops(ledger, worker, poll, &mut orders);
    orders.starts.retain(|s| !withdrawals.takes_run(s.run));
    orders.classes = qos_classes(ledger, worker);
    orders
}

/// Adds the runs that the worker has to start and to stop.
fn add_starts_and_stops(ledger: &Ledger, worker: &Worker, poll: &Poll, orders: &mut Orders) {
    let running: HashSet<RunId> = poll.running.iter().map(|s| s.run).collect();
    let ended = |r: &RunId| poll.ends.iter().any(|e| e.run == *r) || poll.refused.contains(r);
    for run in worker.runs.keys().filter(|r| !ended(r) && !poll.in_flight.contains(r)) {
        if ledger.is_unwanted(*run) {
            orders.stops.push(*run);
        } else if !running.contains(run) {
            orders.starts.extend(start(ledger, *run));
        }
    }
    let unknown =
        |r: &&RunId| !worker.runs.contains_key(r) && !poll.in_flight.contains(r) && !ended(r);
    orders.stops.extend(running.iter().filter(unknown));
}

/// Returns the runs of a worker that are latency-sensitive or best-effort.
fn qos_classes(ledger: &Ledger, worker: &Worker) -> Vec<(RunId, QosClass)> {
    let class = |run: &RunId| {
        let step = run.task.step;
        let spec = ledger.job(step.job)?.step_spec(step.step)?;
        match spec.latency_bound {
            _ if spec.best_effort => Some((*run, QosClass::BestEffort)),
            0 => None,
            bound => Some((*run, QosClass::LatencySensitive(bound))),
        }
    };
    worker.runs.keys().filter_map(class).collect()
}

fn start(ledger: &Ledger, run: RunId) -> Option<Start> {
    let job = ledger.job(run.task.step.job)?;
    let active: &ActiveRun = ledger.active_run(run)?;
    Some(Start {
        run,
        text: job.spec.text.clone(),
        checkpoint: active.checkpoint.clone(),
        permit: active.permit.clone(),
    })
}
