//! Orders about data centres and their revisions.

use {
    bronzespool_core::Center,
    bronzespool_flow::drain::{CenterChange, CenterDrain, CenterDrains, CenterOutcome},
};

fn center(name: &str) -> Center {
    Center::try_from(name).unwrap()
}

fn change(drained: bool, base: u64) -> CenterChange {
    CenterChange { center: center("couva"), drained, base }
}

const fn state(drained: bool, revision: u64) -> CenterDrain {
    CenterDrain { drained, revision }
}

/// Guards against a repeated order that is refused, or that makes a second change.
#[test]
fn apply_repeated_order_has_one_outcome() {
    let mut drains = CenterDrains::default();
    assert_eq!(drains.apply(7, &change(true, 0)), CenterOutcome::Changed(state(true, 7)));
    assert_eq!(drains.apply(8, &change(true, 0)), CenterOutcome::Unchanged(state(true, 7)));
    assert_eq!(drains.decide(&change(true, 7)), Some(CenterOutcome::Unchanged(state(true, 7))));
}

/// Guards against an old drain that is held up on its way and drains a data centre again after it
/// was restored, also when another drain came in between.
#[test]
fn apply_delayed_order_changes_nothing_after_restore() {
    let mut drains = CenterDrains::default();
    drains.apply(7, &change(true, 0));
    assert_eq!(drains.apply(9, &change(false, 7)), CenterOutcome::Changed(state(false, 9)));
    assert_eq!(drains.apply(10, &change(true, 0)), CenterOutcome::Conflict(state(false, 9)));
    assert_eq!(drains.apply(11, &change(true, 7)), CenterOutcome::Conflict(state(false, 9)));
    drains.apply(12, &change(true, 9));
    drains.apply(13, &change(false, 12));
    assert_eq!(drains.apply(14, &change(true, 9)), CenterOutcome::Conflict(state(false, 13)));
    assert!(drains.drained().is_empty() && drains.contains(&center("couva")));
}
