//! Properties under drawn faults: one leader a term, accepted entries never lost or changed,
//! equal states, no stale read, and work goes on once the faults end.

#![allow(unreachable_pub)]

mod chaos;

use chaos::{Faults, cases};

#[test]
fn cases_three_replicas_hold() {
    cases(Faults { count: 3, blank: false, lost: false, links: false });
}

#[test]
fn cases_three_replicas_lost_disks_hold() {
    cases(Faults { count: 3, blank: false, lost: true, links: false });
}

#[test]
fn cases_five_replicas_lost_disks_hold() {
    cases(Faults { count: 5, blank: false, lost: true, links: false });
}

#[test]
fn cases_three_replicas_from_blank_hold() {
    cases(Faults { count: 3, blank: true, lost: true, links: false });
}

#[test]
fn cases_three_replicas_cut_links_hold() {
    cases(Faults { count: 3, blank: false, lost: false, links: true });
}
