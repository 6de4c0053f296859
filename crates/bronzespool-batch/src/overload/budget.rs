//! Budget of preemptions outside guarantees while a service is overloaded.
//!
//! Covers bursts of first-priority gangs that exceed the workers' capacity. Without a bound, each
//! gang stops the runs that were started since the previous gang ended, and most work is done twice.
//! A stop has to gain more work than it discards, no task is stopped twice, and the number of stops
//! within a minute is bounded. Jobs inside their team's guarantee are exempt.

use {
    crate::{
        id::{RunId, StepId},
        ledger::{Job, Ledger},
        overload::times::step_work,
        plan::ClusterView,
        spec::Step,
    },
    bronzespool_core::{HashMap, HashSet, Time},
    std::{collections::VecDeque, sync::Arc, time::Duration},
};

/// Time that a stop takes, during which the capacity does no work.
const STOP_MILLIS: u64 = 900;
/// Time that a stopped run takes to start again and to restore its state.
const RESTORE_MILLIS: u64 = 300;
/// Divisor of the work that a job contributes after its allowed duration: it then counts for a
/// quarter, as callers value it.
const LATE_DIVISOR: u64 = 4;
/// Span over which stops are counted.
const SPAN: Duration = Duration::from_secs(60);
const SECOND: Duration = Duration::from_secs(1);
/// Share of a service's runs within the span that may be stopped, as a divisor: callers accept that
/// one run in eight is stopped during an overload or a failure.
const RUNS_PER_STOP: usize = 8;

/// Durations of a waiting task group that decide what its start gains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Time since the job was submitted, or its occurrence was due.
    pub elapsed: Duration,
    /// Longest chain of steps from this one on.
    pub remaining: Duration,
    /// Duration within which the job counts in full.
    pub allowed: Duration,
}

/// Returns the discarded work up to which stopping runs for some tasks of a step gains more than it
/// loses, in thousandths of a core times milliseconds.
pub fn loss_max(job: &Job, step: &Step, tasks: u64, view: &ClusterView, timing: &Timing) -> u64 {
    let work = step_work(&job.spec.queue, step, &view.estimates).expected.as_millis() as u64;
    let contributed = step.allocation().times(tasks).weight().saturating_mul(work);
    let stop = Duration::from_millis(STOP_MILLIS);
    let in_time = timing.elapsed.saturating_add(stop + timing.remaining) <= timing.allowed;
    let gain = if in_time { contributed } else { contributed / LATE_DIVISOR };
    gain.saturating_sub(1)
}

/// Returns the milliseconds that stopping one run costs: its work since its last checkpoint, unless it
/// lasts, the stop and the restart.
pub fn stop_millis(ledger: &Ledger, view: &ClusterView, run: RunId, step: &Step) -> u64 {
    if step.long_lived {
        return STOP_MILLIS + RESTORE_MILLIS;
    }
    let saved = view.overload.saved_at(run).filter(|_| step.checkpoints);
    let since = saved.or_else(|| ledger.active_run(run).map(|r| r.assigned_at));
    let unsaved = since.map_or(0, |s| view.now.since(s).as_millis() as u64);
    unsaved.saturating_add(STOP_MILLIS + RESTORE_MILLIS)
}

/// Whether an earlier run of a task ended without a result of its own: it was stopped, its lease
/// ended or its gang broke. It follows from the ledger, so that it holds for each leader.
pub fn was_interrupted(job: &Job, run: RunId) -> bool {
    let step = run.task.step;
    let is_gang = job.step_spec(step.step).is_some_and(|s| s.gang);
    let failures_of_gang = job.step(step.occurrence, step.step).map_or(0, |s| s.failures);
    let Some(task) = job.task(run.task) else { return false };
    let failures = if is_gang { failures_of_gang } else { task.failures };
    let active = task.active_runs.len() as u32;
    task.last_run > failures.saturating_add(active)
}

