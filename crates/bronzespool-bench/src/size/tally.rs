//! What becomes of the runs, as the workers see it.

use {
    crate::size::{decision_figures::Violations, worker::HeldRun},
    bronzespool::{
        batch::{JobId, RunId, ledger::RunOutcome},
        core::{HashMap, Time},
    },
};

/// Sums over all runs.
#[derive(Clone, Debug, Default)]
pub(super) struct Tally {
    pub(super) started: usize,
    pub(super) done: usize,
    pub(super) stopped: usize,
    pub(super) broken: usize,
    pub(super) alone: usize,
    /// Gangs that worked across racks although they should be in one.
    pub(super) spread_gangs: usize,
    /// Work of runs that was thrown away, in seconds of a core.
    pub(super) lost: f64,
    /// Work of runs that was done, in seconds of a core.
    pub(super) useful: f64,
    /// When the first work of each job began.
    pub(super) first_begin: HashMap<JobId, Time>,
    pub(super) violations: Violations,
}

impl Tally {
    pub(super) fn began(&mut self, at: Time, run: RunId) {
        self.first_begin.entry(run.task.step.job).or_insert(at);
    }

    pub(super) fn ended(&mut self, now: Time, held: &HeldRun, outcome: RunOutcome) {
        const MILLICORES: f64 = 1_000.0;
        let cores = held.allocation.weight() as f64 / MILLICORES;
        let worked = held.done(now).saturating_sub(held.saved).as_secs_f64();
        let kept = held.checkpoint(now).saturating_sub(held.saved).as_secs_f64();
        match outcome {
            RunOutcome::Done => self.done += 1,
            RunOutcome::Stopped => self.stopped += 1,
            RunOutcome::Alone => self.alone += 1,
            RunOutcome::Broken | RunOutcome::Failed | RunOutcome::Lapsed => self.broken += 1,
        }
        if outcome == RunOutcome::Done {
            self.useful += worked * cores;
        } else {
            self.useful += kept * cores;
            self.lost += (worked - kept) * cores;
        }
    }
}
