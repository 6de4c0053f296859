//! Order in which waiting task groups are placed.
//!
//! Covers simultaneous bursts in all queues. Jobs inside their team's guarantee come first, so that
//! a burst of borrowed work cannot delay them; the rest is ordered by priority, then by age. Jobs
//! outside their guarantee that can no longer finish before their cutoff come last and use idle
//! capacity.

use {
    crate::{
        id::JobId,
        ledger::{Job, Ledger},
        plan::{TaskGroup, urgency::Urgency},
        spec::JobSpec,
    },
    bronzespool_core::{HashMap, HashSet, Time},
};

/// Guarantee status and priority of each active job.
#[derive(Clone, Debug, Default)]
pub struct Precedence {
    guaranteed: HashSet<JobId>,
    priorities: HashMap<JobId, u32>,
}

/// Sort key: smaller comes first.
pub(super) type Rank = (bool, bool, u32, bool, Time, u32);

impl Precedence {
    /// Whether a group's job is inside its team's guarantee.
    pub fn is_guaranteed(&self, group: &TaskGroup<'_>) -> bool {
        self.is_job_guaranteed(group.job)
    }

    /// Whether a job is inside its team's guarantee.
    pub fn is_job_guaranteed(&self, job: &Job) -> bool {
        self.guaranteed.contains(&job.spec.id)
    }

    /// Returns the priority of a job; zero comes first.
    pub fn priority(&self, job: &Job) -> u32 {
        self.priorities.get(&job.spec.id).copied().unwrap_or(u32::MAX)
    }

    /// Returns the sort key of a group: guaranteed jobs first, other jobs past their cutoff last.
    /// Among groups of the same precedence those come first for which capacity is being released.
    pub(super) fn rank(&self, group: &TaskGroup<'_>, urgency: &Urgency, held: bool) -> Rank {
        let borrowed = !self.is_guaranteed(group);
        let too_late = borrowed && urgency.misses_cutoff();
        let priority = self.priority(group.job);
        (too_late, borrowed, priority, !held, group.job.submitted, group.step.occurrence)
    }

    /// Whether a group may preempt runs of another job.
    pub(super) fn may_stop(&self, group: &TaskGroup<'_>, other: &Job) -> bool {
        if self.is_guaranteed(group) {
            return !self.is_job_guaranteed(other);
        }
        self.priority(other) > self.priority(group.job)
    }
}

/// Computes the precedence of all active jobs. Jobs of priority zero are guaranteed in the order of
/// their submission, as long as all of them fit into their team's guarantee.
pub(crate) fn precedence_of(ledger: &Ledger) -> Precedence {
    let mut precedence = Precedence::default();
    let Some(config) = ledger.config() else { return precedence };
    let mut active: Vec<&Job> = ledger.jobs().filter(|j| j.phase.is_active()).collect();
    active.sort_by_key(|j| (j.submitted, j.spec.id));
    // Of teams with one name the first counts, as in the configuration.
    let mut guaranteed: HashMap<&str, u64> = HashMap::default();
    for team in &config.teams {
        guaranteed.entry(&team.name).or_insert(team.guaranteed);
    }
    let mut used = HashMap::default();
    for job in active {
        let priority = ledger.priority(job);
        precedence.priorities.insert(job.spec.id, priority);
        let Some(team) = job.spec.team.as_deref().filter(|_| priority == 0) else { continue };
        let sum: &mut u64 = used.entry(team).or_default();
        let need = accelerators(&job.spec);
        let whole = sum.saturating_add(need);
        if whole <= guaranteed.get(team).copied().unwrap_or(0) {
            *sum = whole;
            precedence.guaranteed.insert(job.spec.id);
        }
    }
    precedence
}

/// Whether a job that is not in the ledger would be inside its team's guarantee.
pub(crate) fn would_be_guaranteed(ledger: &Ledger, spec: &JobSpec) -> bool {
    let Some(config) = ledger.config() else { return false };
    let priority = config.queue(&spec.queue).map(|q| q.priority);
    let Some(team) = spec.team.as_deref().filter(|_| priority == Some(0)) else { return false };
    let precedence = precedence_of(ledger);
    let of_team = ledger.jobs().filter(|j| j.spec.team.as_deref() == Some(team));
    let guaranteed = of_team.filter(|j| precedence.is_job_guaranteed(j));
    let used = guaranteed.map(|j| accelerators(&j.spec)).fold(0, u64::saturating_add);
    used.saturating_add(accelerators(spec)) <= config.guaranteed(team)
}

/// Returns the accelerators that all tasks of a job take if they run at once.
fn accelerators(spec: &JobSpec) -> u64 {
    let each = spec.steps.iter().map(|s| s.need.gpu.saturating_mul(u64::from(s.count)));
    each.fold(0, u64::saturating_add)
}
