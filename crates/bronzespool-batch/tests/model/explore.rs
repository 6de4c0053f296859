//! Searches of the code as it is, and of the code with injected faults.

use crate::{
    fault::{FaultKind, InjectedFault},
    invariant::Invariant,
    message::Kind,
    moves::Move,
    scope::Scope,
    search::Search,
};

/// Number of random histories of one search, unless the environment variable `MODEL_HISTORIES` asks
/// for more.
const HISTORIES: u64 = 5_000;
/// Most random histories in which an injected fault must be found.
const INJECTED_HISTORIES: u64 = 4_000;

#[track_caller]
fn check_at_random(scope: Scope) {
    let wanted = std::env::var("MODEL_HISTORIES").map_or(HISTORIES, |h| h.parse().unwrap());
    let (violation, histories) = Search::new(scope).at_random(0..wanted);
    if let Some(violation) = violation {
        panic!("history {histories}: {violation}");
    }
}

#[test]
fn explore_no_history_violates_an_invariant() {
    let (violation, states) = Search::new(Scope::BREADTH).by_breadth();
    if let Some(violation) = violation {
        panic!("after {states} states: {violation}");
    }
    println!("{states} states");
    assert!(states >= 10_000, "only {states} states were explored");
}

#[test]
fn explore_injected_faults_are_found() {
    let faults = [
        InjectedFault::UnknownIsRefused,
        InjectedFault::ShortLease,
        InjectedFault::LateGrant,
        InjectedFault::EarlyCursor,
        InjectedFault::FormerIncarnation,
    ];
    for injected in faults {
        let search = Search { injected, ..Search::new(Scope::BREADTH) };
        let (violation, states) = search.by_breadth();
        let Some(violation) = violation else {
            panic!("{injected:?} is not found in {states} states");
        };
        println!("{injected:?} after {states} states: {violation}");
    }
}

#[test]
fn search_lost_messages_and_replacements() {
    check_at_random(Scope::DEPTH);
}

const REFUSALS: &[FaultKind] = &[FaultKind::Message, FaultKind::Refusal];

#[test]
fn search_refused_calls() {
    check_at_random(Scope { faults: REFUSALS, ..Scope::DEPTH });
}

const AGENTS: &[FaultKind] = &[FaultKind::Message, FaultKind::Agent, FaultKind::Refusal];

#[test]
fn search_replaced_agents() {
    check_at_random(Scope { faults: AGENTS, ..Scope::DEPTH });
}

const RECORDS: &[FaultKind] = &[FaultKind::Message, FaultKind::Leader, FaultKind::Record];

#[test]
fn search_delayed_records() {
    check_at_random(Scope { faults: RECORDS, records_wait: true, ..Scope::DEPTH });
}

const POLLS: &[FaultKind] = &[FaultKind::Message, FaultKind::Poll, FaultKind::Silence];

#[test]
fn search_late_polls() {
    check_at_random(Scope { faults: POLLS, ..Scope::DEPTH });
}

const RESTARTS: &[FaultKind] = &[FaultKind::Message, FaultKind::Restart, FaultKind::Silence];

#[test]
fn search_restarts_under_one_name() {
    check_at_random(Scope { faults: RESTARTS, ..Scope::DEPTH });
}

const SILENCES: &[FaultKind] = &[FaultKind::Message, FaultKind::Silence];

#[test]
fn search_silent_workers() {
    check_at_random(Scope { faults: SILENCES, ..Scope::DEPTH });
}

const CLOCKS: &[FaultKind] = &[FaultKind::Message, FaultKind::ClockSetBack, FaultKind::Silence];

#[test]
fn search_replacements_that_look_older() {
    check_at_random(Scope { faults: CLOCKS, ..Scope::DEPTH });
}

const FREEZES: &[FaultKind] = &[
    FaultKind::Message,
    FaultKind::Refusal,
    FaultKind::Agent,
    FaultKind::Leader,
    FaultKind::Silence,
    FaultKind::Freeze,
];

#[test]
fn search_frozen_agents() {
    check_at_random(Scope { faults: FREEZES, records_wait: true, ..Scope::LATE_CALLS });
}

