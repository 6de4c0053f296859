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
const TOLERANCE: u64 = 1_100;

/// What a running attempt's use calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Overuse {
    /// Tell the members to use no more than declared.
    Throttle,
    /// Throttling did not help: stop with this reason.
    Stop(StopReason),
}

impl SchedulerState {
    /// What the last reports of an attempt's members call for.
    pub(crate) fn overuse(&self, job: &JobState, attempt: &Attempt) -> Option<Overuse> {
        attempt.started?;
        let last = (0..attempt.cells.len()).filter_map(|m| self.excess(job, attempt, m)).max()?;
        let Some(throttled) = attempt.throttled else {
            return Some(Overuse::Throttle);
        };
        let helps = last <= throttled + self.durable.settings.throttle_delay;
        if helps || !job.spec.preemptible() {
            return None;
        }
        Some(Overuse::Stop(StopReason::Overuse))
    }

    /// When a member was last seen to use more than it may, if its last report says so.
    fn excess(&self, job: &JobState, attempt: &Attempt, member: usize) -> Option<Time> {
        let usage = attempt.usage.get(member).copied().flatten()?;
        if !attempt.members[member].holds() {
            return None;
        }
        let allowed = self.allowance(job, attempt, member);
        let over = |used: u64, may: u64| used * 1_000 > may * TOLERANCE;
        let cores = over(u64::from(usage.cores), u64::from(allowed.cores));
        (cores || over(usage.memory, allowed.memory)).then_some(usage.seen)
    }

    /// What a member may use: what it declared, or the share that goes with its accelerators.
    fn allowance(&self, job: &JobState, attempt: &Attempt, member: usize) -> Need {
        let need = job.spec.need;
        let held = &attempt.cells[member];
        let Some(slot) = self.index.occupancy.slot_of(&held.instance) else {
            return need;
        };
        let worker = self.index.occupancy.slot(slot);
        let part = |all: u64| all * u64::from(held.accels) / u64::from(worker.accels().max(1));
        let cores = u32::try_from(part(worker.cores)).unwrap_or(u32::MAX);
        Need { cores: need.cores.max(cores), memory: need.memory.max(part(worker.memory)), ..need }
    }
}
