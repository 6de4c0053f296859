//! Drain of a data centre under load and failures: requests go elsewhere and come back.

mod common;
mod load;

use {
    bronzespool::{
        core::{Code, Digest, Instance, Time},
        flow::claim::{ClaimId, ClaimRequest, Incarnation},
        wire::{
            bronzespool_capnp::agent,
            frame,
            link::Link,
            message::{Call as ControlCall, Reply, RunMode, RunReply, RunRequest},
        },
    },
    bronzespool_fakes::{
        call::{Answer, Call},
        cluster::{Cluster, Plan, Result, Signal},
    },
    common::{
        DONE, forward_call, leader, plan, publish_with_retry, send_request, status, wait_until,
    },
    futures::future::join_all,
    load::send_protected,
    serde_json::{Value, json},
    std::{
        fs,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{task::LocalSet, time::sleep},
};

/// Duration in milliseconds of one request at an endpoint, long enough that some are in flight when
/// a drain commits.
const REQUEST_MILLIS: u64 = 50;
/// Duration in milliseconds of one request while others wait in the queue: it is still running when
/// the drains are in force, and all of them could run before their deadline of 10 s.
const QUEUED_MILLIS: u64 = 3_000;
/// Duration of the load.
const LOAD_TIME: Duration = Duration::from_secs(6);
/// Text of the log line of an entry to which an agent does not answer.
const AGENT_SILENT: &str = "an agent does not answer";
/// Time after which log lines are written; they gather for a tenth of a second.
const LOG_DELAY: Duration = Duration::from_secs(1);
/// Number of records after which a replica takes a snapshot.
const SNAPSHOT_RECORDS: usize = 10_000;
/// Number of calls at a time.
const CALLS: usize = 50;
/// Result code of a change that is based on another revision.
const CONFLICT: u16 = 5001;
/// Result code for a data centre that is not announced.
const UNKNOWN_CENTER: u16 = 5006;
/// Result code of work that is refused because of a drain.
const CENTER_DRAINED: u16 = 3015;

/// One worker and one entry in each of two data centres.
fn two_centers() -> Plan {
    let mut plan = plan(1);
    plan.centers.push(("c2".to_owned(), "r1".to_owned(), vec![1]));
    plan
}

async fn start() -> Result<Cluster> {
    let cluster = Cluster::start(two_centers().millis(REQUEST_MILLIS)).await?;
    publish_with_retry(&cluster, Some(0), "op-0", &["check", "ledger"], true).await;
    Ok(cluster)
}

async fn order(entry: SocketAddr, center: &str, action: &str, body: &Value) -> Result<Answer> {
    Call::post(format!("/v1/centers/{center}/{action}"), body).send(entry).await
}

/// Orders a change through an entry and waits until every session has it.
async fn change(cluster: &Cluster, entry: usize, center: &str, action: &str) -> Result<u64> {
    let entry = cluster.entry(entry);
    let answer = order(entry, center, action, &json!({})).await?;
    assert!(answer.status.is_success(), "{}", answer.json());
    let path = format!("/v1/centers/{center}");
    wait_until("the change is in force", async || {
        Ok(Call::get(path.clone()).send(entry).await?.json()["in_force"] == true)
    })
    .await;
    Ok(answer.json()["revision"].as_u64().expect("a revision"))
}

/// Number of requests that an endpoint has started, protected or not.
async fn starts(cluster: &Cluster, worker: usize) -> Result<u64> {
    let record = cluster.record(worker).await?;
    Ok(record.others + record.keys.values().map(|k| k.len() as u64).sum::<u64>())
}

fn entries(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.entries().iter().map(|(_, address)| *address).collect()
}

/// Guards against requests that reach a drained data centre, against answers "not run" to requests
/// that were on their way when the drain committed and ran, and against a restore without effect.
#[tokio::test]
async fn drained_center_gets_no_requests_until_restored() -> Result<()> {
    let cluster = start().await?;
    let entries = entries(&cluster);
    let end = Instant::now() + LOAD_TIME;
    let drain = async {
        sleep(Duration::from_secs(1)).await;
        assert!(starts(&cluster, 0).await? > 0, "the data centre works before its drain");
        change(&cluster, 1, "c1", "drain").await?;
        let then = starts(&cluster, 0).await?;
        sleep(Duration::from_secs(2)).await;
        assert_eq!(starts(&cluster, 0).await?, then, "requests started after the drain");
        change(&cluster, 0, "c1", "restore").await?;
        wait_until("the data centre works again", async || Ok(starts(&cluster, 0).await? > then))
            .await;
        Ok(())
    };
    let (histories, drained): (_, Result<()>) = tokio::join!(load::run_load(&entries, end), drain);
    drained?;
    let summary = load::check_histories(&cluster, &histories).await?;
    assert_eq!((summary.unknown, summary.unanswered), (0, 0), "{summary:?}");
    Ok(())
}

/// Guards against an order that is lost when its leader is killed under it, against a drain that is
/// lost with a restart of all processes, and against the next start of an agent that ends it.
#[tokio::test]
async fn drain_survives_leader_change_and_restarts() -> Result<()> {
    let mut cluster = start().await?;
    let former = leader(&cluster).await;
    let (entry, base) = (cluster.entry(0), json!({ "base": 0 }));
    let first = order(entry, "c1", "drain", &base);
    let (first, killed) = tokio::join!(first, async { cluster.process(&former).kill() });
    killed?;
    assert!(first?.code() != CONFLICT);
    wait_until("the order is answered", async || {
        Ok(order(entry, "c1", "drain", &base).await?.code() == DONE)
    })
    .await;
    let revision = change(&cluster, 1, "c1", "drain").await?;
    assert_served_by_second(&cluster, "a").await?;
    cluster.process(&former).restart()?;
    let names: Vec<_> = cluster.ids().into_iter().map(|(name, _)| name).collect();
    for name in names.iter().filter(|name| !name.starts_with("endpoint")) {
        cluster.process(name).kill()?;
    }
    for name in names.iter().filter(|name| !name.starts_with("endpoint")) {
        cluster.process(name).restart()?;
    }
    cluster.wait_ready().await?;
    assert_served_by_second(&cluster, "b").await?;
    let row = status(&cluster).await["centers"][0].clone();
    assert_eq!((&row["drained"], &row["revision"]), (&json!(true), &json!(revision)), "{row}");
    Ok(())
}

async fn assert_served_by_second(cluster: &Cluster, prefix: &str) -> Result<()> {
    let before = starts(cluster, 0).await?;
    for number in 0..6 {
        let key = format!("{prefix}-{number}");
        wait_until("a protected request is served", async || {
            let answer = send_protected(cluster.entry(number % 2), &key, number).await;
            Ok(answer.is_some_and(|a| a.status.is_success()))
        })
        .await;
    }
    assert_eq!(starts(cluster, 0).await?, before, "the drained data centre got requests");
    Ok(())
}

/// Guards against orders with more than one outcome: repeats, orders on an old revision, and orders
/// for data centres that are not announced.
#[tokio::test]
async fn orders_have_one_outcome() -> Result<()> {
    let cluster = start().await?;
    let (one, two) = (cluster.entry(0), cluster.entry(1));
    let base = json!({ "base": 0 });
    let first = order(one, "c1", "drain", &base).await?;
    let again = order(two, "c1", "drain", &base).await?;
    assert_eq!(first.json()["revision"], again.json()["revision"], "{}", again.json());
    let restored = order(one, "c1", "restore", &json!({})).await?;
    assert_eq!(restored.json()["drained"], false, "{}", restored.json());
    let late = order(two, "c1", "drain", &base).await?;
    assert_eq!((late.code(), late.outcome()), (CONFLICT, "not-run"));
    let unknown = order(one, "c9", "drain", &json!({})).await?;
    assert_eq!((unknown.status.as_u16(), unknown.code()), (404, UNKNOWN_CENTER));
    let message = unknown.json()["message"].to_string();
    assert!(message.contains("c1, c2"), "{message}");
    Ok(())
}

/// Guards against an entry that has not seen the drain: the agent and control each refuse what it
/// sends.
#[tokio::test]
async fn stale_entry_is_refused_by_agent_and_control() -> Result<()> {
    LocalSet::new().run_until(stale_entry()).await
}

async fn stale_entry() -> Result<()> {
    let cluster = start().await?;
    change(&cluster, 0, "c1", "drain").await?;
    let status = status(&cluster).await;
    let row =
        status["endpoints"].as_array().and_then(|rows| rows.iter().find(|r| r["center"] == "c1"));
    let number = row.and_then(|r| r["incarnation"].as_u64()).expect("an incarnation");
    let request = RunRequest {
        request: "stale".to_owned(),
        revision: status["revision"].as_u64().expect("a revision"),
        incarnation: number,
        mode: RunMode::Idempotent,
        team: "club".try_into()?,
        service: "desk".try_into()?,
        kind: "check".try_into()?,
        key: None,
        digest: Digest::of(b"{}"),
        slots: 1,
        timeout_millis: 5_000,
    };
    let link: Link<agent::Client> = Link::new(cluster.workers()[0].agent);
    let reply: RunReply = link
        .call(Duration::from_secs(10), |client| async move {
            let mut call = client.run_request();
            call.get().set_run(&frame::encode(&request));
            call.get().set_body(b"{}");
            let response = call.send().promise.await?;
            Ok(frame::decode(response.get()?.get_reply()?)?)
        })
        .await?;
    let refused = reply.result.map_err(|refusal| refusal.code);
    assert_eq!((refused, reply.state.accepting), (Err(Code::CenterDrained), false));
    let instance = cluster.workers()[0].instance.as_str().try_into()?;
    let id = ClaimId {
        team: "club".try_into()?,
        service: "desk".try_into()?,
        kind: "ledger".try_into()?,
        key: "k".try_into()?,
    };
    let target = Incarnation { instance, number };
    let expires = Time::from_secs(1);
    let claim = ClaimRequest { id, digest: Digest::of(b"{}"), target, expires };
    let address = cluster.controls().iter().find(|(name, _)| status["leader"] == name.as_str());
    let address = address.expect("the leader's address").1;
    let claimed = forward_call(address, ControlCall::Claim(claim)).await?;
    assert_eq!(claimed.map_err(|refusal| refusal.code), Err(Code::CenterDrained));
    assert_eq!(starts(&cluster, 0).await?, 0);
    Ok(())
}

/// Guards against entries that send requests to a drained data centre and rely on the refusal of its
/// agents: a frozen agent refuses nothing, and the entry would find it silent.
#[tokio::test]
async fn frozen_agent_of_drained_center_gets_no_request() -> Result<()> {
    let mut cluster = start().await?;
    change(&cluster, 0, "c1", "drain").await?;
    cluster.process("agent-1").signal(Signal::STOP)?;
    for number in 0..12 {
        let answer = send_request(&cluster, 0, "check", None).await?;
        assert_eq!(answer.code(), DONE, "request {number}: {}", answer.json());
    }
    sleep(LOG_DELAY).await;
    let log = fs::read_to_string(cluster.folder().join("entry-1.log"))?;
    let silent: Vec<_> = log.lines().filter(|line| line.contains(AGENT_SILENT)).collect();
    assert!(silent.is_empty(), "{silent:?}");
    Ok(())
}

/// Guards against a drain that is missing in the snapshot of control, or that the scheduler and the
/// view do not get back from it.
#[tokio::test]
async fn drain_survives_snapshot() -> Result<()> {
    LocalSet::new().run_until(snapshot()).await
}

async fn snapshot() -> Result<()> {
    let mut cluster = start().await?;
    change(&cluster, 0, "c1", "drain").await?;
    let name = leader(&cluster).await;
    let address = cluster.controls().iter().find(|(n, _)| *n == name).expect("the leader").1;
    // Records that change nothing, so that each replica takes a snapshot.
    let instance: Instance = cluster.workers()[0].instance.as_str().try_into()?;
    for _ in 0..SNAPSHOT_RECORDS / CALLS {
        let call = || {
            let former = Incarnation { instance: instance.clone(), number: 0 };
            forward_call(address, ControlCall::DrainIncarnation(former))
        };
        for reply in join_all((0..CALLS).map(|_| call())).await {
            assert!(matches!(reply?, Ok(Reply::Acknowledged)));
        }
    }
    let controls: Vec<_> = cluster.controls().iter().map(|(name, _)| name.clone()).collect();
    // All before the first one is killed: the others may need it for the last records.
    for name in &controls {
        let file = cluster.data(name).join("snapshot");
        wait_until("each replica has taken a snapshot", async || Ok(file.exists())).await;
    }
    for name in &controls {
        cluster.process(name).kill()?;
    }
    for name in &controls {
        cluster.process(name).restart()?;
    }
    cluster.wait_ready().await?;
    assert_served_by_second(&cluster, "c").await?;
    let status = status(&cluster).await;
    let row = &status["centers"][0];
    assert_eq!((&row["center"], &row["drained"]), (&json!("c1"), &json!(true)), "{row}");
    assert_eq!(status["schedule"]["total"], 8, "accelerators on which work may be placed");
    Ok(())
}

/// Guards against requests that wait for their deadline when all data centres are drained, in the
/// queue or new, against a "not run" that is untrue, and against running requests that are cut.
#[tokio::test]
async fn all_centers_drained_requests_are_refused() -> Result<()> {
    let mut plan = two_centers().millis(QUEUED_MILLIS);
    plan.capacity.slots = 1;
    let cluster = Cluster::start(plan).await?;
    publish_with_retry(&cluster, Some(0), "op-0", &["check", "ledger"], true).await;
    let calls = join_all((0..6).map(|_| send_request(&cluster, 0, "check", None)));
    let drain = async {
        wait_until("both endpoints work", async || {
            Ok(starts(&cluster, 0).await? + starts(&cluster, 1).await? == 2)
        })
        .await;
        change(&cluster, 1, "c1", "drain").await?;
        change(&cluster, 1, "c2", "drain").await
    };
    let (answers, drained) = tokio::join!(calls, drain);
    drained?;
    let codes: Result<Vec<_>> = answers.into_iter().map(|a| Ok(a?.code())).collect();
    let mut codes = codes?;
    codes.sort_unstable();
    assert_eq!(codes, [&[DONE; 2][..], &[CENTER_DRAINED; 4]].concat());
    let refused = send_request(&cluster, 1, "ledger", Some("k")).await?;
    assert_eq!(refused.code(), CENTER_DRAINED, "{}", refused.json());
    assert!(refused.headers.contains_key("retry-after"), "{:?}", refused.headers);
    assert_eq!(cluster.starts("k").await?, 0);
    change(&cluster, 0, "c2", "restore").await?;
    assert_eq!(send_request(&cluster, 1, "ledger", Some("k")).await?.code(), DONE);
    Ok(())
}
