//! Accelerators that are kept free for jobs of the first priority.
//!
//! Covers a busy service with an urgent gang every second. Stopping other runs for each gang takes
//! about as long as an urgent job may be late, and discards the work of these runs. While a service is
//! busy, lower priorities therefore leave accelerators free: the recent peak of what urgent jobs used
//! at once, less what they use now.
//!
//! Each urgent job renews the peak, so that the peak alone bounds no wait. A task that lasts loses
//! little when it is stopped: only the latest seconds count against it, and it waits for a bounded time
//! in any case. Other steps that have waited for long have their turn, one at a time for each service.

use {
    crate::{
        id::StepId,
        plan::{
            Precedence, TaskGroup,
            capacity::ClusterCapacity,
            turns::{TurnTimes, Turns},
            withheld::{Reason, Withholding},
        },
    },
    bronzespool_core::{HashMap, Time},
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Time for which a peak of urgent demand counts. It is longer than the pauses between urgent jobs,
/// and short enough that the capacity is not idle for long after the last one.
const PEAK_MEMORY: Duration = Duration::from_secs(10);
/// Time for which a peak counts against tasks that last. Callers notice such a task when it has been
/// missing for three seconds beside room for it.
const LASTING_PEAK_MEMORY: Duration = Duration::from_secs(2);
/// Length of the intervals of which the highest value is kept.
const INTERVAL: Duration = Duration::from_millis(250);
/// Longest time for which accelerators are withheld from a task that lasts. It is also the shortest
/// time between two stops of the task that this bound allows.
const LASTING_WAIT_MAX: Duration = Duration::from_secs(10);
/// Time for which accelerators are withheld from another step before it has a turn.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// Turns of the steps that have waited for so long.
const TURN_TIMES: TurnTimes =
    TurnTimes { interval: Duration::from_secs(5), longest: Duration::from_secs(10) };
/// Time after which a step from which nothing is withheld begins to wait anew.
const WAIT_MEMORY: Duration = Duration::from_secs(10);

/// Peak of the accelerators that urgent jobs have recently used at once, by service, and the steps that
/// wait because of it. It is not replicated: a new leader starts without it and observes it within
/// seconds.
#[derive(Clone, Debug, Default)]
pub(super) struct UrgentDemand {
    by_service: HashMap<Arc<str>, RecentPeak>,
    waits: HashMap<StepId, StepWait>,
    turns: Turns,
}

/// Highest value within [`PEAK_MEMORY`].
#[derive(Clone, Debug, Default)]
struct RecentPeak {
    /// The highest value of each interval, with the start of the interval.
    values: VecDeque<(Time, u64)>,
}

/// A step from which accelerators are withheld.
#[derive(Clone, Debug)]
struct StepWait {
    service: Arc<str>,
    since: Time,
    /// When accelerators were last withheld from it.
    seen_at: Time,
    /// Whether its tasks last, so that it needs no turn.
    lasts: bool,
}

impl RecentPeak {
    /// Adds a value.
    fn add(&mut self, now: Time, value: u64) {
        self.values.retain(|(at, _)| now.since(*at) <= PEAK_MEMORY);
        match self.values.back_mut() {
            Some((at, highest)) if now.since(*at) < INTERVAL => *highest = value.max(*highest),
            _ => self.values.push_back((now, value)),
        }
    }

    /// Returns the highest value within the latest `span`.
    fn peak(&self, now: Time, span: Duration) -> u64 {
        let recent = self.values.iter().filter(|(at, _)| now.since(*at) <= span);
        recent.map(|(_, highest)| *highest).max().unwrap_or(0)
    }
}

impl UrgentDemand {
    /// Records what urgent jobs use now, and returns what is to be kept free for them.
    pub(super) fn headroom(
        &mut self,
        precedence: &Precedence,
        capacity: &ClusterCapacity<'_>,
        now: Time,
    ) -> Headroom {
        let mut kept = HashMap::default();
        for (service, used) in urgent_use(precedence, capacity) {
            let recent = self.by_service.entry(Arc::clone(&service)).or_default();
            recent.add(now, used);
            let beyond_use = |span| recent.peak(now, span).saturating_sub(used);
            let (by_ending, by_lasting) =
                (beyond_use(PEAK_MEMORY), beyond_use(LASTING_PEAK_MEMORY));
            kept.insert(service, Kept { by_ending, by_lasting });
        }
        self.waits.retain(|_, wait| now.since(wait.seen_at) < WAIT_MEMORY);
        self.give_turns(now);
        Headroom { kept }
    }

    /// Gives the next turn of each service to the step that has waited the longest. A step whose turn
    /// passes without a place goes behind the others.
    fn give_turns(&mut self, now: Time) {
        for (step, wait) in &mut self.waits {
            if self.turns.has_passed(&wait.service, *step, &TURN_TIMES, now) {
                wait.since = now;
            }
        }
        let mut longest: HashMap<&Arc<str>, (Time, StepId)> = HashMap::default();
        for (step, wait) in self.waits.iter().filter(|(_, w)| !w.lasts) {
            if now.since(wait.since) >= WAIT_MAX {
                let first = longest.entry(&wait.service).or_insert((wait.since, *step));
                *first = (wait.since, *step).min(*first);
            }
        }
        for (service, (_, step)) in longest {
            let waits = |holder| self.waits.contains_key(&holder);
            self.turns.give(service, step, waits, &TURN_TIMES, now);
        }
    }

    /// Notes that a group is started.
    pub(super) fn record_start(&mut self, group: &TaskGroup<'_>, now: Time) {
        let Some(wait) = self.waits.get_mut(&group.step) else { return };
        if wait.lasts {
            return;
        }
        // Its other groups go behind the other steps.
        wait.since = now;
        self.turns.end(group.service, group.step, now);
    }

    /// Notes that starting a group would use accelerators that are kept free. Returns how long these
    /// are withheld from it; none if it may use them.
    pub(super) fn withhold(
        &mut self,
        group: &TaskGroup<'_>,
        kept: u64,
        now: Time,
    ) -> Option<Withholding> {
        let lasts = group.spec.long_lived;
        let wait = self.waits.entry(group.step).or_insert_with(|| StepWait {
            service: Arc::clone(group.service),
            since: now,
            seen_at: now,
            lasts,
        });
        wait.seen_at = now;
        let until = if lasts {
            wait.since.max(group.ready_at) + LASTING_WAIT_MAX
        } else {
            wait.since + WAIT_MAX
        };
        let may_use = if lasts { until <= now } else { self.turns.has(group.service, group.step) };
        (!may_use).then_some(Withholding { reason: Reason::Urgent(kept), until, is_turn: !lasts })
    }
}

/// Returns the accelerators that jobs of the first priority use, by service.
fn urgent_use(precedence: &Precedence, capacity: &ClusterCapacity<'_>) -> HashMap<Arc<str>, u64> {
    let mut sums: HashMap<Arc<str>, u64> = HashMap::default();
    for slot in &capacity.slots {
        capacity.steps.add_runs(slot.worker.runs.len());
        let is_urgent = |job| capacity.ledger.job(job).is_some_and(|j| precedence.priority(j) == 0);
        let urgent = slot.worker.runs.iter().filter(|(run, _)| is_urgent(run.task.step.job));
        let used = urgent.map(|(_, allocation)| allocation.gpu).fold(0, u64::saturating_add);
        let sum = sums.entry(Arc::clone(&slot.worker.spec.service)).or_default();
        *sum = sum.saturating_add(used);
    }
    sums
}

/// Accelerators of one service that are kept free.
#[derive(Clone, Copy, Debug, Default)]
struct Kept {
    /// By tasks that end.
    by_ending: u64,
    /// By tasks that last.
    by_lasting: u64,
}

/// Accelerators to be kept free for urgent jobs, by service.
#[derive(Clone, Debug, Default)]
pub(super) struct Headroom {
    kept: HashMap<Arc<str>, Kept>,
}

impl Headroom {
    /// Returns the accelerators that are kept free and that starting a group would use; zero if it
    /// uses none of them. Jobs of the first priority and jobs inside their guarantee may use them;
    /// other jobs may while their service is idle.
    pub(super) fn used_by(
        &self,
        group: &TaskGroup<'_>,
        precedence: &Precedence,
        capacity: &ClusterCapacity<'_>,
    ) -> u64 {
        let kept = self.kept.get(group.service).copied().unwrap_or_default();
        let kept = if group.spec.long_lived { kept.by_lasting } else { kept.by_ending };
        let is_urgent = precedence.priority(group.job) == 0 || precedence.is_guaranteed(group);
        if kept == 0 || is_urgent || capacity.is_idle(group.service) {
            return 0;
        }
        let need = group.spec.allocation().times(group.tasks.len() as u64).gpu;
        let slots = capacity.slots.iter().filter(|s| s.worker.spec.service == *group.service);
        capacity.steps.add_workers(capacity.slots.len());
        let free = slots.map(|s| s.free.gpu).fold(0, u64::saturating_add);
        if need > 0 && free < need.saturating_add(kept) { kept } else { 0 }
    }
}
