//! A leader that is stopped until after its lease has expired and then continues.

mod common;

use {
    bronzespool::{
        core::Code,
        wire::message::{Call, Reply},
    },
    bronzespool_fakes::cluster::{Cluster, Result, Signal},
    common::{
        forward_call, leader, plan, publish_with_retry, replica_row, revision, send_request,
        status, wait_replicated, wait_until, with_monotone_revision,
    },
    std::time::Duration,
    tokio::{task::LocalSet, time::sleep},
};

/// Time for which the test watches whether the returned leader deposes the new one.
const OBSERVE_TIME: Duration = Duration::from_secs(5);

/// The entries of the stopped leader move to other hubs. When it continues, it answers no read from
/// its outdated state and does not depose the new leader.
#[tokio::test]
async fn leader_stopped_past_lease() -> Result<()> {
    LocalSet::new().run_until(check_stopped_leader()).await
}

async fn check_stopped_leader() -> Result<()> {
    let mut cluster = Cluster::start(plan(1)).await?;
    let entries = cluster.entries().to_vec();
    let scenario = async {
        publish_with_retry(&cluster, Some(0), "op-0", &["check"], true).await;
        wait_replicated(&cluster).await;
        let old = leader(&cluster).await;
        let old_address = cluster.controls().iter().find(|(n, _)| *n == old).unwrap().1;
        cluster.process(&old).signal(Signal::STOP).unwrap();
        let answer = publish_with_retry(&cluster, Some(1), "op-1", &["check", "audit"], true).await;
        assert_eq!(revision(&answer), 2);
        assert_eq!(answer.json()["in_force"], true);
        for entry in 0..entries.len() {
            wait_until("the entry has moved and serves", async || {
                Ok(send_request(&cluster, entry, "audit", None).await?.code()
                    == Code::Done.number())
            })
            .await;
        }
        let before = status(&cluster).await;
        assert_ne!(before["leader"], old.as_str());
        // The call waits in the socket of the stopped process, so it is the first that it handles.
        let question = tokio::task::spawn_local(forward_call(old_address, Call::Status));
        sleep(Duration::from_millis(200)).await;
        cluster.process(&old).signal(Signal::CONT).unwrap();
        match question.await.unwrap() {
            Ok(Ok(Reply::Status(status))) => assert_eq!(status.revision, 2, "a stale read"),
            Ok(Ok(other)) => panic!("{other:?}"),
            Ok(Err(refusal)) => assert_eq!(refusal.code, Code::NoLeader),
            Err(error) => panic!("no answer: {error}"),
        }
        wait_replicated(&cluster).await;
        sleep(OBSERVE_TIME).await;
        let after = status(&cluster).await;
        assert_eq!(after["term"], before["term"], "the returned leader has deposed the new one");
        assert_eq!(after["leader"], before["leader"]);
        assert_eq!(replica_row(&after, &old)["role"], "follower");
    };
    with_monotone_revision(&entries, scenario).await;
    Ok(())
}
