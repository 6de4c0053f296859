//! Reused connections to an endpoint with changing faults: every answer belongs to its own request,
//! and the endpoint's slots are never exceeded.

use {
    bronzespool_fakes::{
        call::Call,
        cluster::{Cluster, Plan, Result},
    },
    serde_json::json,
    std::{fs, net::SocketAddr},
    tempfile::TempDir,
    tokio::task::LocalSet,
};

const SERVICE_FILE: &str = "\
[service]
name = desk

[kind read]
mode = request
deadline = 2s

[kind write]
mode = request
protected = yes
deadline = 2s

[team t]
rate = 10000
inflight = 1000
";

/// Number of concurrent requests, more than the endpoint has slots.
const REQUESTS: u64 = 24;
/// Slots of the endpoint.
const ENDPOINT_SLOTS: u32 = 8;

/// Sends requests concurrently and checks that each answer belongs to its own request. Returns the
/// number of successful answers.
async fn send_requests(entries: &[SocketAddr], kind: &str, first: u64) -> Result<u64> {
    let calls = (first..first + REQUESTS).map(|number| {
        let entry = entries[usize::try_from(number).unwrap() % entries.len()];
        let call = Call::post(format!("/v1/services/desk/{kind}"), &json!({ "number": number }));
        let call = call.header("team", "t").header("idempotency-key", format!("k-{number}"));
        async move { (number, call.send(entry).await) }
    });
    let mut answered = 0;
    for (number, answer) in futures::future::join_all(calls).await {
        let answer = answer?;
        if answer.status.is_success() {
            assert_eq!(answer.json()["body"]["number"], number, "an answer to another request");
            assert_eq!(answer.json()["key"], format!("k-{number}"));
            answered += 1;
        } else {
            assert_ne!(answer.outcome(), "done", "{}", answer.json());
        }
    }
    Ok(answered)
}

async fn set_fault(cluster: &Cluster, fault: &str) -> Result<()> {
    let body = json!({ "millis": 5, "fault": fault });
    Call::put("/manner", &body).send(cluster.workers()[0].endpoint).await?;
    Ok(())
}

async fn check_changing_faults() -> Result<()> {
    let folder = TempDir::new()?;
    fs::write(folder.path().join("service.ini"), SERVICE_FILE)?;
    let cluster = Cluster::start(Plan::small("desk", folder.path(), 1).millis(5)).await?;
    assert!(cluster.publish("p").await?.status.is_success());
    let entries: Vec<_> = cluster.entries().iter().map(|(_, address)| *address).collect();
    let mut first = 0;
    let mut healthy = 0;
    for fault in ["none", "short", "none", "crossed", "none", "hang", "none"] {
        if fault == "hang" {
            // From here on the fake endpoint counts requests that it never finishes as running.
            let record = cluster.record(0).await?;
            assert!(
                record.peak <= ENDPOINT_SLOTS,
                "{} requests at once at {ENDPOINT_SLOTS} slots",
                record.peak
            );
        }
        set_fault(&cluster, fault).await?;
        for kind in ["read", "write"] {
            let answered = send_requests(&entries, kind, first).await?;
            first += REQUESTS;
            if fault == "none" {
                healthy += answered;
            } else {
                assert_eq!(answered, 0, "{kind} while the endpoint's fault is {fault}");
            }
        }
    }
    assert!(healthy > 0, "nothing was answered between the faults");
    Ok(())
}

#[test]
fn serve_changing_faults_every_answer_is_own() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(LocalSet::new().run_until(check_changing_faults())).unwrap();
}
