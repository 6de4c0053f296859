//! Order of waiting task groups while a service is overloaded.

use {
    crate::{
        ledger::Ledger,
        overload::{
            budget::Timing,
            order::{GroupInput, TeamShares},
        },
        plan::{
            ClusterView, Precedence, group::LikeGroups, hold::HeldPlacements, urgency::Urgency,
        },
    },
    std::cmp::Reverse,
};

/// Most like tasks that are ordered as one piece. Tasks of other teams may come between two pieces.
const PIECE_TASKS: u32 = 8;
/// Most pieces of like tasks; together they are more than a plan starts.
const PIECES_MAX: u32 = 32;

/// Returns the durations of a group that decide what its start gains.
pub(super) const fn timing(urgency: &Urgency) -> Timing {
    let Urgency { elapsed, remaining, allowed, .. } = *urgency;
    Timing { elapsed, remaining, allowed }
}

/// Reorders groups, given in the order of their precedence, for an overloaded service. Groups of
/// classes that are not overloaded, and of guaranteed jobs, keep their order.
pub(super) fn in_fair_order<'a>(
    ledger: &Ledger,
    view: &ClusterView,
    precedence: &Precedence,
    held: &HeldPlacements,
    waiting: Vec<(Urgency, LikeGroups<'a>)>,
) -> Vec<(Urgency, LikeGroups<'a>)> {
    let pieces = waiting.into_iter().flat_map(|(urgency, like)| {
        like.split(PIECE_TASKS, PIECES_MAX).map(move |piece| (urgency, piece))
    });
    let mut shares = TeamShares::new(ledger, view);
    let mut keyed: Vec<_> = pieces
        .map(|(urgency, like)| {
            let is_held = held.contains(&like.first);
            let (too_late, borrowed, priority, ..) =
                precedence.rank(&like.first, &urgency, is_held);
            let group = input(&urgency, &like, priority);
            let place = borrowed.then(|| (shares.tier(&group), shares.arrived(&group)));
            let (tier, arrived) = place.unzip();
            ((too_late, borrowed, priority, Reverse(is_held), tier), arrived, urgency, like)
        })
        .collect();
    keyed.sort_by_key(|(class, arrived, ..)| (*class, *arrived));
    let mut keyed: Vec<_> = keyed
        .into_iter()
        .map(|(class, _, urgency, like)| {
            let (borrowed, group) = (class.1, input(&urgency, &like, class.2));
            let share = if borrowed { shares.take(&group) } else { 0 };
            ((class, share), urgency, like)
        })
        .collect();
    keyed.sort_by_key(|(key, ..)| *key);
    keyed.into_iter().map(|(.., urgency, like)| (urgency, like)).collect()
}

fn input<'a>(urgency: &Urgency, like: &'a LikeGroups<'a>, priority: u32) -> GroupInput<'a> {
    GroupInput {
        job: like.first.job,
        service: like.first.service,
        priority,
        step: like.first.spec,
        tasks: like.first.tasks.len() as u64 * u64::from(like.count),
        timing: timing(urgency),
    }
}
