//! An entry and an agent that are restarted or stopped during hundreds of changes.

mod common;

use {
    bronzespool::core::Code,
    bronzespool_fakes::{
        call::Call,
        cluster::{Cluster, Result, Signal},
    },
    common::{
        DONE, plan, publish_with_retry, revision, send_request, status, wait_until,
        with_monotone_revision,
    },
};

/// Changes per phase. All phases together make more changes than a hub keeps as deltas.
const CHANGES: u64 = 400;

/// No entry ever shows a lower revision than before. After the restarts each entry serves the
/// latest configuration with the restarted agent.
#[tokio::test]
async fn restart_after_hundreds() -> Result<()> {
    let mut cluster = Cluster::start(plan(1)).await?;
    let entries = cluster.entries().to_vec();
    let scenario = async {
        let mut last = 0;
        publish_changes(&cluster, &mut last).await;
        cluster.process("entry-2").kill().unwrap();
        cluster.process("agent-1").kill().unwrap();
        publish_changes(&cluster, &mut last).await;
        cluster.process("entry-2").restart().unwrap();
        cluster.process("agent-1").restart().unwrap();
        wait_served(&cluster, last).await;
        cluster.process("entry-2").signal(Signal::STOP).unwrap();
        cluster.process("agent-1").signal(Signal::STOP).unwrap();
        publish_changes(&cluster, &mut last).await;
        publish_changes(&cluster, &mut last).await;
        cluster.process("agent-1").signal(Signal::CONT).unwrap();
        cluster.process("entry-2").signal(Signal::CONT).unwrap();
        wait_served(&cluster, last).await;
    };
    with_monotone_revision(&entries, scenario).await;
    Ok(())
}

/// An entry that started without control shows no configuration, since its revision would be lower.
#[tokio::test]
async fn restart_without_control() -> Result<()> {
    let mut cluster = Cluster::start(plan(1)).await?;
    publish_with_retry(&cluster, Some(0), "op-0", &["check"], false).await;
    let controls: Vec<_> = cluster.controls().iter().map(|(name, _)| name.clone()).collect();
    for name in &controls {
        cluster.process(name).signal(Signal::STOP)?;
    }
    cluster.process("entry-2").kill()?;
    cluster.process("entry-2").restart()?;
    let read = Call::get("/v1/config");
    wait_until("the entry has started", async || {
        Ok(read.send(cluster.entry(1)).await?.code() == Code::NoSession.number())
    })
    .await;
    assert!(!Call::get("/readyz").send(cluster.entry(1)).await?.status.is_success());
    for name in &controls {
        cluster.process(name).signal(Signal::CONT)?;
    }
    wait_until("the entry shows the revision", async || {
        Ok(read.send(cluster.entry(1)).await?.json()["revision"] == 1)
    })
    .await;
    Ok(())
}

async fn publish_changes(cluster: &Cluster, last: &mut u64) {
    for _ in 0..CHANGES {
        let op = format!("op-{last}");
        let kind = format!("kind-{}", *last + 1);
        // Prefers the first entry, since the other one may be stopped.
        let answer = publish_with_retry(cluster, Some(*last), &op, &[&kind], false).await;
        assert_eq!(revision(&answer), *last + 1);
        *last += 1;
    }
}

/// Waits until both entries serve the kind of the latest revision and refuse the previous kind.
async fn wait_served(cluster: &Cluster, last: u64) {
    for entry in 0..cluster.entries().len() {
        wait_until("the newest kind is served", async || {
            Ok(send_request(cluster, entry, &format!("kind-{last}"), None).await?.code() == DONE)
        })
        .await;
        let before =
            send_request(cluster, entry, &format!("kind-{}", last - 1), None).await.unwrap();
        assert_ne!(before.code(), DONE);
    }
    assert_eq!(status(cluster).await["revision"], last);
}
