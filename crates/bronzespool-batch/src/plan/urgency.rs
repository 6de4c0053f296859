//! Estimates of whether a task group can still finish in time.
//!
//! Covers more first-priority gangs than the racks can hold at once. A job's allowed duration is a
//! multiple of its longest chain of steps. A job that takes longer loses value, up to a cutoff of
//! three times the allowed duration, after which it has none. Groups that can still meet the cutoff
//! go first, and a gang that has run out of time for a placement in one rack starts across racks as
//! long as that still meets the cutoff.

use {
    crate::{
        ledger::{Job, Ledger},
        plan::{ClusterView, TaskGroup},
        spec::Step,
    },
    std::time::Duration,
};

/// Multiple of the allowed duration after which a finished job has no value.
const CUTOFF_FACTOR: u32 = 3;
/// Factor by which a task slows down away from its data or from its gang.
const REMOTE_SLOWDOWN: u32 = 3;
/// Time that stopping a run takes.
const PREEMPTION_TIME: Duration = Duration::from_millis(900);
/// Allowed duration for jobs of a removed queue, in thousandths of the longest chain of steps.
const DEFAULT_SLACK_THOUSANDTHS: u64 = 2_000;

/// Durations that decide on the urgency of one task group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Urgency {
    /// Time since the job, or its occurrence, was due.
    pub(super) elapsed: Duration,
    /// Longest chain of steps from this step to the end of the job.
    pub(super) remaining: Duration,
    /// Declared duration of the step itself.
    pub(super) step_duration: Duration,
    /// Allowed duration of the job.
    pub(super) allowed: Duration,
}

impl Urgency {
    pub(super) fn of(ledger: &Ledger, group: &TaskGroup<'_>, view: &ClusterView) -> Self {
        let job = group.job;
        let config = ledger.config();
        let queue = config.and_then(|c| c.queue(&job.spec.queue));
        let (slack, target) =
            queue.map_or((DEFAULT_SLACK_THOUSANDTHS, 0), |q| (q.slack, q.latency_target));
        let whole = chain(&job.spec.steps, 0);
        Self {
            elapsed: elapsed(job, group.step.occurrence, view),
            remaining: chain(&job.spec.steps, group.step.step),
            step_duration: millis(group.spec.estimate),
            allowed: millis((whole.as_millis() as u64).saturating_mul(slack) / 1_000 + target),
        }
    }

    /// Whether the job can no longer finish before its cutoff, wherever it is placed.
    pub(super) fn misses_cutoff(&self) -> bool {
        self.elapsed + self.remaining > self.allowed * CUTOFF_FACTOR
    }

    /// Returns the time in which the rest of the job has to complete: until its allowed duration ends
    /// or, if it will be exceeded, until the cutoff.
    pub(super) fn time_left(&self) -> Duration {
        let is_late = self.elapsed + self.remaining > self.allowed;
        let whole = if is_late { self.allowed * CUTOFF_FACTOR } else { self.allowed };
        whole.saturating_sub(self.elapsed)
    }

    /// Whether there is enough time to wait for capacity before other runs are preempted.
    pub(super) fn can_wait(&self) -> bool {
        self.elapsed < self.allowed.saturating_sub(self.remaining + PREEMPTION_TIME)
    }

    /// Whether to start away from the data or across racks: a local start would exceed the allowed
    /// duration as well, and the remote start meets the cutoff or neither start does.
    pub(super) fn prefers_remote(&self) -> bool {
        let near = self.elapsed + self.remaining;
        let far = near + self.step_duration * (REMOTE_SLOWDOWN - 1);
        near > self.allowed && (far <= self.allowed * CUTOFF_FACTOR || self.misses_cutoff())
    }
}

fn elapsed(job: &Job, occurrence: u32, view: &ClusterView) -> Duration {
    let due = job.spec.due(occurrence);
    if due == 0 {
        return view.now.since(job.submitted);
    }
    millis(view.wall.saturating_sub(due))
}

/// Returns the longest chain of declared durations that begins with a step; for the first step, the
/// longest chain of the whole job.
fn chain(steps: &[Step], from: u16) -> Duration {
    let mut ends: Vec<u64> = vec![0; steps.len()];
    let mut longest = 0;
    for (i, step) in steps.iter().enumerate() {
        let before = step.depends_on.iter().filter_map(|s| ends.get(usize::from(*s)));
        let begin = before.max().copied().unwrap_or(0);
        let counts = i == usize::from(from) || begin > 0 || from == 0;
        ends[i] = if counts { begin.saturating_add(step.estimate) } else { 0 };
        longest = longest.max(ends[i]);
    }
    millis(longest)
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
