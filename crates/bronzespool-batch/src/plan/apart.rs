//! Placement of tasks that may crash their workers.
//!
//! Covers a task that crashes each worker that starts it: the tasks beside it are lost each time. A
//! task under which a worker has crashed is therefore started on a worker where nothing runs, which
//! also shows whether it was at fault. While all workers are in use it waits a little, and then takes
//! the worker on which the least would be lost.
//!
//! A worker is closed to other tasks only for a while after such a start. A task that lasts would
//! otherwise withhold all that it does not use itself for as long as it runs, also from tasks that can
//! run nowhere else. After that its worker is chosen last.

use {
    crate::{
        id::RunId,
        ledger::{Ledger, SURVIVED, Worker},
        plan::{
            ClusterView, TaskGroup,
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
/// Longest time for which a task under [`LATE_CRASHES`] has its worker to itself while the worker has
/// not reported its run: a start without an answer may be carried out this much later.
const UNREPORTED_MAX: Duration = Duration::from_secs(10);
/// Waiting time after which a task does not wait for an idle worker any more.
const IDLE_WAIT: Duration = Duration::from_millis(1_500);
/// Waiting time after which a task under which a worker has crashed joins another such task.
const JOIN_WAIT: Duration = Duration::from_secs(3);
/// Waiting time after which another task may use what is withheld from it on a closed worker.
const CLOSED_WAIT: Duration = Duration::from_secs(2);
/// Crashes under a task from which other tasks avoid its worker: it may crash its workers later than
/// at its start.
const LATE_CRASHES: usize = 2;

/// Whether other tasks may be started beside the runs of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Sharing {
    /// They may.
    Open,
    /// They may if there is no other worker for them.
    Last,
    /// A run has the worker to itself.
    Closed,
}

/// Returns whether other tasks may be started on a worker.
pub(super) fn sharing(ledger: &Ledger, worker: &Worker, view: &ClusterView) -> Sharing {
    if ledger.crashes().is_empty() {
        return Sharing::Open;
    }
    let beside = worker.runs.keys().map(|run| sharing_beside(ledger, *run, view));
    beside.max().unwrap_or(Sharing::Open)
}

fn sharing_beside(ledger: &Ledger, run: RunId, view: &ClusterView) -> Sharing {
    let Some(evidence) = ledger.crashes().of_task(run.task) else { return Sharing::Open };
    let Some(active) = ledger.active_run(run) else { return Sharing::Open };
    let age = view.now.since(active.assigned_at);
    let is_late = evidence.crashes.len() >= LATE_CRASHES;
    let is_unreported = !view.progress.contains_key(&run) && age < UNREPORTED_MAX;
    if age < ALONE_TIME || is_late && is_unreported {
        return Sharing::Closed;
    }
    if is_late && age < SURVIVED { Sharing::Last } else { Sharing::Open }
}

/// Whether a group waits for idle workers for now.
pub(super) fn may_wait(group: &TaskGroup<'_>, now: Time) -> bool {
    now.since(group.ready_at) < IDLE_WAIT
}

/// Whether a group has waited so long that it may use closed workers.
pub(super) fn may_use_closed(group: &TaskGroup<'_>, now: Time) -> bool {
    now.since(group.ready_at) >= CLOSED_WAIT
}

/// A worker that a placement may use.
struct WorkerOption {
    slot: usize,
    free: Resources,
    tasks_left: u32,
    /// Whether a task of the group is placed on it.
    chosen: bool,
    /// Whether something else has just been started on it.
    is_busy: bool,
}

/// Which workers a placement may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scope {
    /// Those on which nothing runs, on machines on which the group has crashed no worker.
    IdleElsewhere,
    /// All on such machines.
    Elsewhere,
    /// All.
    Any,
    /// All, also those that another task has to itself.
    Closed,
}

/// Places a group on workers on which nothing else runs, or, unless it `waits` for these, on those on
/// which the least does.
pub(super) fn place_apart(
    group: &TaskGroup<'_>,
    capacity: &ClusterCapacity<'_>,
    now: Time,
    waits: bool,
) -> Option<Placement> {
    let may_join = now.since(group.ready_at) >= JOIN_WAIT;
    let scopes: &[Scope] = match (waits, may_join) {
        (true, _) => &[Scope::IdleElsewhere],
        (false, false) => &[Scope::IdleElsewhere, Scope::Elsewhere, Scope::Any],
        (false, true) => &[Scope::IdleElsewhere, Scope::Elsewhere, Scope::Any, Scope::Closed],
    };
    scopes.iter().find_map(|scope| place_in(group, capacity, now, *scope))
}

/// Whether a run on a worker has begun so recently that a crash could be its fault as well.
fn has_new_run(slot: &WorkerSlot<'_>, ledger: &Ledger, now: Time) -> bool {
    let started_at = |run: &RunId| ledger.active_run(*run).map(|r| r.assigned_at);
    let is_new = |at: Time| now.since(at) < ALONE_TIME;
    slot.free != slot.worker.free() || slot.worker.runs.keys().filter_map(started_at).any(is_new)
}

/// Places a group. Tasks of a gang share a worker only if there are not enough.
fn place_in(
    group: &TaskGroup<'_>,
    capacity: &ClusterCapacity<'_>,
    now: Time,
    scope: Scope,
) -> Option<Placement> {
    let need = group.spec.allocation();
    let crashes = capacity.ledger.crashes();
    let has_crashed = |slot: &WorkerSlot<'_>| {
        let tasks = group.tasks.iter().filter_map(|t| crashes.of_task(group.step.task(t.index)));
        tasks.into_iter().any(|e| e.includes(&slot.worker.spec.agent))
    };
    let is_in_scope = |slot: &WorkerSlot<'_>| match scope {
        Scope::IdleElsewhere => slot.is_idle() && !has_crashed(slot),
        Scope::Elsewhere => !has_crashed(slot),
        Scope::Any | Scope::Closed => true,
    };
    let free = |slot: &WorkerSlot<'_>| match scope {
        Scope::Closed => slot.free.plus(&slot.closed),
        _ => slot.free,
    };
    let usable = |slot: &WorkerSlot<'_>| {
        is_eligible(slot) && capacity.can_run(group, slot) && is_in_scope(slot)
    };
    capacity.steps.add_workers(capacity.slots.len());
    let slots = capacity.slots.iter().enumerate().filter(|(_, s)| usable(s));
    let mut options: Vec<WorkerOption> = slots
        .map(|(slot, s)| WorkerOption {
            slot,
            free: free(s),
            tasks_left: s.remaining_tasks(group),
            chosen: false,
            is_busy: has_new_run(s, capacity.ledger, now),
        })
        .collect();
    let mut placement = Vec::with_capacity(group.tasks.len());
    for _ in &group.tasks {
        capacity.steps.add_workers(options.len());
        let fits = |o: &&mut WorkerOption| o.tasks_left > 0 && o.free.fits(&need);
        let key = |o: &&mut WorkerOption| {
            let slot = &capacity.slots[o.slot];
            let is_remote =
                group.spec.rack.as_deref().is_some_and(|r| r != slot.worker.spec.rack());
            let at_stake = slot.worker.used().weight();
            let left = tightness(&o.free, &need);
            (o.chosen, o.is_busy, at_stake, is_remote, slot.health, left)
        };
        let best = options.iter_mut().filter(fits).min_by_key(key)?;
        best.free = best.free.minus(&need);
        best.tasks_left -= 1;
        best.chosen = true;
        placement.push(capacity.slots[best.slot].incarnation().clone());
    }
    Some(placement)
}
