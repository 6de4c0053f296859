//! Detection of members that use more resources than allowed.

use {
    super::SchedulerState,
    crate::{
        job::{Attempt, JobState},
        record::StopReason,
    },
    bronzespool_core::{Need, Time},
};

/// Usage up to this share of a member's allowance is tolerated, in thousandths.
const TOLERANCE_PERMILLE: u64 = 1_100;

/// Action against an attempt that uses more than allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OveruseAction {
    /// Tell the members to use no more than declared.
    Throttle,
    /// Stop the attempt with this reason, since throttling had no effect.
    Stop(StopReason),
}

impl SchedulerState {
    /// Action required by the last usage reports of the members, if any.
    pub(crate) fn overuse(&self, job: &JobState, attempt: &Attempt) -> Option<OveruseAction> {
        attempt.started?;
        let last =
            (0..attempt.cells.len()).filter_map(|m| self.last_excess(job, attempt, m)).max()?;
        let Some(throttled) = attempt.throttled else {
            return Some(OveruseAction::Throttle);
        };
        let in_delay = last <= throttled + self.durable.settings.throttle_delay;
        if in_delay || !job.spec.preemptible() {
            return None;
        }
        Some(OveruseAction::Stop(StopReason::Overuse))
    }

    /// Time of the last usage report of a member, if that exceeds its allowance.
    fn last_excess(&self, job: &JobState, attempt: &Attempt, member: usize) -> Option<Time> {
        let usage = attempt.usage.get(member).copied().flatten()?;
        if !attempt.members[member].holds() {
            return None;
        }
        let allowed = self.allowance(job, attempt, member);
        let over = |used: u64, limit: u64| used * 1_000 > limit * TOLERANCE_PERMILLE;
        let cores = over(u64::from(usage.cores), u64::from(allowed.cores));
        (cores || over(usage.memory, allowed.memory)).then_some(usage.seen)
    }

    /// Resources that a member may use: for each one, the maximum of the declared amount and the
    /// share that corresponds to its accelerators.
    fn allowance(&self, job: &JobState, attempt: &Attempt, member: usize) -> Need {
        let need = job.spec.need;
        let cell = &attempt.cells[member];
        let Some(slot) = self.index.occupancy.slot_of(&cell.instance) else {
            return need;
        };
        let worker = self.index.occupancy.slot(slot);
        let part = |all: u64| all * u64::from(cell.accels) / u64::from(worker.accels().max(1));
        let cores = u32::try_from(part(worker.cores)).unwrap_or(u32::MAX);
        Need { cores: need.cores.max(cores), memory: need.memory.max(part(worker.memory)), ..need }
    }
}
