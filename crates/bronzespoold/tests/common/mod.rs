//! A small service on a cluster of processes, and helpers of the control and request tests.

#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

use {
    bronzespool::wire::{
        bronzespool_capnp::control,
        frame,
        link::{self, Link},
        message::{Call as ControlCall, CallResult},
    },
    bronzespool_fakes::{
        call::{Answer, Call},
        cluster::{Cluster, Plan, Result},
    },
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        path::Path,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Pause between two checks of a condition.
const POLL_PAUSE: Duration = Duration::from_millis(20);
/// Pause between two samples of an entry's configuration.
const SAMPLE_PAUSE: Duration = Duration::from_millis(2);
/// Longest wait for a condition, generous for slow runs.
const WAIT_MAX: Duration = Duration::from_secs(60);
/// Longest wait for one response to a publication, since the entry may be stopped.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(35);
/// Longest wait for one response to a status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(8);
/// Time for which an entry is watched.
const WATCH_TIME: Duration = Duration::from_secs(2);
/// Longest wait for the reply to a call made directly to a control instance.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(30);
/// Result code of a publication on an outdated base revision.
pub(crate) const CONFLICT: u16 = 5001;
/// Result code of a successful answer.
pub(crate) const DONE: u16 = 1000;

/// Plan of a cluster of three control instances, two entries and `workers` endpoints.
pub(crate) fn plan(workers: u32) -> Plan {
    let mut plan = Plan::small("desk", Path::new("."), workers);
    plan.files.clear();
    plan
}

/// Service file of service `desk` with these kinds of requests; `ledger` is protected.
pub(crate) fn service_files(kinds: &[&str]) -> Value {
    let mut text = String::from("[service]\nname = desk\n");
    for kind in kinds {
        let protected = if *kind == "ledger" { "protected = yes\n" } else { "" };
        text += &format!("\n[kind {kind}]\nmode = request\n{protected}deadline = 10s\n");
    }
    text += "\n[team club]\nguarantee = 1 x block-1\n";
    json!([{ "path": "desk/service.ini", "text": text }])
}

/// Publishes service `desk` through an entry.
pub(crate) async fn publish(
    cluster: &Cluster,
    entry: usize,
    base: Option<u64>,
    op: &str,
    kinds: &[&str],
    wait: bool,
) -> Result<Answer> {
    let body = json!({ "base": base, "op": op, "files": service_files(kinds), "wait": wait });
    Call::post("/v1/config", &body).send(cluster.entry(entry)).await
}

/// Publishes through the entries in turn and resends until control has answered.
pub(crate) async fn publish_with_retry(
    cluster: &Cluster,
    base: Option<u64>,
    op: &str,
    kinds: &[&str],
    wait: bool,
) -> Answer {
    let end = Instant::now() + WAIT_MAX;
    for turn in 0.. {
        let entry = turn % cluster.entries().len();
        let attempt =
            timeout(PUBLISH_TIMEOUT, publish(cluster, entry, base, op, kinds, wait)).await;
        match attempt.map_err(Into::into).flatten() {
            Ok(answer) if matches!(answer.code(), DONE | CONFLICT) => return answer,
            other => assert!(Instant::now() < end, "{op} has no final answer: {other:?}"),
        }
        sleep(POLL_PAUSE).await;
    }
    unreachable!()
}

/// Revision that a publication created.
pub(crate) fn revision(answer: &Answer) -> u64 {
    assert_eq!(answer.code(), DONE, "{}", answer.json());
    answer.json()["revision"].as_u64().expect("a revision")
}

/// Sends one request of a kind through an entry.
pub(crate) async fn send_request(
    cluster: &Cluster,
    entry: usize,
    kind: &str,
    key: Option<&str>,
) -> Result<Answer> {
    let body = json!({ "number": 7 });
    let mut call = Call::post(format!("/v1/services/desk/{kind}"), &body).header("team", "club");
    if let Some(key) = key {
        call = call.header("idempotency-key", key);
    }
    call.send(cluster.entry(entry)).await
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(what: &str, mut holds: impl AsyncFnMut() -> Result<bool>) {
    let end = Instant::now() + WAIT_MAX;
    loop {
        let outcome = holds().await;
        if matches!(outcome, Ok(true)) {
            return;
        }
        assert!(Instant::now() < end, "not in time: {what}: {outcome:?}");
        sleep(POLL_PAUSE).await;
    }
}

/// Status of the cluster, from any entry that responds.
pub(crate) async fn status(cluster: &Cluster) -> Value {
    let end = Instant::now() + WAIT_MAX;
    for turn in 0.. {
        let attempt = timeout(STATUS_TIMEOUT, cluster.status(turn % cluster.entries().len())).await;
        match attempt.map_err(Into::into).flatten() {
            Ok(status) => return status,
            Err(error) => assert!(Instant::now() < end, "no status: {error}"),
        }
        sleep(POLL_PAUSE).await;
    }
    unreachable!()
}

/// Name of the leader.
pub(crate) async fn leader(cluster: &Cluster) -> String {
    status(cluster).await["leader"].as_str().unwrap_or_default().to_owned()
}

/// Name of a control instance that is not the leader.
pub(crate) async fn follower(cluster: &Cluster) -> String {
    let leader = leader(cluster).await;
    let mut names = cluster.controls().iter().map(|(name, _)| name.clone());
    names.find(|name| *name != leader).expect("a follower")
}

/// Row of a replica in the status.
pub(crate) fn replica_row(status: &Value, name: &str) -> Value {
    let rows = status["replicas"].as_array().cloned().unwrap_or_default();
    rows.into_iter().rfind(|row| row["instance"] == name).unwrap_or_default()
}

/// Waits until each control instance is exactly one voter that has all committed entries.
pub(crate) async fn wait_replicated(cluster: &Cluster) {
    wait_until("all replicas vote and are current", async || {
        let status = status(cluster).await;
        let rows = status["replicas"].as_array().cloned().unwrap_or_default();
        let commit = status["commit"].as_u64();
        let current = |row: &Value| {
            let own = row["instance"] == status["leader"];
            row["voter"] == true && (own || row["matched"].as_u64() >= commit)
        };
        Ok(rows.len() == cluster.controls().len() && rows.iter().all(current))
    })
    .await;
}

/// Runs a scenario while sampling the configuration of every entry, and asserts that its revision
/// never decreases, even across a restart.
pub(crate) async fn with_monotone_revision<T>(
    entries: &[(String, SocketAddr)],
    scenario: impl Future<Output = T>,
) -> T {
    let samples = entries.iter().map(|(name, address)| async move {
        let mut highest = 0;
        loop {
            if let Ok(answer) = Call::get("/v1/config").send(*address).await
                && answer.code() == DONE
            {
                let now = answer.json()["revision"].as_u64().expect("a revision");
                assert!(now >= highest, "{name} went from revision {highest} back to {now}");
                highest = now;
            }
            sleep(SAMPLE_PAUSE).await;
        }
    });
    tokio::select! {
        result = scenario => result,
        _ = futures::future::join_all(samples) => unreachable!(),
    }
}

/// Makes a forwarded call, as hubs send them to the leader, directly to a control instance. Must
/// run inside a [`tokio::task::LocalSet`].
pub(crate) async fn forward_call(
    address: SocketAddr,
    call: ControlCall,
) -> link::Result<CallResult> {
    let bytes = frame::encode(&call);
    let link: Link<control::Client> = Link::new(address);
    link.call(FORWARD_TIMEOUT, |client| async move {
        let mut request = client.forward_request();
        request.get().set_call(&bytes);
        let response = request.send().promise.await?;
        Ok(frame::decode(response.get()?.get_reply()?)?)
    })
    .await
}

/// Asserts, while watching an entry, that it is never ready with a revision below `least`.
pub(crate) async fn assert_never_behind(address: SocketAddr, least: u64) {
    let end = Instant::now() + WATCH_TIME;
    while Instant::now() < end {
        let ready = Call::get("/readyz").send(address).await.unwrap().status.is_success();
        let config = Call::get("/v1/config").send(address).await.unwrap();
        let revision = config.json()["revision"].as_u64();
        // Without a session the configuration response has no revision.
        let behind = revision.is_some_and(|r| r < least);
        assert!(!(ready && behind), "ready on revision {revision:?} of {least}");
    }
}
