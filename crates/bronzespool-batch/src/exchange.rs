//! Conversion between the leader's ledger and the messages of an agent: a poll becomes events, and
//! the ledger becomes orders.
//!
//! A worker that starts again under its name may still get a start that was sent to its former
//! incarnation. It is registered once it has acknowledged a stop of each run of the former one.

use {
    crate::{
        grant::Grants,
        id::{RunId, WorkerIncarnation},
        ledger::{ActiveRun, Event, Ledger, RunEnd, Worker, WorkerSpec},
        message::{Orders, Poll, QosClass, Start},
        spec::{Resources, Step},
        withdrawal::Withdrawals,
    },
    bronzespool_core::{HashSet, Time},
    std::{sync::Arc, time::Duration},
};

/// Most bytes of texts, checkpoints and permits in the starts of one answer. Each task carries the text of
/// its job; what is left out is ordered by the next answer.
const STARTS_MAX_BYTES: usize = 1 << 20;

/// Returns the events for everything in a poll that the ledger does not hold yet. What the poll takes
/// away counts only if it is newer than the `grants`.
pub fn poll_events(now: Time, ledger: &Ledger, grants: &Grants, poll: &Poll) -> Vec<Event> {
    let mut events = Vec::new();
    let is_newer = |i: &WorkerIncarnation| grants.precede(now, i, poll.id);
    let is_own = |i: &WorkerIncarnation| ledger.worker(i).is_some_and(|w| w.is_beside(&poll.agent));
    for incarnation in poll.gone.iter().filter(|i| is_own(i) && is_newer(i)) {
        events.push(Event::WorkerGone(incarnation.clone()));
    }
    let Some(spec) = &poll.worker else { return events };
    if is_held_elsewhere(ledger, poll) {
        return events;
    }
    let is_newer = grants.precede_refusals(now, &spec.incarnation, poll.id);
    if let Some(former) = ledger.former_worker(&spec.incarnation) {
        let settled = former_run_events(former, poll, is_newer);
        let remain = settled.len() < former.runs.len();
        events.extend(settled);
        if remain {
            return events;
        }
    }
    let current = ledger.worker(&spec.incarnation);
    // A worker that is leaving does not come back in this incarnation.
    let has_changed = |w: &Worker| {
        w.spec != *spec && (spec.leaving || !w.spec.leaving) && !loses_service(ledger, w, spec)
    };
    if !ledger.is_outdated(&spec.incarnation) && current.is_none_or(has_changed) {
        events.push(Event::WorkerUp(Box::new(spec.clone())));
    }
    let Some(current) = current else { return events };
    for run in poll.refused.iter().filter(|r| is_newer && current.runs.contains_key(r)) {
        events.push(Event::Refused { incarnation: spec.incarnation.clone(), run: *run });
    }
    let ends: Vec<_> = poll.ends.iter().filter(|e| e.number > current.cursor).cloned().collect();
    if !ends.is_empty() {
        events.push(Event::Ended { incarnation: spec.incarnation.clone(), ends });
    }
    events
}

/// Whether the worker that a poll names stands beside another agent and may hold runs there. Only that
/// agent can tell of them, until the leases of the worker have ended.
fn is_held_elsewhere(ledger: &Ledger, poll: &Poll) -> bool {
    let name = poll.worker.as_ref().map(|w| &w.incarnation.worker);
    let holder = name.and_then(|n| ledger.worker_named(n));
    holder.is_some_and(|w| !w.is_beside(&poll.agent) && !w.runs.is_empty())
}

/// Whether a report of a known incarnation gives another service, which the configuration does not
/// name, in place of one that it names. The service of an incarnation does not change.
fn loses_service(ledger: &Ledger, worker: &Worker, reported: &WorkerSpec) -> bool {
    let Some(config) = ledger.config() else { return false };
    let is_known = |service: &Arc<str>| config.pools.iter().any(|p| p.name == *service);
    worker.spec.incarnation == reported.incarnation
        && is_known(&worker.spec.service)
        && !is_known(&reported.service)
}

