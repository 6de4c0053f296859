//! Counts of what a plan examines, by which its cost is bounded independently of the machine.

use std::cell::Cell;

/// What one plan has examined. A worker or run counts once for each time that a loop reads it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlanSteps {
    /// Waiting task groups.
    pub groups: u64,
    /// Workers.
    pub workers: u64,
    /// Runs.
    pub runs: u64,
}

impl PlanSteps {
    /// Returns the sum of all counts.
    pub const fn sum(&self) -> u64 {
        self.groups + self.workers + self.runs
    }
}

/// Counts that searches add to while they read the capacity.
#[derive(Clone, Debug, Default)]
pub(super) struct StepCounter(Cell<PlanSteps>);

impl StepCounter {
    pub(super) fn add_groups(&self, count: usize) {
        self.add(|steps| steps.groups += count as u64);
    }

    pub(super) fn add_workers(&self, count: usize) {
        self.add(|steps| steps.workers += count as u64);
    }

    pub(super) fn add_runs(&self, count: usize) {
        self.add(|steps| steps.runs += count as u64);
    }

    pub(super) fn steps(&self) -> PlanSteps {
        self.0.get()
    }

    fn add(&self, change: impl FnOnce(&mut PlanSteps)) {
        let mut steps = self.0.get();
        change(&mut steps);
        self.0.set(steps);
    }
}
