//! Guarantees that hold when a publication is reported as in force.

mod common;

use {
    bronzespool::core::Code,
    bronzespool_fakes::{
        cluster::{Cluster, Result, Signal, send_signal},
        relay::Mode,
    },
    common::{
        DONE, assert_never_behind, leader, plan, publish, publish_with_retry, revision,
        send_request, wait_until, with_monotone_revision,
    },
    std::time::{Duration, Instant},
    tokio::time::sleep,
};

/// Number of publications, which alternate between two kinds.
const CHANGES: u64 = 40;
/// A long session lease, so that the tests notice if a session is disregarded too early.
const LONG_LEASE: &str = "session = 8s\nrenew = 1s\n";
/// Minimum time for which the session of a stopped entry lasts: the lease less the time since the
/// last renewal, with a generous allowance for a delayed renewal.
const LEASE_TIME_MIN: Duration = Duration::from_secs(4);

/// When a waiting publication returns, every entry refuses the kind that it removed and serves the
/// kind that it added.
#[tokio::test]
async fn in_force_at_once() -> Result<()> {
    let cluster = Cluster::start(plan(1)).await?;
    let kinds = ["even", "odd"];
    for base in 0..CHANGES {
        let (new, old) = (kinds[base as usize % 2], kinds[(base as usize + 1) % 2]);
        let answer = publish(&cluster, 0, Some(base), &format!("op-{base}"), &[new], true).await?;
        assert_eq!((revision(&answer), &answer.json()["in_force"]), (base + 1, &true.into()));
        for entry in [1, 0] {
            let removed = send_request(&cluster, entry, old, None).await?;
            assert_eq!(removed.code(), Code::UnknownKind.number(), "{}", removed.json());
            let added = send_request(&cluster, entry, new, None).await?;
            assert_eq!(added.code(), DONE, "{}", added.json());
        }
    }
    Ok(())
}

/// A stopped entry delays a publication exactly as long as its session lasts. When it continues, it
/// accepts no work before it has caught up.
#[tokio::test]
async fn in_force_entry_stopped() -> Result<()> {
    let mut cluster = Cluster::start(plan(1).timing(LONG_LEASE)).await?;
    publish_with_retry(&cluster, Some(0), "op-0", &["old"], true).await;
    let started = Instant::now();
    cluster.process("entry-2").signal(Signal::STOP)?;
    publish_while_stopped(&mut cluster, started).await
}

/// The same holds if the hub of the session is killed and restarts without the session.
#[tokio::test]
async fn in_force_hub_restarted() -> Result<()> {
    let mut cluster = Cluster::start(plan(1).timing(LONG_LEASE)).await?;
    publish_with_retry(&cluster, Some(0), "op-0", &["old"], true).await;
    let started = Instant::now();
    cluster.process("entry-2").signal(Signal::STOP)?;
    let hubs: Vec<_> = cluster.controls().iter().map(|(name, _)| name.clone()).collect();
    for name in &hubs {
        cluster.process(name).kill()?;
        cluster.process(name).restart()?;
    }
    publish_while_stopped(&mut cluster, started).await
}

/// A hub that is cut off from its peers, but not from its sessions, lets the sessions end when
/// its own lease expires.
#[tokio::test]
async fn in_force_hub_cut_off() -> Result<()> {
    let cluster = Cluster::start(plan(1).relayed()).await?;
    publish_with_retry(&cluster, Some(0), "op-0", &["old"], true).await;
    // Each entry prefers the control instance of its own number.
    let number = usize::from(leader(&cluster).await == cluster.controls()[0].0);
    cluster.isolate_peers(&cluster.controls()[number].0, Mode::Freeze);
    let other = 1 - number;
    let answer = publish(&cluster, other, Some(1), "op-1", &["new"], true).await?;
    assert_eq!((revision(&answer), &answer.json()["in_force"]), (2, &true.into()));
    assert_never_behind(cluster.entry(number), 2).await;
    wait_until("the entry has moved to another hub", async || {
        Ok(send_request(&cluster, number, "new", None).await?.code() == DONE)
    })
    .await;
    Ok(())
}

/// Publishes while `entry-2` is stopped, then continues it.
async fn publish_while_stopped(cluster: &mut Cluster, started: Instant) -> Result<()> {
    let entries = cluster.entries().to_vec();
    let answer = publish_with_retry(cluster, Some(1), "op-1", &["new"], true).await;
    assert_eq!((revision(&answer), &answer.json()["in_force"]), (2, &true.into()));
    let elapsed = started.elapsed();
    assert!(elapsed >= LEASE_TIME_MIN, "in force {elapsed:?} after the entry was stopped");
    let early = send_request(cluster, 1, "old", None);
    let id = cluster.id("entry-2");
    let scenario = async {
        let (early, ()) = tokio::join!(early, async {
            // The request waits in the stopped entry's socket.
            sleep(Duration::from_millis(200)).await;
            send_signal(id, Signal::CONT).unwrap();
        });
        assert_ne!(early.unwrap().code(), DONE);
        assert_never_behind(entries[1].1, 2).await;
        wait_until("the entry serves again", async || {
            Ok(send_request(cluster, 1, "new", None).await?.code() == DONE)
        })
        .await;
    };
    with_monotone_revision(&entries[..1], scenario).await;
    Ok(())
}
