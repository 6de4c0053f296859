//! Until when work is worth something.
//!
//! Load it answers: more first-priority gangs at once than racks can take. A job may take a
//! multiple of its longest chain of work, and earns less up to three times that; what can still
//! be in time goes first, and a gang that has missed its time in one rack starts across racks as
//! long as that still earns.

use {
    crate::{
        ledger::{Job, Ledger},
        plan::{ClusterView, TaskGroup},
        spec::Step,
    },
    std::time::Duration,
};

/// Multiple of the allowed duration after which a job earns nothing.
const LATE: u32 = 3;
/// Multiple of its duration that a task takes far from its data or its gang.
const FAR: u32 = 3;
/// Time that stopping a run takes.
const STOP: Duration = Duration::from_millis(900);
/// Allowed duration of a queue that is gone, in thousandths of the chain of work.
const SLACK: u64 = 2_000;

/// Times of one unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Outlook {
    /// Time since the job, or its occurrence, was due.
    pub(super) elapsed: Duration,
    /// Longest chain of work from this step to the end of the job.
    pub(super) rest: Duration,
    /// Duration of the step itself.
    pub(super) own: Duration,
    /// Allowed duration of the job.
    pub(super) aim: Duration,
}

impl Outlook {
    pub(super) fn of(ledger: &Ledger, unit: &TaskGroup<'_>, scene: &ClusterView) -> Self {
        let job = unit.job;
        let config = ledger.config();
        let queue = config.and_then(|c| c.queue(&job.spec.queue));
        let (slack, target) = queue.map_or((SLACK, 0), |q| (q.slack, q.latency_target));
        let whole = chain(&job.spec.steps, 0);
        Self {
            elapsed: elapsed(job, unit.step.occurrence, scene),
            rest: chain(&job.spec.steps, unit.step.step),
            own: millis(unit.shape.estimate),
            aim: millis((whole.as_millis() as u64).saturating_mul(slack) / 1_000 + target),
        }
    }

    /// Whether the job can no longer earn anything, however it is placed.
    pub(super) fn is_hopeless(&self) -> bool {
        self.elapsed + self.rest > self.aim * LATE
    }

    /// Whether there is time to wait for room before others are stopped for it.
    pub(super) fn has_time(&self) -> bool {
        self.elapsed < self.aim.saturating_sub(self.rest + STOP)
    }

    /// Whether to start far from the data or the gang's other members: a near start would be late
    /// too, and the far one still earns, or neither does.
    pub(super) fn is_far_better(&self) -> bool {
        let near = self.elapsed + self.rest;
        let far = near + self.own * (FAR - 1);
        near > self.aim && (far <= self.aim * LATE || self.is_hopeless())
    }
}

fn elapsed(job: &Job, occurrence: u32, scene: &ClusterView) -> Duration {
    let due = job.spec.due(occurrence);
    if due == 0 {
        return scene.now.since(job.submitted);
    }
    millis(scene.wall.saturating_sub(due))
}

/// Longest chain of declared durations from a step on.
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