const DRAINS: &[FaultKind] = &[
    FaultKind::Message,
    FaultKind::Refusal,
    FaultKind::Agent,
    FaultKind::Leader,
    FaultKind::Cancel,
    FaultKind::Drain,
    FaultKind::Replacement,
];

#[test]
fn search_draining_workers() {
    check_at_random(Scope { faults: DRAINS, records_wait: true, ..Scope::LATE_CALLS });
}

const CENTER_DRAINS: &[FaultKind] = &[
    FaultKind::Message,
    FaultKind::Refusal,
    FaultKind::Agent,
    FaultKind::Leader,
    FaultKind::Record,
    FaultKind::CenterDrain,
];

// A run that is withdrawn from a drained data centre never runs beside the one that replaces it.
#[test]
fn search_drained_centers() {
    check_at_random(Scope { faults: CENTER_DRAINS, records_wait: true, ..Scope::LATE_CALLS });
}

/// All faults but restarts under one name.
const ALL_BUT_RESTARTS: &[FaultKind] = &[
    FaultKind::Message,
    FaultKind::Refusal,
    FaultKind::Agent,
    FaultKind::Leader,
    FaultKind::Record,
    FaultKind::Poll,
    FaultKind::Replacement,
    FaultKind::Silence,
    FaultKind::Cancel,
];

#[test]
fn search_all_faults_but_restarts() {
    check_at_random(Scope { faults: ALL_BUT_RESTARTS, records_wait: true, ..Scope::DEPTH });
}

/// As before, with the kinds of faults that were added later.
const LATER_KINDS: &[FaultKind] = &[
    FaultKind::Message,
    FaultKind::Refusal,
    FaultKind::Agent,
    FaultKind::Leader,
    FaultKind::Record,
    FaultKind::Poll,
    FaultKind::Replacement,
    FaultKind::ClockSetBack,
    FaultKind::Silence,
    FaultKind::Drain,
    FaultKind::Freeze,
    FaultKind::Cancel,
];

#[test]
fn search_all_faults_but_restarts_with_freezes_drains_and_clocks() {
    check_at_random(Scope { faults: LATER_KINDS, records_wait: true, ..Scope::LATE_CALLS });
}

#[test]
fn search_all_faults() {
    check_at_random(Scope { faults: FaultKind::ALL, records_wait: true, ..Scope::DEPTH });
}

#[test]
fn search_injected_faults_are_found() {
    let agents = Scope { faults: &[FaultKind::Agent], ..Scope::DEPTH };
    let refusals = Scope { faults: &[FaultKind::Message, FaultKind::Refusal], ..Scope::DEPTH };
    let faults = [
        (InjectedFault::UnknownIsRefused, Invariant::OneRun, Scope::DEPTH),
        (InjectedFault::RefusedIsFinal, Invariant::OneRun, refusals),
        (InjectedFault::UnnamedGrant, Invariant::OneRun, agents),
        (InjectedFault::EarlyRelease, Invariant::Room, Scope::DEPTH),
        (InjectedFault::EarlyCursor, Invariant::OneEnd, Scope::DEPTH),
        (InjectedFault::SilentRefusal, Invariant::Progress, Scope::DEPTH),
    ];
    for (injected, invariant, scope) in faults {
        let search = Search { scope, injected, invariants: &[invariant] };
        let (violation, histories) = search.at_random(0..INJECTED_HISTORIES);
        let Some(violation) = violation else {
            panic!("{injected:?} is not found in {histories} histories");
        };
        println!("{injected:?} after {histories} histories: {violation}");
    }
}

#[test]
fn replay_unapplied_log_of_new_leader_is_found() {
    let history = [
        Move::Lose(Kind::Start, 0),
        Move::ListNow,
        Move::Tick,
        Move::Tick,
        Move::Tick,
        Move::Tick,
        Move::PlanElsewhere,
        Move::NewLeader,
        Move::PollNow,
        Move::Deliver(Kind::Start, 0),
        Move::Commit,
    ];
    let search = Search::new(Scope { records_wait: true, ..Scope::DEPTH });
    assert_eq!(search.replay(&history), None);
    let injected = InjectedFault::UnappliedLog;
    let found = Search { injected, ..search }.replay(&history);
    assert_eq!(found, Some((Invariant::OneRun, history.len())));
}
