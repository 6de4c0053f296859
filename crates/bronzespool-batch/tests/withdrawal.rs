//! What the leader has proposed to take away is neither ordered nor leased.

mod common;

use {
    bronzespool_batch::{
        Event, Withdrawals,
        exchange::poll_orders,
        ledger::WorkerSpec,
        message::{Orders, Poll, PollId},
    },
    bronzespool_core::Instance,
    common::{Cluster, SECOND, incarnation, run, step},
};

/// A cluster of one worker that was assigned a run and has not started it.
fn cluster() -> Cluster {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    assert_eq!(cluster.started().len(), 1);
    cluster
}

fn poll(cluster: &Cluster) -> Poll {
    let worker: Option<WorkerSpec> = cluster.ledger.workers().next().map(|w| w.spec.clone());
    Poll {
        agent: Instance::try_from("side-0").unwrap(),
        id: PollId::new(1, 1),
        relay: None,
        worker,
        gone: Vec::new(),
        running: Vec::new(),
        ends: Vec::new(),
        refused: Vec::new(),
        in_flight: Vec::new(),
    }
}

fn orders(cluster: &Cluster, withdrawals: &Withdrawals) -> Orders {
    poll_orders(&cluster.ledger, withdrawals, &poll(cluster), 1, SECOND)
}

fn refused() -> Event {
    Event::Refused { incarnation: incarnation(0), run: run(1, 0, 0, 1) }
}

#[test]
fn poll_orders_without_withdrawals_starts_the_run_under_a_lease() {
    let orders = orders(&cluster(), &Withdrawals::default());
    assert_eq!(orders.incarnation, Some(incarnation(0)));
    assert_eq!(orders.starts.len(), 1);
    assert!(orders.lease > 0);
}

// An agent came back while the record that its worker is gone was being committed. It got the order
// to start a run and a lease, and the run was given to another worker as well.
#[test]
fn poll_orders_worker_that_is_being_taken_away_gets_neither_order_nor_lease() {
    let mut cluster = cluster();
    let mut withdrawals = Withdrawals::default();
    let gone = Event::WorkerGone(incarnation(0));
    let ticket = withdrawals.begin(std::slice::from_ref(&gone)).unwrap();
    let during = orders(&cluster, &withdrawals);
    assert_eq!((during.incarnation, during.lease), (None, 0));
    assert!(during.starts.is_empty());
    cluster.apply(gone);
    withdrawals.end(ticket);
    cluster.up(0, 0, false);
    assert_eq!(orders(&cluster, &withdrawals).incarnation, Some(incarnation(0)));
}

#[test]
fn poll_orders_run_that_is_being_taken_away_is_not_started() {
    let mut withdrawals = Withdrawals::default();
    withdrawals.begin(&[refused()]).unwrap();
    let orders = orders(&cluster(), &withdrawals);
    assert!(orders.starts.is_empty());
    assert_eq!(orders.incarnation, Some(incarnation(0)), "the worker's other runs go on");
}

#[test]
fn end_unanswered_proposal_stays_pending_until_a_later_one_is_applied() {
    let mut withdrawals = Withdrawals::default();
    withdrawals.begin(&[Event::WorkerGone(incarnation(0))]).unwrap();
    let later = withdrawals.begin(&[Event::WorkerGone(incarnation(1))]).unwrap();
    assert!(withdrawals.takes_worker(&incarnation(0)));
    withdrawals.end(later);
    assert!(!withdrawals.takes_worker(&incarnation(0)));
}

#[test]
fn begin_record_that_takes_nothing_away_has_no_ticket() {
    let event = Event::Cancelled(bronzespool_batch::JobId(1));
    assert!(Withdrawals::default().begin(&[event]).is_none());
}

#[test]
fn clear_ticket_of_an_earlier_term_ends_no_later_one() {
    let mut withdrawals = Withdrawals::default();
    let earlier = withdrawals.begin(&[refused()]).unwrap();
    withdrawals.clear();
    assert!(!withdrawals.takes_run(run(1, 0, 0, 1)));
    withdrawals.begin(&[refused()]).unwrap();
    withdrawals.end(earlier);
    assert!(withdrawals.takes_run(run(1, 0, 0, 1)));
}
