//! What must hold after each move of each history.

use {
    crate::{moves::Move, state::ModelState},
    bronzespool_batch::JobId,
    std::fmt,
};

/// Time, in ticks, within which tasks that nothing disturbs any more end as done.
const SETTLE_TICKS_MAX: u32 = 24;
/// Rounds of polls and calls between two ticks while nothing disturbs the system.
const SETTLE_ROUNDS: u32 = 3;

/// A property of all states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Invariant {
    /// A task never runs while the ledger considers it free, or given elsewhere.
    OneRun,
    /// The runs on the worker never need more than its room.
    Room,
    /// No task runs again after its end as done was acknowledged.
    OneEnd,
    /// Once nothing disturbs the system, all tasks end as done.
    Progress,
}

impl Invariant {
    /// All invariants.
    pub(crate) const ALL: [Self; 4] = [Self::OneRun, Self::Room, Self::OneEnd, Self::Progress];

    /// Whether a state violates the invariant.
    pub(crate) fn is_violated(self, state: &ModelState) -> bool {
        match self {
            Self::OneRun => runs_twice(state),
            Self::Room => state.worker.runs.len() > 1,
            Self::OneEnd => runs_again(state),
            Self::Progress => !settles(state),
        }
    }
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::OneRun => "a task runs on the worker while the ledger does not count this run",
            Self::Room => "the runs on the worker need more than its room",
            Self::OneEnd => "a task runs again after its end was acknowledged",
            Self::Progress => "a task does not end although nothing disturbs it any more",
        })
    }
}

fn runs_twice(state: &ModelState) -> bool {
    state.worker.runs.iter().any(|r| state.leader.ledger.active_run(*r).is_none())
}

fn runs_again(state: &ModelState) -> bool {
    state.acknowledged.iter().any(|(job, ended)| {
        let JobId(number) = *job;
        let free_at = state.free_at[number as usize - 1];
        let started = state.started.iter().any(|(j, at)| j == job && at > ended);
        started || free_at.is_some_and(|at| at > *ended)
    })
}

/// Lets the system run without further faults.
fn settles(state: &ModelState) -> bool {
    let mut state = state.clone();
    state.apply_move(Move::Heal);
    state.apply_move(Move::Thaw);
    for _ in 0..SETTLE_TICKS_MAX {
        for _ in 0..SETTLE_ROUNDS {
            state.run_undisturbed();
        }
        if all_done(&state) {
            return true;
        }
        while state.apply_move(Move::Finish(0)) {}
        (0..state.leader.runs_elsewhere().count()).for_each(|_| {
            state.apply_move(Move::FinishElsewhere(0));
            while state.apply_move(Move::Commit) {}
        });
        state.apply_move(Move::Tick);
    }
    false
}

fn all_done(state: &ModelState) -> bool {
    state.leader.ledger.jobs().all(|job| {
        let JobId(number) = job.spec.id;
        let cancelled = !job.phase.is_active() && !job.has_active_run();
        cancelled || state.leader.is_done(number)
    })
}
