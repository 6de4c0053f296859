//! Safety and liveness under random faults: one leader per term, accepted entries never lost or
//! changed, equal states, no stale reads, and progress after the faults end.

#![allow(dead_code, unreachable_pub)]

mod chaos;

use chaos::{Faults, cases};

#[test]
fn cases_three_replicas_hold() {
    cases(Faults { count: 3, ..Faults::default() });
}

#[test]
fn cases_three_replicas_lost_disks_hold() {
    cases(Faults { count: 3, lose_disks: true, ..Faults::default() });
}

#[test]
fn cases_five_replicas_lost_disks_hold() {
    cases(Faults { count: 5, lose_disks: true, ..Faults::default() });
}

#[test]
fn cases_three_replicas_from_blank_hold() {
    cases(Faults { count: 3, start_blank: true, lose_disks: true, ..Faults::default() });
}

#[test]
fn cases_three_replicas_cut_links_hold() {
    cases(Faults { count: 3, links_only: true, ..Faults::default() });
}
