//! Announcements of agents that were held up on their way.

mod common;

use {
    bronzespool::{
        core::{Capacity, Code, Place},
        wire::message::{Announce, Call, Reply},
    },
    bronzespool_fakes::cluster::{Cluster, Result},
    common::{forward_call, leader, plan, publish_with_retry, send_request, wait_until},
    std::time::Duration,
    tokio::{
        task::LocalSet,
        time::{Instant, sleep},
    },
};

/// Longest time after which an agent serves again; several times the lease of a session.
const SERVE_MAX: Duration = Duration::from_secs(25);

// An announcement of the agent's former process reached the leader after that of the next one: the
// live agent kept its session, and all its requests were refused for ever.
#[tokio::test]
async fn announce_held_up_one_of_a_former_process_strands_no_agent() -> Result<()> {
    LocalSet::new().run_until(scenario()).await
}

async fn scenario() -> Result<()> {
    let mut cluster = Cluster::start(plan(1)).await?;
    publish_with_retry(&cluster, Some(0), "op-0", &["check"], true).await;
    let worker = cluster.workers()[0].clone();
    cluster.process("agent-1").kill()?;
    let former = Announce {
        place: Place {
            region: "r1".try_into()?,
            center: "c1".try_into()?,
            rack: "c1-r1".try_into()?,
            instance: worker.instance.as_str().try_into()?,
        },
        nonce: 17,
        address: worker.agent,
        services: vec!["desk".try_into()?],
        capacity: Capacity { slots: 8, connections: 64, cores: 64, memory: 131_072, accels: 8 },
        leaving: false,
    };
    let first = announce(&cluster, former.clone()).await;
    assert!(matches!(first, Ok(Reply::Announced { .. })), "{first:?}");
    cluster.process("agent-1").restart()?;
    wait_until("the next process serves", async || serves(&cluster).await).await;
    // Whether this copy is refused does not matter.
    let _ = announce(&cluster, former).await;
    let end = Instant::now() + SERVE_MAX;
    sleep(Duration::from_secs(1)).await;
    while !serves(&cluster).await? {
        assert!(Instant::now() < end, "the live agent serves no request");
        sleep(Duration::from_millis(100)).await;
    }
    Ok(())
}

async fn announce(cluster: &Cluster, announce: Announce) -> bronzespool::wire::message::CallResult {
    let name = leader(cluster).await;
    let address = cluster.controls().iter().find(|(n, _)| *n == name).unwrap().1;
    forward_call(address, Call::Announce(announce)).await.unwrap()
}

async fn serves(cluster: &Cluster) -> Result<bool> {
    Ok(send_request(cluster, 0, "check", None).await?.code() == Code::Done.number())
}
