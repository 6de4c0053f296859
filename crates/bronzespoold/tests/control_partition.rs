//! A control instance that is isolated for a long time, without connection errors, and then
//! returns.

mod common;

use {
    bronzespool::{
        core::Code,
        wire::message::{Call, Reply},
    },
    bronzespool_fakes::{
        cluster::{Cluster, Result},
        relay::Mode,
    },
    common::{
        follower, forward_call, leader, plan, publish_with_retry, replica_row, revision, status,
        wait_replicated, with_monotone_revision,
    },
    std::{cell::Cell, net::SocketAddr, time::Duration},
    tokio::{task::LocalSet, time::sleep},
};

/// Pause between two direct reads.
const READ_PAUSE: Duration = Duration::from_millis(5);
/// Number of changes made while an instance is isolated.
const CHANGES: u64 = 150;
/// Isolation time after the changes, longer than every lease and election timeout.
const ISOLATION_TIME: Duration = Duration::from_secs(8);
/// Time for which the test watches whether the returned instance deposes the leader.
const OBSERVE_TIME: Duration = Duration::from_secs(5);

/// A follower returns: the leader remains the leader and the follower catches up.
#[tokio::test]
async fn partition_follower_returns() -> Result<()> {
    let cluster = Cluster::start(plan(1).relayed()).await?;
    let name = follower(&cluster).await;
    LocalSet::new().run_until(check_isolated_instance(&cluster, &name)).await;
    Ok(())
}

/// The old leader returns: the instance that was elected meanwhile remains the leader.
#[tokio::test]
async fn partition_leader_returns() -> Result<()> {
    let cluster = Cluster::start(plan(1).relayed()).await?;
    let name = leader(&cluster).await;
    LocalSet::new().run_until(check_isolated_instance(&cluster, &name)).await;
    Ok(())
}

async fn check_isolated_instance(cluster: &Cluster, name: &str) {
    let entries = cluster.entries().to_vec();
    let address = cluster.controls().iter().find(|(n, _)| n == name).unwrap().1;
    let accepted = Cell::new(0);
    let scenario = async {
        publish_with_retry(cluster, Some(0), "op-0", &["check"], true).await;
        cluster.isolate(name, Mode::Freeze);
        for base in 1..=CHANGES {
            let op = format!("op-{base}");
            let answer = publish_with_retry(cluster, Some(base), &op, &["check"], false).await;
            assert_eq!(revision(&answer), base + 1);
            accepted.set(base + 1);
        }
        sleep(ISOLATION_TIME).await;
        let last = publish_with_retry(cluster, None, "last", &["check", "audit"], true).await;
        assert_eq!(last.json()["in_force"], true, "an isolated hub blocks the change forever");
        let before = status(cluster).await;
        assert_ne!(before["leader"], name);
        cluster.isolate(name, Mode::Pass);
        wait_replicated(cluster).await;
        sleep(OBSERVE_TIME).await;
        let after = status(cluster).await;
        assert_eq!(after["term"], before["term"], "the returned instance has deposed the leader");
        assert_eq!(after["leader"], before["leader"]);
        assert_eq!(replica_row(&after, name)["role"], "follower");
        assert_eq!(after["revision"], CHANGES + 2);
    };
    let reads = assert_reads_current(address, &accepted);
    tokio::select! {
        () = with_monotone_revision(&entries, scenario) => {}
        () = reads => unreachable!(),
    }
}

/// Calls the instance directly, bypassing the isolation, and asserts that no status is older than
/// the last change that was accepted before the call.
async fn assert_reads_current(address: SocketAddr, accepted: &Cell<u64>) {
    loop {
        let least = accepted.get();
        match forward_call(address, Call::Status).await {
            Ok(Ok(Reply::Status(status))) => {
                assert!(status.revision >= least, "a stale read: {} of {least}", status.revision);
            }
            Ok(Ok(other)) => panic!("{other:?}"),
            Ok(Err(refusal)) => assert_eq!(refusal.code, Code::NoLeader),
            Err(error) => panic!("no answer: {error}"),
        }
        sleep(READ_PAUSE).await;
    }
}
