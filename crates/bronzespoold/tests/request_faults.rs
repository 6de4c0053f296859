//! Protected requests while processes are killed, stopped or faulty: no key starts twice, "not run"
//! is final, and every answer belongs to its request.

mod common;
mod load;

use {
    bronzespool_fakes::{
        call::Call,
        cluster::{Cluster, Result, Signal, send_signal},
    },
    common::{leader, plan, publish_with_retry},
    load::LoadSummary,
    serde_json::json,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// Duration in milliseconds of one request at an endpoint, long enough for a fault to hit it.
const REQUEST_MILLIS: u64 = 150;
/// Duration of the load before the fault.
const LOAD_BEFORE: Duration = Duration::from_secs(1);
/// Time for which a process is stopped, longer than its session.
const STOP_TIME: Duration = Duration::from_secs(5);
/// Duration of the load after the fault.
const LOAD_AFTER: Duration = Duration::from_secs(3);
/// Total duration of the load.
const LOAD_TIME: Duration = LOAD_BEFORE.saturating_add(STOP_TIME).saturating_add(LOAD_AFTER);

async fn start() -> Result<Cluster> {
    let cluster = Cluster::start(plan(2).millis(REQUEST_MILLIS)).await?;
    publish_with_retry(&cluster, Some(0), "op-0", &["check", "ledger"], true).await;
    Ok(cluster)
}

fn entries(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.entries().iter().map(|(_, address)| *address).collect()
}

/// Runs the load while `fault` happens, then checks the answers that the callers got.
async fn run_with_fault(
    cluster: &mut Cluster,
    fault: impl AsyncFnOnce(&mut Cluster) -> Result<()>,
) -> Result<LoadSummary> {
    let entries = entries(cluster);
    let end = Instant::now() + LOAD_TIME;
    let scenario = async {
        sleep(LOAD_BEFORE).await;
        fault(cluster).await
    };
    let (histories, done) = tokio::join!(load::run_load(&entries, end), scenario);
    done?;
    let summary = load::check_histories(cluster, &histories).await?;
    assert!(summary.done * 2 > summary.keys, "most keys are answered: {summary:?}");
    Ok(summary)
}

/// Kills a process and restarts it after one second.
async fn kill_and_restart(cluster: &mut Cluster, name: &str) -> Result<()> {
    cluster.process(name).kill()?;
    sleep(Duration::from_secs(1)).await;
    cluster.process(name).restart()?;
    Ok(())
}

/// Stops a process for longer than its session and continues it.
async fn pause_process(cluster: &Cluster, name: &str) -> Result<()> {
    let id = cluster.id(name);
    send_signal(id, Signal::STOP)?;
    sleep(STOP_TIME).await;
    send_signal(id, Signal::CONT)?;
    Ok(())
}

#[tokio::test]
async fn protected_agent_killed() -> Result<()> {
    let mut cluster = start().await?;
    run_with_fault(&mut cluster, async |c| kill_and_restart(c, "agent-1").await).await?;
    Ok(())
}

#[tokio::test]
async fn protected_agent_stopped() -> Result<()> {
    let mut cluster = start().await?;
    run_with_fault(&mut cluster, async |c| pause_process(c, "agent-1").await).await?;
    Ok(())
}

#[tokio::test]
async fn protected_entry_killed() -> Result<()> {
    let mut cluster = start().await?;
    run_with_fault(&mut cluster, async |c| kill_and_restart(c, "entry-1").await).await?;
    Ok(())
}

#[tokio::test]
async fn protected_entry_stopped() -> Result<()> {
    let mut cluster = start().await?;
    run_with_fault(&mut cluster, async |c| pause_process(c, "entry-1").await).await?;
    Ok(())
}

#[tokio::test]
async fn protected_endpoint_stopped() -> Result<()> {
    let mut cluster = start().await?;
    run_with_fault(&mut cluster, async |c| pause_process(c, "endpoint-1").await).await?;
    Ok(())
}

#[tokio::test]
async fn protected_leader_killed() -> Result<()> {
    let mut cluster = start().await?;
    run_with_fault(&mut cluster, async |c| {
        let name = leader(c).await;
        kill_and_restart(c, &name).await
    })
    .await?;
    Ok(())
}

#[tokio::test]
async fn protected_leader_stopped() -> Result<()> {
    let mut cluster = start().await?;
    run_with_fault(&mut cluster, async |c| {
        let name = leader(c).await;
        pause_process(c, &name).await
    })
    .await?;
    Ok(())
}

#[tokio::test]
async fn protected_agent_and_leader_killed() -> Result<()> {
    let mut cluster = start().await?;
    run_with_fault(&mut cluster, async |c| {
        let name = leader(c).await;
        c.process("agent-1").kill()?;
        kill_and_restart(c, &name).await?;
        c.process("agent-1").restart()?;
        Ok(())
    })
    .await?;
    Ok(())
}

#[tokio::test]
async fn protected_endpoint_misbehaves() -> Result<()> {
    let mut cluster = start().await?;
    run_with_fault(&mut cluster, async |c| {
        let endpoint = c.workers()[0].endpoint;
        for fault in ["short", "crossed", "fail", "none"] {
            let manner = json!({ "millis": REQUEST_MILLIS, "fault": fault });
            Call::put("/manner", &manner).send(endpoint).await?;
            sleep(Duration::from_millis(800)).await;
        }
        Ok(())
    })
    .await?;
    Ok(())
}
