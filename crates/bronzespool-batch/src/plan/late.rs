//! Turns of work that is past its cutoff.
//!
//! Covers a service that newer work keeps full. Work that can no longer finish before its cutoff comes
//! last and has nothing reserved, since it has no value any more. It was accepted all the same, and a
//! large group of it would never find room beside a stream of small ones. One such step of a service at a
//! time has a turn, in which it comes in the place that its age gives it.

use {
    crate::{
        id::StepId,
        plan::{
            Precedence, TaskGroup,
            group::LikeGroups,
            turns::{TurnTimes, Turns},
            urgency::Urgency,
            withheld::{Reason, Withholding},
        },
    },
    bronzespool_core::{HashMap, HashSet, Time},
    std::{sync::Arc, time::Duration},
};

/// Time for which a step waits before it has a turn.
const WAIT_MAX: Duration = Duration::from_secs(60);
/// Turns are rare, so that an overloaded service spends little on work without value.
const TURN_TIMES: TurnTimes =
    TurnTimes { interval: Duration::from_secs(30), longest: Duration::from_secs(30) };

/// The turns of late steps. They are not replicated: with a new leader the turns begin anew.
#[derive(Clone, Debug, Default)]
pub(super) struct LateTurns {
    turns: Turns,
    /// When the turn of a step that still waits passed without a place.
    passed: HashMap<StepId, Time>,
}

impl LateTurns {
    /// Marks the groups of the steps that have a turn. Returns how long the other late steps come last at
    /// least.
    pub(super) fn apply(
        &mut self,
        waiting: &mut [(Urgency, LikeGroups<'_>)],
        precedence: &Precedence,
        now: Time,
    ) -> Vec<(StepId, Withholding)> {
        let is_late =
            |u: &Urgency, g: &TaskGroup<'_>| u.misses_cutoff() && !precedence.is_guaranteed(g);
        let late = || {
            let groups = waiting.iter().map(|(urgency, like)| (urgency, &like.first));
            groups.filter(|(u, g)| is_late(u, g)).map(|(_, group)| group)
        };
        let steps: HashSet<StepId> = late().map(|g| g.step).collect();
        self.passed.retain(|step, _| steps.contains(step));
        let mut withheld = Vec::new();
        let mut longest: HashMap<&Arc<str>, (Time, StepId)> = HashMap::default();
        for group in late() {
            if self.turns.has_passed(group.service, group.step, &TURN_TIMES, now) {
                self.passed.insert(group.step, now);
            }
            let passed = self.passed.get(&group.step).copied().unwrap_or_default();
            let since = group.ready_at.max(passed);
            let until = (since + WAIT_MAX).max(now);
            let service = Arc::clone(group.service);
            let withholding = Withholding { reason: Reason::Late, until, is_turn: true };
            withheld.push((service, group.step, withholding));
            if until <= now {
                let first = longest.entry(group.service).or_insert((since, group.step));
                *first = (since, group.step).min(*first);
            }
        }
        for (service, (_, step)) in longest {
            self.turns.give(service, step, |holder| steps.contains(&holder), &TURN_TIMES, now);
        }
        for (urgency, like) in waiting {
            urgency.has_turn = self.turns.has(like.first.service, like.first.step);
        }
        let others =
            withheld.into_iter().filter(|(service, step, _)| !self.turns.has(service, *step));
        others.map(|(_, step, withholding)| (step, withholding)).collect()
    }

    /// Notes that a group is started.
    pub(super) fn record_start(&mut self, group: &TaskGroup<'_>, now: Time) {
        self.turns.end(group.service, group.step, now);
    }
}
