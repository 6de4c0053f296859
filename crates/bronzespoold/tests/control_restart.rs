//! An entry and an agent that restart, or are stopped, over hundreds of changes.

mod common;

use {
    bronzespool_fakes::cluster::{Cluster, Result, Signal},
    common::{DONE, ask, monotone, plan, publish_sure, revision, status, until},
};

/// Changes in each phase; more than the hub keeps as deltas, in total.
const CHANGES: u64 = 400;

/// No entry ever shows a lower revision than before, and after its restart each serves the
/// newest configuration together with the restarted agent.
#[tokio::test]
async fn restart_after_hundreds() -> Result<()> {
    let mut cluster = Cluster::start(plan(1)).await?;
    let entries = cluster.entries().to_vec();
    let scenario = async {
        let mut last = 0;
        change(&cluster, &mut last).await;
        cluster.process("entry-2").kill().unwrap();
        cluster.process("agent-1").kill().unwrap();
        change(&cluster, &mut last).await;
        cluster.process("entry-2").restart().unwrap();
        cluster.process("agent-1").restart().unwrap();
        serves(&cluster, last).await;
        cluster.process("entry-2").signal(Signal::STOP).unwrap();
        cluster.process("agent-1").signal(Signal::STOP).unwrap();
        change(&cluster, &mut last).await;
        change(&cluster, &mut last).await;
        cluster.process("agent-1").signal(Signal::CONT).unwrap();
        cluster.process("entry-2").signal(Signal::CONT).unwrap();
        serves(&cluster, last).await;
    };
    monotone(&entries, scenario).await;
    Ok(())
}

async fn change(cluster: &Cluster, last: &mut u64) {
    for _ in 0..CHANGES {
        let op = format!("op-{last}");
        let kind = format!("kind-{}", *last + 1);
        let body = bronzespool_fakes::call::Call::post(
            "/v1/config",
            &serde_json::json!({ "base": *last, "op": op, "files": common::desk(&[&kind]) }),
        );
        let answer = match body.send(cluster.entry(0)).await {
            Ok(answer) if answer.code() == DONE => answer,
            _ => publish_sure(cluster, Some(*last), &op, &[&kind], false).await,
        };
        assert_eq!(revision(&answer), *last + 1);
        *last += 1;
    }
}

/// Waits until both entries serve the kind of the newest revision and refuse the one before.
async fn serves(cluster: &Cluster, last: u64) {
    for entry in 0..cluster.entries().len() {
        until("the newest kind is served", async || {
            Ok(ask(cluster, entry, &format!("kind-{last}"), None).await?.code() == DONE)
        })
        .await;
        let before = ask(cluster, entry, &format!("kind-{}", last - 1), None).await.unwrap();
        assert_ne!(before.code(), DONE);
    }
    assert_eq!(status(cluster).await["revision"], last);
}
