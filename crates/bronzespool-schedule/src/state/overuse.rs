//! Members that use more than they may.

use {
    super::SchedulerState,
    crate::{
        job::{Attempt, JobState},
        record::StopReason,
    },
    bronzespool_core::{Need, Time},
};

/// Share of its allowance, in thousandths, up to which a member's use is tolerated.
const TOLERANCE_PERMILLE: u64 = 1_100;

/// What a running attempt's use calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OveruseAction {
    /// Tell the members to use no more than declared.
    Throttle,
    /// Throttling did not help: stop with this reason.
    Stop(StopReason),
}

impl SchedulerState {
    /// What the last reports of an attempt's members call for.
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

    /// When a member was last seen to use more than it may, if its last report says so.
    fn last_excess(&self, job: &JobState, attempt: &Attempt, member: usize) -> Option<Time> {
        let usage = attempt.usage.get(member).copied().flatten()?;
        if !attempt.members[member].holds() {
            return None;
        }
        let allowed = self.allowance(job, attempt, member);
        let over = |used: u64, may: u64| used * 1_000 > may * TOLERANCE_PERMILLE;
        let cores = over(u64::from(usage.cores), u64::from(allowed.cores));
        (cores || over(usage.memory, allowed.memory)).then_some(usage.seen)
    }

    /// What a member may use: what it declared, or the share that goes with its accelerators.
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
