//! Drains of an agent's processes, as control records them.

mod common;

use {
    bronzespool::{
        flow::claim::Incarnation,
        wire::message::{Call, Reply},
    },
    bronzespool_fakes::cluster::{Cluster, Result, Signal},
    common::{forward_call, leader, plan, publish_with_retry, status, wait_until},
    serde_json::Value,
    tokio::task::LocalSet,
};

// The drain of an agent's former process reached the leader after the announcement of the next
// one, which counted as draining for as long as its session lasted.
#[tokio::test]
async fn drain_of_former_process_spares_the_next_one() -> Result<()> {
    LocalSet::new().run_until(late_drain()).await
}

async fn late_drain() -> Result<()> {
    let (mut cluster, former) = start().await?;
    cluster.process("agent-1").kill()?;
    cluster.process("agent-1").restart()?;
    let next = former.number + 1;
    wait_until("the next process is up", async || Ok(is(&cluster, next, "up").await)).await;
    let late = call_leader(&cluster, Call::DrainIncarnation(former)).await;
    assert!(matches!(late, Ok(Reply::Acknowledged)), "{late:?}");
    let row = endpoint(&cluster).await;
    assert_eq!(row["presence"], "up", "{row}");
    Ok(())
}

#[tokio::test]
async fn drain_of_current_process_is_recorded() -> Result<()> {
    LocalSet::new().run_until(current_drain()).await
}

async fn current_drain() -> Result<()> {
    let (cluster, current) = start().await?;
    let number = current.number;
    let answer = call_leader(&cluster, Call::DrainIncarnation(current)).await;
    assert!(matches!(answer, Ok(Reply::Acknowledged)), "{answer:?}");
    assert!(is(&cluster, number, "draining").await, "{}", endpoint(&cluster).await);
    Ok(())
}

// Processes of the former version name the instance alone when they stop as planned.
#[tokio::test]
async fn drain_by_instance_is_recorded() -> Result<()> {
    LocalSet::new().run_until(instance_drain()).await
}

async fn instance_drain() -> Result<()> {
    let (cluster, current) = start().await?;
    let call = Call::Drain { instance: current.instance, leaving: true };
    let answer = call_leader(&cluster, call).await;
    assert!(matches!(answer, Ok(Reply::Acknowledged)), "{answer:?}");
    assert!(is(&cluster, current.number, "draining").await, "{}", endpoint(&cluster).await);
    Ok(())
}

#[tokio::test]
async fn drain_begins_at_planned_stop() -> Result<()> {
    let (mut cluster, current) = start().await?;
    cluster.process("agent-1").signal(Signal::TERM)?;
    wait_until("the stopping process is draining", async || {
        Ok(is(&cluster, current.number, "draining").await)
    })
    .await;
    Ok(())
}

/// A cluster with one agent, and the agent's incarnation.
async fn start() -> Result<(Cluster, Incarnation)> {
    let cluster = Cluster::start(plan(1)).await?;
    publish_with_retry(&cluster, Some(0), "op-0", &["check"], true).await;
    let instance = cluster.workers()[0].instance.as_str().try_into()?;
    let number = endpoint(&cluster).await["incarnation"].as_u64().unwrap_or_default();
    Ok((cluster, Incarnation { instance, number }))
}

async fn call_leader(cluster: &Cluster, call: Call) -> bronzespool::wire::message::CallResult {
    let name = leader(cluster).await;
    let address = cluster.controls().iter().find(|(n, _)| *n == name).unwrap().1;
    forward_call(address, call).await.unwrap()
}

/// Row of the only endpoint in the status.
async fn endpoint(cluster: &Cluster) -> Value {
    status(cluster).await["endpoints"][0].clone()
}

async fn is(cluster: &Cluster, incarnation: u64, presence: &str) -> bool {
    let row = endpoint(cluster).await;
    row["incarnation"] == incarnation && row["presence"] == presence
}
