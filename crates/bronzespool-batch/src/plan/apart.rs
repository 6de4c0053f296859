//! Placement of tasks that may crash their workers.
//!
//! Covers a task that crashes each worker that starts it: the tasks beside it are lost each time. A
//! task under which a worker has crashed is therefore started on a worker where nothing runs, which
//! also shows whether it was at fault. While all workers are in use it waits a little, and then takes
//! the worker on which the least would be lost.

use {
    crate::{
        id::RunId,
        ledger::{CrashLog, Ledger, Worker},
        plan::{
            TaskGroup,
            capacity::{ClusterCapacity, WorkerSlot, is_eligible},
            place::{Placement, tightness},
        },
        spec::Resources,
    },
    bronzespool_core::Time,
    std::time::Duration,
};

/// Time after its start for which a task has its worker to itself. It covers a late start, and the
/// time in which a start crashes its worker.
const ALONE_TIME: Duration = Duration::from_secs(2);
/// Waiting time after which a task does not wait for an idle worker any more.
const IDLE_WAIT: Duration = Duration::from_millis(1_500);
/// Crashes under a task from which it has its worker to itself for as long as it runs: it may crash
/// its workers later than at its start.
const LATE_CRASHES: usize = 2;

/// Whether a worker holds a run that has it to itself.
pub(super) fn is_occupied(ledger: &Ledger, worker: &Worker, now: Time) -> bool {
    let crashes = ledger.crashes();
    !crashes.is_empty() && worker.runs.keys().any(|r| is_alone(ledger, crashes, *r, now))
}

fn is_alone(ledger: &Ledger, crashes: &CrashLog, run: RunId, now: Time) -> bool {
    let Some(evidence) = crashes.of_task(run.task) else { return false };
    let started_at = ledger.active_run(run).map(|r| r.assigned_at);
    let is_new = started_at.is_some_and(|at| now.since(at) < ALONE_TIME);
    is_new || evidence.crashes.len() >= LATE_CRASHES
}

/// Whether a group waits for idle workers for now.
pub(super) fn may_wait(group: &TaskGroup<'_>, now: Time) -> bool {
    now.since(group.ready_at) < IDLE_WAIT
}

/// A worker that a placement may use.
struct WorkerOption {
    slot: usize,
    free: Resources,
    tasks_left: u32,
    /// Whether a task of the group is placed on it.
    chosen: bool,
}

/// Places a group on workers on which nothing else runs, or, if `shared`, on those on which the
/// least does. Tasks of a gang share a worker only if there are not enough.
pub(super) fn place_apart(
    group: &TaskGroup<'_>,
    capacity: &ClusterCapacity<'_>,
    shared: bool,
) -> Option<Placement> {
    let need = group.spec.allocation();
    let usable = |slot: &WorkerSlot<'_>| {
        is_eligible(slot) && capacity.can_run(group, slot) && (shared || slot.is_idle())
    };
    capacity.steps.add_workers(capacity.slots.len());
    let slots = capacity.slots.iter().enumerate().filter(|(_, s)| usable(s));
    let mut options: Vec<WorkerOption> = slots
        .map(|(slot, s)| WorkerOption {
            slot,
            free: s.free,
            tasks_left: s.remaining_tasks(group),
            chosen: false,
        })
        .collect();
    let mut placement = Vec::with_capacity(group.tasks.len());
    for task in &group.tasks {
        capacity.steps.add_workers(options.len());
        let fits = |o: &&mut WorkerOption| o.tasks_left > 0 && o.free.fits(&need);
        let key = |o: &&mut WorkerOption| {
            let slot = &capacity.slots[o.slot];
            let evidence = capacity.ledger.crashes().of_task(group.step.task(task.index));
            let crashed_before = evidence.is_some_and(|e| e.includes(&slot.worker.spec.agent));
            let is_remote =
                group.spec.rack.as_deref().is_some_and(|r| r != slot.worker.spec.rack());
            let at_stake = slot.worker.used().weight();
            let left = tightness(&o.free, &need);
            (crashed_before, o.chosen, at_stake, is_remote, slot.health, left)
        };
        let best = options.iter_mut().filter(fits).min_by_key(key)?;
        best.free = best.free.minus(&need);
        best.tasks_left -= 1;
        best.chosen = true;
        placement.push(capacity.slots[best.slot].incarnation().clone());
    }
    Some(placement)
}
