//! Guaranteed cells come back from work that borrows them.

mod jobs_support;

use {
    bronzespool_fakes::{cluster::Signal, worker::State},
    jobs_support::{Desk, gang, instances, unix_millis, until},
};

/// Span after which control hands cells on that were borrowed by a worker it does not hear.
const SPAN_MAX_MS: u64 = 6_000;

fn kinds() -> String {
    let batch = gang("batch", "runtime = 60s\ncheckpoint = 1s");
    format!("{batch}{}", gang("rebuild", "runtime = 3s\nrestart = yes"))
}

#[tokio::test]
async fn reclaim_stops_borrower_after_checkpoint() {
    let desk = Desk::start(&[3], &kinds()).await;
    let borrower = desk.submit("guest", "batch", "k1").await;
    desk.started(&borrower, 1, 2).await;
    let asked = unix_millis();
    let owner = desk.submit("owner", "rebuild", "k2").await;
    desk.started(&owner, 1, 2).await;
    let mut reclaimed = 0;
    for record in desk.records().await {
        let name = |job: &str| record.tasks.iter().find(|t| t.name.starts_with(job)).cloned();
        let (Some(before), Some(after)) = (name(&borrower), name(&owner)) else {
            continue;
        };
        reclaimed += 1;
        assert_eq!(before.state, State::Stopped);
        assert!(before.checkpoints > 0, "saved before its stop");
        assert!(before.ended.is_some_and(|end| end <= after.started), "stopped before the start");
        println!("reclaimed in {} ms", record.began + after.started - asked);
    }
    assert!(reclaimed > 0, "the gangs of four members share one of three workers at least");
    desk.assert_no_overlap().await;
    assert_eq!(desk.phase(&owner, "ended").await["outcome"], "done");
    desk.started(&borrower, 2, 2).await;
}

#[tokio::test]
async fn reclaim_from_cut_off_worker_waits_for_lease() {
    let mut desk = Desk::start(&[3], &kinds()).await;
    let borrower = desk.submit("guest", "batch", "k1").await;
    desk.started(&borrower, 1, 2).await;
    let view = desk.phase(&borrower, "running").await;
    let cut = desk.number(&instances(&view)[0]);
    let agent = format!("agent-{}", cut + 1);
    desk.cluster.process(&agent).signal(Signal::STOP).expect("a signal");
    let stopped = unix_millis();
    let owner = desk.submit("owner", "rebuild", "k2").await;
    let name = format!("{borrower}.1.0");
    let end =
        until("the end of the borrower's lease", async || desk.record(cut).await.ended(&name))
            .await;
    let record = desk.record(cut).await;
    assert_eq!(record.task(&name).map(|t| t.state), Some(State::Expired));
    let took = end.saturating_sub(stopped);
    println!("the cut-off task ended {took} ms after the cut");
    assert!(took <= SPAN_MAX_MS, "{took} ms");
    let ended = desk.phase(&owner, "ended").await;
    assert_eq!(ended["outcome"], "done", "{ended}");
    desk.cluster.process(&agent).signal(Signal::CONT).expect("a signal");
    desk.started(&borrower, 2, 2).await;
    for record in desk.records().await {
        let mut spans: Vec<_> =
            record.tasks.iter().map(|t| (t.started, t.ended.unwrap_or(u64::MAX))).collect();
        spans.sort_unstable();
        let apart = spans.windows(2).all(|pair| pair[0].1 <= pair[1].0);
        assert!(apart, "two tasks on one accelerator: {:?}", record.tasks);
    }
    desk.assert_no_overlap().await;
}
