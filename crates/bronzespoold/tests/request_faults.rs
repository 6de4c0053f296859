//! Protected requests while processes are killed, stopped and misbehave: no key starts twice,
//! "not run" is final, every answer is the request's own.

mod common;
mod load;

use {
    bronzespool_fakes::{
        call::Call,
        cluster::{Cluster, Result, Signal, send_signal},
    },
    common::{leader, plan, publish_sure},
    load::Verdict,
    serde_json::json,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Time in milliseconds of one request at an endpoint: long enough for a fault to meet it.
const MILLIS: u64 = 150;
/// Time of load before the fault.
const BEFORE: Duration = Duration::from_secs(1);
/// Time for which a process is stopped: longer than its session.
const STOPPED: Duration = Duration::from_secs(5);
/// Time of load after the fault.
const AFTER: Duration = Duration::from_secs(3);
/// Time of load in all.
const LOAD: Duration = BEFORE.saturating_add(STOPPED).saturating_add(AFTER);

async fn start() -> Result<Cluster> {
    let cluster = Cluster::start(plan(2).millis(MILLIS)).await?;
    publish_sure(&cluster, Some(0), "op-0", &["check", "ledger"], true).await;
    Ok(cluster)
}

fn entries(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.entries().iter().map(|(_, address)| *address).collect()
}

/// Runs the load while `fault` happens, then judges what the callers were told.
async fn under(
    cluster: &mut Cluster,
    fault: impl AsyncFnOnce(&mut Cluster) -> Result<()>,
) -> Result<Verdict> {
    let entries = entries(cluster);
    let over = Instant::now() + LOAD;
    let scenario = async {
        sleep(BEFORE).await;
        fault(cluster).await
    };
    let (told, done) = tokio::join!(load::load(&entries, over), scenario);
    done?;
    let verdict = load::judge(cluster, &told).await?;
    assert!(verdict.done * 2 > verdict.keys, "most keys are answered: {verdict:?}");
    Ok(verdict)
}

/// Kills a process and starts it again.
async fn kill(cluster: &mut Cluster, name: &str) -> Result<()> {
    cluster.process(name).kill()?;
    sleep(Duration::from_secs(1)).await;
    cluster.process(name).restart()?;
    Ok(())
}

/// Stops a process for longer than its session and lets it go on.
async fn freeze(cluster: &Cluster, name: &str) -> Result<()> {
    let id = cluster.id(name);
    send_signal(id, Signal::STOP)?;
    sleep(STOPPED).await;
    send_signal(id, Signal::CONT)?;
    Ok(())
}

#[tokio::test]
async fn protected_agent_killed() -> Result<()> {
    let mut cluster = start().await?;
    under(&mut cluster, async |c| kill(c, "agent-1").await).await?;
    Ok(())
}

#[tokio::test]
async fn protected_agent_stopped() -> Result<()> {
    let mut cluster = start().await?;
    under(&mut cluster, async |c| freeze(c, "agent-1").await).await?;
    Ok(())
}

#[tokio::test]
async fn protected_entry_killed() -> Result<()> {
    let mut cluster = start().await?;
    under(&mut cluster, async |c| kill(c, "entry-1").await).await?;
    Ok(())
}

#[tokio::test]
async fn protected_entry_stopped() -> Result<()> {
    let mut cluster = start().await?;
    under(&mut cluster, async |c| freeze(c, "entry-1").await).await?;
    Ok(())
}

#[tokio::test]
async fn protected_endpoint_stopped() -> Result<()> {
    let mut cluster = start().await?;
    under(&mut cluster, async |c| freeze(c, "endpoint-1").await).await?;
    Ok(())
}

#[tokio::test]
async fn protected_leader_killed() -> Result<()> {
    let mut cluster = start().await?;
    under(&mut cluster, async |c| {
        let name = leader(c).await;
        kill(c, &name).await
    })
    .await?;
    Ok(())
}

#[tokio::test]
async fn protected_leader_stopped() -> Result<()> {
    let mut cluster = start().await?;
    under(&mut cluster, async |c| {
        let name = leader(c).await;
        freeze(c, &name).await
    })
    .await?;
    Ok(())
}

#[tokio::test]
async fn protected_agent_and_leader_killed() -> Result<()> {
    let mut cluster = start().await?;
    under(&mut cluster, async |c| {
        let name = leader(c).await;
        c.process("agent-1").kill()?;
        kill(c, &name).await?;
        c.process("agent-1").restart()?;
        Ok(())
    })
    .await?;
    Ok(())
}

#[tokio::test]
async fn protected_endpoint_misbehaves() -> Result<()> {
    let mut cluster = start().await?;
    under(&mut cluster, async |c| {
        let endpoint = c.workers()[0].endpoint;
        for fault in ["short", "crossed", "fail", "none"] {
            let manner = json!({ "millis": MILLIS, "fault": fault });
            Call::put("/manner", &manner).send(endpoint).await?;
            sleep(Duration::from_millis(800)).await;
        }
        Ok(())
    })
    .await?;
    Ok(())
}
