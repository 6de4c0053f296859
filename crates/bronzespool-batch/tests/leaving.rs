//! Runs that were assigned to a worker just before it began to leave.

mod common;

use {
    bronzespool_batch::{
        Withdrawals,
        agent::{Action, Limits, Listing, Reconciler, StartOutcome, StopOutcome},
        exchange::{poll_events, poll_orders},
        grant::Grants,
        ledger::WorkerSpec,
    },
    bronzespool_core::Instance,
    common::{Cluster, SECOND, incarnation, run, step},
    std::time::Duration,
};

const LIMITS: Limits =
    Limits { lease_max: Duration::from_secs(6), heartbeat_interval: Duration::from_millis(1_500) };
/// Time between two polls, and their number.
const ROUND: Duration = Duration::from_millis(200);
const ROUNDS: u32 = 15;

// A run that was assigned to a worker that had begun to leave was neither started nor given up
// until the worker was gone.
#[test]
fn exchange_run_that_a_leaving_worker_has_not_started_is_given_up() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    assert_eq!(cluster.started().len(), 1);
    let worker = cluster.ledger.workers().next().unwrap().spec.clone();
    let mut reconciler =
        Reconciler::new(Instance::try_from("side-0").unwrap(), 7, LIMITS, cluster.view.now);
    assert!(reconciler.check_in(cluster.view.now, worker.clone(), 1));
    let mut grants = Grants::default();
    for round in 1..=ROUNDS {
        cluster.pass(ROUND);
        let now = cluster.view.now;
        assert!(reconciler.check_in(
            now,
            WorkerSpec { leaving: true, ..worker.clone() },
            u64::from(round) + 1
        ));
        let list = reconciler.list_request(now).unwrap();
        let listing = Listing { started_at: Some(1), clock: now.as_millis(), ..Listing::default() };
        reconciler.receive_listing(now, &list, listing);
        let poll = reconciler.poll(now, round);
        for event in poll_events(now, &cluster.ledger, &grants, &poll) {
            cluster.apply(event);
        }
        cluster.plan();
        let withdrawals = Withdrawals::default();
        let orders = poll_orders(&cluster.ledger, &withdrawals, &poll, 1, SECOND);
        if let Some(incarnation) = &orders.incarnation {
            grants.record(now, incarnation, poll.id);
        }
        reconciler.receive_orders(now, &poll, orders);
        for action in reconciler.actions(now) {
            match action {
                Action::Start { start, .. } => {
                    reconciler.start_answered(
                        now,
                        &incarnation(0),
                        start.run,
                        StartOutcome::Refused,
                    );
                }
                Action::Stop { run, .. } => {
                    reconciler.stop_answered(now, &incarnation(0), run, StopOutcome::Noted);
                }
                Action::Pace { .. } => {}
            }
        }
    }
    assert!(cluster.ledger.active_run(run(1, 0, 0, 1)).is_none());
}
