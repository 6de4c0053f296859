//! Order in which waiting work is placed.
//!
//! Load it answers: bursts of every class at once. Jobs inside their team's guarantee come first,
//! so that a burst of borrowed work cannot delay them; then by priority, then by age. What can
//! earn nothing any more waits for idle room.

use {
    crate::{
        id::JobId,
        ledger::{Job, Ledger},
        plan::{TaskGroup, outlook::Outlook},
    },
    bronzespool_core::{HashMap, HashSet, Time},
};

/// Which jobs are inside their team's guarantee.
#[derive(Clone, Debug, Default)]
pub struct Precedence {
    guaranteed: HashSet<JobId>,
    priorities: HashMap<JobId, u32>,
}

/// Sort key: smaller comes first.
pub(super) type Rank = (bool, bool, u32, Time, u32);

impl Precedence {
    /// Whether a unit's job is inside its team's guarantee.
    pub fn is_guaranteed(&self, unit: &TaskGroup<'_>) -> bool {
        self.holds(unit.job)
    }

    /// Whether a job is inside its team's guarantee.
    pub fn holds(&self, job: &Job) -> bool {
        self.guaranteed.contains(&job.spec.id)
    }

    /// Priority of a job.
    pub fn priority(&self, job: &Job) -> u32 {
        self.priorities.get(&job.spec.id).copied().unwrap_or(u32::MAX)
    }

    /// Place in the order: guaranteed work first, what can earn nothing any more last.
    pub(super) fn rank(&self, unit: &TaskGroup<'_>, outlook: &Outlook) -> Rank {
        let lent = !self.is_guaranteed(unit);
        let hopeless = lent && outlook.is_hopeless();
        (hopeless, lent, self.priority(unit.job), unit.job.submitted, unit.step.occurrence)
    }

    /// Whether a unit may stop runs of another job.
    pub(super) fn may_stop(&self, unit: &TaskGroup<'_>, other: &Job) -> bool {
        if self.is_guaranteed(unit) {
            return !self.holds(other);
        }
        self.priority(other) > self.priority(unit.job)
    }
}

/// Jobs of priority zero, in the order of their submission, as long as they fit their team's
/// guarantee together.
pub(super) fn standing(ledger: &Ledger) -> Precedence {
    let mut standing = Precedence::default();
    let Some(config) = ledger.config() else { return standing };
    let mut active: Vec<&Job> = ledger.jobs().filter(|j| j.phase.is_active()).collect();
    active.sort_by_key(|j| (j.submitted, j.spec.id));
    let mut used = HashMap::default();
    for job in active {
        let priority = ledger.priority(job);
        standing.priorities.insert(job.spec.id, priority);
        let Some(team) = job.spec.team.as_deref().filter(|_| priority == 0) else { continue };
        let sum: &mut u64 = used.entry(team).or_default();
        let need = accelerators(job);
        let whole = sum.saturating_add(need);
        if whole <= config.guaranteed(team) {
            *sum = whole;
            standing.guaranteed.insert(job.spec.id);
        }
    }
    standing
}

/// Accelerators that all tasks of a job take at once.
fn accelerators(job: &Job) -> u64 {
    let each = job.spec.steps.iter().map(|s| s.need.gpu.saturating_mul(u64::from(s.count)));
    each.fold(0, u64::saturating_add)
}
