//! Estimates of whether a task group can still finish in time.
//!
//! Covers more first-priority gangs than the racks can hold at once, with declared durations that are
//! far off. A job's allowed duration is a multiple of its longest chain of steps, as far as it is known
//! from runs. A job that takes longer loses value, up to a cutoff of
//! three times the allowed duration, after which it has none. Groups that can still meet the cutoff
//! go first, and a gang that has run out of time for a placement in one rack starts across racks as
//! long as that still meets the cutoff.

use {
    crate::{
        id::JobId,
        ledger::{Job, Ledger},
        overload::times::{JobTimes, job_times_of, longest_chain, observed_works},
        plan::{ClusterView, TaskGroup},
    },
    bronzespool_estimate::Work,
    std::time::Duration,
};

/// Factor by which a task slows down away from its data or from its gang.
const REMOTE_SLOWDOWN: u32 = 3;
/// Time that stopping a run takes.
const PREEMPTION_TIME: Duration = Duration::from_millis(900);

/// Durations that decide on the urgency of one task group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Urgency {
    /// Time since the job, or its occurrence, was due.
    pub(super) elapsed: Duration,
    /// Longest chain of steps from this step to the end of the job.
    pub(super) remaining: Duration,
    /// Expected duration of the step itself.
    pub(super) step_duration: Duration,
    /// Allowed duration of the job.
    pub(super) allowed: Duration,
    /// Duration after which the job has no value; without a bound for a step that lasts.
    pub(super) cutoff: Duration,
    /// Whether the group has a turn although its job is past the cutoff.
    pub(super) has_turn: bool,
}

/// Finds the urgency of task groups one after the other. The groups of one occurrence of a job follow
/// each other and share the estimates of all its steps: a job may have hundreds of steps that are ready
/// at once.
pub(super) struct Urgencies<'a> {
    ledger: &'a Ledger,
    view: &'a ClusterView,
    last: Option<OccurrenceTimes>,
}

/// Estimates for one occurrence of a job.
struct OccurrenceTimes {
    id: (JobId, u32),
    works: Vec<Work>,
    times: JobTimes,
}

impl<'a> Urgencies<'a> {
    pub(super) const fn new(ledger: &'a Ledger, view: &'a ClusterView) -> Self {
        Self { ledger, view, last: None }
    }

    pub(super) fn of(&mut self, group: &TaskGroup<'_>) -> Urgency {
        let (job, occurrence) = (group.job, group.step.occurrence);
        let id = (job.spec.id, occurrence);
        let last = self.last.take().filter(|last| last.id == id);
        let known = last.unwrap_or_else(|| {
            let works = observed_works(&job.spec, occurrence, &self.view.estimates);
            let times = job_times_of(self.ledger, &job.spec, &works);
            OccurrenceTimes { id, works, times }
        });
        let known = self.last.insert(known);
        let own = usize::from(group.step.step);
        // A task that lasts has no end that could come too late.
        let cutoff = if group.spec.long_lived { Duration::MAX } else { known.times.cutoff };
        let expected = |i: usize| known.works[i].expected;
        Urgency {
            elapsed: elapsed(job, occurrence, self.view),
            remaining: longest_chain(&job.spec.steps, own, expected),
            step_duration: expected(own),
            allowed: known.times.allowed,
            cutoff,
            has_turn: false,
        }
    }
}

impl Urgency {
    /// Whether the job can no longer finish before its cutoff, wherever it is placed, and the group has
    /// no turn.
    pub(super) fn misses_cutoff(&self) -> bool {
        !self.has_turn && self.elapsed.saturating_add(self.remaining) > self.cutoff
    }

    /// Returns the time in which the rest of the job has to complete: until its allowed duration ends
    /// or, if it will be exceeded, until the cutoff.
    pub(super) fn time_left(&self) -> Duration {
        let is_late = self.elapsed + self.remaining > self.allowed;
        let whole = if is_late { self.cutoff } else { self.allowed };
        whole.saturating_sub(self.elapsed)
    }

    /// Whether there is enough time to wait for capacity before other runs are preempted.
    pub(super) fn can_wait(&self) -> bool {
        self.elapsed < self.allowed.saturating_sub(self.remaining + PREEMPTION_TIME)
    }

    /// Returns the longest time until [`Self::prefers_remote`] holds.
    pub(super) fn remote_wait(&self) -> Duration {
        let near = self.elapsed.saturating_add(self.remaining);
        let far = self.step_duration.saturating_mul(REMOTE_SLOWDOWN - 1).saturating_add(near);
        let in_time = self.allowed.saturating_sub(near);
        if far.saturating_add(in_time) <= self.cutoff {
            return in_time;
        }
        self.cutoff.saturating_sub(near)
    }

    /// Whether to start away from the data or across racks: a local start would exceed the allowed
    /// duration as well, and the remote start meets the cutoff or neither start does.
    pub(super) fn prefers_remote(&self) -> bool {
        let near = self.elapsed.saturating_add(self.remaining);
        let far = self.step_duration.saturating_mul(REMOTE_SLOWDOWN - 1).saturating_add(near);
        near > self.allowed && (far <= self.cutoff || near > self.cutoff)
    }
}

fn elapsed(job: &Job, occurrence: u32, view: &ClusterView) -> Duration {
    let due = job.spec.due(occurrence);
    if due == 0 {
        return view.now.since(job.submitted);
    }
    millis(view.wall.saturating_sub(due))
}

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}