/// Preemptions since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PreemptionCounts {
    /// Runs stopped for jobs inside their team's guarantee.
    pub guarantee: u64,
    /// Runs stopped for jobs of a higher priority.
    pub priority: u64,
    /// Searches that found runs to stop after the budget of the last minute was spent.
    pub withheld: u64,
}

/// Runs that began and runs that were stopped at one time.
#[derive(Clone, Copy, Debug)]
struct Change {
    at: Time,
    starts: usize,
    stops: usize,
}

/// Starts and stops of the last minute, by service. A new leader counts from zero, so that the bound
/// may be reached once more within the minute of the change.
#[derive(Clone, Debug, Default)]
pub struct StopBudget {
    recent: HashMap<Arc<str>, VecDeque<Change>>,
    counts: PreemptionCounts,
}

impl StopBudget {
    /// Returns the preemptions since the process began.
    pub const fn counts(&self) -> PreemptionCounts {
        self.counts
    }

    /// Counts runs that are stopped.
    pub fn count(&mut self, runs: usize, is_guaranteed: bool) {
        let count =
            if is_guaranteed { &mut self.counts.guarantee } else { &mut self.counts.priority };
        *count += runs as u64;
    }

    /// Counts runs that begin.
    pub fn count_starts(&mut self, service: &Arc<str>, starts: usize, now: Time) {
        self.add(service, Change { at: now, starts, stops: 0 });
    }

    /// Adds a change, merged with those of the same second to bound the memory.
    fn add(&mut self, service: &Arc<str>, change: Change) {
        let recent = self.recent.entry(Arc::clone(service)).or_default();
        while recent.front().is_some_and(|c| change.at.since(c.at) >= SPAN) {
            recent.pop_front();
        }
        match recent.back_mut().filter(|c| change.at.since(c.at) < SECOND) {
            Some(last) => {
                last.starts += change.starts;
                last.stops += change.stops;
            }
            None => recent.push_back(change),
        }
    }

    /// Takes the stops of some runs, and of the whole gangs that they belong to, from the budget of
    /// a service. Returns false and takes nothing if it is spent. Where nothing was stopped within
    /// the last minute, the runs of any one group may be.
    pub fn take(&mut self, ledger: &Ledger, service: &Arc<str>, runs: &[RunId], now: Time) -> bool {
        if runs.is_empty() {
            return true;
        }
        let stops = with_gangs(ledger, runs);
        let recent = self.recent.get(service).into_iter().flatten();
        let recent = recent.filter(|c| now.since(c.at) < SPAN);
        let (starts, spent) = recent.fold((0, 0), |(a, b), c| (a + c.starts, b + c.stops));
        let most = runs_within_span(ledger, service, starts, now) / RUNS_PER_STOP;
        if spent > 0 && spent + stops > most {
            self.counts.withheld += 1;
            return false;
        }
        self.add(service, Change { at: now, starts: 0, stops });
        true
    }
}

/// Returns the number of runs that a service has had within the span. `starts` are those that this
/// leader has begun.
fn runs_within_span(ledger: &Ledger, service: &Arc<str>, starts: usize, now: Time) -> usize {
    let of_service = ledger.workers().filter(|w| w.spec.service == *service);
    let (mut running, mut older) = (0, 0);
    for run in of_service.flat_map(|w| w.runs.keys()) {
        let since = ledger.active_run(*run).map_or(now, |r| r.assigned_at);
        running += 1;
        older += usize::from(now.since(since) >= SPAN);
    }
    running.max(older + starts)
}

/// Returns the number of runs that end if some runs are stopped.
fn with_gangs(ledger: &Ledger, runs: &[RunId]) -> usize {
    let mut gangs: HashSet<StepId> = HashSet::default();
    let count = |run: &RunId| {
        let step = run.task.step;
        let spec = ledger.job(step.job).and_then(|j| j.step_spec(step.step));
        match spec {
            Some(spec) if spec.gang && gangs.insert(step) => spec.count as usize,
            Some(spec) if spec.gang => 0,
            _ => 1,
        }
    };
    runs.iter().map(count).sum()
}