/// Returns the events for the runs of a worker's former incarnation that cannot start on the current
/// one any more, because it has acknowledged a stop of them or lists their ends.
fn former_run_events(former: &Worker, poll: &Poll, is_newer: bool) -> Vec<Event> {
    let incarnation = &former.spec.incarnation;
    let mut events = Vec::new();
    let mut number = former.cursor;
    for run in former.runs.keys() {
        if let Some(end) = poll.ends.iter().find(|e| e.run == *run) {
            number += 1;
            let ends = vec![RunEnd { number, ..end.clone() }];
            events.push(Event::Ended { incarnation: incarnation.clone(), ends });
        } else if is_newer && poll.refused.contains(run) {
            events.push(Event::Refused { incarnation: incarnation.clone(), run: *run });
        }
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
    if is_held_elsewhere(ledger, poll) {
        return orders;
    }
    if let Some(former) = incarnation.and_then(|i| ledger.former_worker(i)) {
        orders.incarnation = incarnation.cloned();
        orders.stops = unsettled_runs(former, poll).collect();
        return orders;
    }
    let Some(worker) = incarnation.and_then(|i| ledger.worker(i)) else { return orders };
    orders.incarnation = Some(worker.spec.incarnation.clone());
    orders.cursor = worker.cursor;
    orders.lease = u64::try_from(lease.as_millis()).unwrap_or(u64::MAX);
    add_starts_and_stops(ledger, worker, poll, &mut orders);
    orders.starts.retain(|s| !withdrawals.takes_run(s.run));
    orders.classes = qos_classes(ledger, worker);
    orders
}

/// Adds the runs that the worker has to start and to stop. A run that does not fit beside what is
/// there, since the capacity has shrunk after it was assigned, is stopped before it starts, and so is
/// each one whose data centre was drained. A stop that the worker acknowledges keeps a late start from
/// being carried out.
fn add_starts_and_stops(ledger: &Ledger, worker: &Worker, poll: &Poll, orders: &mut Orders) {
    let running: HashSet<RunId> = poll.running.iter().map(|s| s.run).collect();
    // The list of a poll that has waited may name runs that have ended since, so it decides only if
    // the capacity is exceeded.
    let is_over = worker.excess() != Resources::default();
    let is_drained = ledger.is_worker_drained(worker);
    let mut room = worker.spec.capacity.minus(&present_resources(ledger, worker, poll));
    let mut start_bytes = 0;
    for run in unsettled_runs(worker, poll) {
        if ledger.is_unwanted(run) {
            orders.stops.push(run);
        } else if !running.contains(&run) {
            let need = worker.runs.get(&run).copied().unwrap_or_default();
            if !is_drained && (!is_over || room.fits(&need)) {
                room = room.minus(&need);
                let ready = start(ledger, run).filter(|_| start_bytes < STARTS_MAX_BYTES);
                start_bytes += ready.as_ref().map_or(0, text_bytes);
                orders.starts.extend(ready);
            } else {
                orders.stops.push(run);
            }
        }
    }
    let unknown = |r: &&RunId| !worker.runs.contains_key(r) && !is_settled(poll, r);
    orders.stops.extend(running.iter().filter(unknown));
}

/// Returns the resources of all runs that a worker lists, or may hold because of a call for them.
fn present_resources(ledger: &Ledger, worker: &Worker, poll: &Poll) -> Resources {
    let listed = poll.running.iter().map(|s| s.run);
    let present: HashSet<RunId> = listed.chain(poll.in_flight.iter().copied()).collect();
    let of_run = |run: &RunId| {
        let step = run.task.step;
        let spec = || ledger.job(step.job)?.step_spec(step.step);
        worker.runs.get(run).copied().or_else(|| spec().map(Step::allocation))
    };
    present.iter().filter_map(of_run).fold(Resources::default(), |sum, r| sum.plus(&r))
}

/// Returns the runs of a worker whose ends a poll does not report and for which no call is in flight.
fn unsettled_runs(worker: &Worker, poll: &Poll) -> impl Iterator<Item = RunId> {
    worker.runs.keys().filter(|r| !is_settled(poll, r)).copied()
}

/// Whether a poll reports the end of a run, or a call for it that is in flight.
fn is_settled(poll: &Poll, run: &RunId) -> bool {
    let has_ended = || poll.ends.iter().any(|e| e.run == *run);
    poll.in_flight.contains(run) || poll.refused.contains(run) || has_ended()
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

fn text_bytes(start: &Start) -> usize {
    let permit = start.permit.as_ref().map_or(0, |p| p.len());
    start.text.len() + start.checkpoint.len() + permit
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
