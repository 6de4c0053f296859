//! Safety and liveness under random faults: one leader per term, accepted entries never lost or
//! changed, equal states, no stale reads, and progress after the faults end.

#![allow(unreachable_pub)]

mod chaos;

use chaos::{Faults, cases};

#[test]
fn cases_three_replicas_hold() {
    cases(Faults { count: 3, start_blank: false, lose_disks: false, links_only: false });
}

#[test]
fn cases_three_replicas_lost_disks_hold() {
    cases(Faults { count: 3, start_blank: false, lose_disks: true, links_only: false });
}

#[test]
fn cases_five_replicas_lost_disks_hold() {
    cases(Faults { count: 5, start_blank: false, lose_disks: true, links_only: false });
}

#[test]
fn cases_three_replicas_from_blank_hold() {
    cases(Faults { count: 3, start_blank: true, lose_disks: true, links_only: false });
}

#[test]
fn cases_three_replicas_cut_links_hold() {
    cases(Faults { count: 3, start_blank: false, lose_disks: false, links_only: true });
}
