//! Reclaiming of guaranteed cells from jobs that borrow them.

mod jobs_support;

use {
    bronzespool_fakes::{cluster::Signal, worker::State},
    jobs_support::{JobSystem, gang, instances, unix_millis, wait_until},
};

/// Maximum milliseconds after which control reassigns borrowed cells of a worker whose agent is
/// silent.
const LEASE_END_MAX_MS: u64 = 6_000;

fn kinds() -> String {
    let batch = gang("batch", "runtime = 60s\ncheckpoint = 1s");
    format!("{batch}{}", gang("rebuild", "runtime = 3s\nrestart = yes"))
}

#[tokio::test]
async fn reclaim_stops_borrower_after_checkpoint() {
    let system = JobSystem::start(&[3], &kinds()).await;
    let borrower = system.submit("guest", "batch", "k1").await;
    system.wait_started(&borrower, 1, 2).await;
    let submitted_at = unix_millis();
    let owner = system.submit("owner", "rebuild", "k2").await;
    system.wait_started(&owner, 1, 2).await;
    let mut reclaimed = 0;
    for record in system.records().await {
        let task = |job: &str| record.tasks.iter().find(|t| t.name.starts_with(job)).cloned();
        let (Some(before), Some(after)) = (task(&borrower), task(&owner)) else {
            continue;
        };
        reclaimed += 1;
        assert_eq!(before.state, State::Stopped);
        assert!(before.checkpoints > 0, "saved before its stop");
        assert!(before.ended.is_some_and(|end| end <= after.started), "stopped before the start");
        println!("reclaimed in {} ms", record.began + after.started - submitted_at);
    }
    assert!(
        reclaimed > 0,
        "the four members of both gangs share at least one of the three workers"
    );
    system.assert_no_overlap().await;
    assert_eq!(system.wait_phase(&owner, "ended").await["outcome"], "done");
    system.wait_started(&borrower, 2, 2).await;
}

#[tokio::test]
async fn reclaim_from_cut_off_worker_waits_for_lease() {
    let mut system = JobSystem::start(&[3], &kinds()).await;
    let borrower = system.submit("guest", "batch", "k1").await;
    system.wait_started(&borrower, 1, 2).await;
    let view = system.wait_phase(&borrower, "running").await;
    let isolated = system.worker_number(&instances(&view)[0]);
    let agent = format!("agent-{}", isolated + 1);
    system.cluster.process(&agent).signal(Signal::STOP).expect("a signal");
    let stopped = unix_millis();
    let owner = system.submit("owner", "rebuild", "k2").await;
    let name = format!("{borrower}.1.0");
    let end = wait_until("the end of the borrower's lease", async || {
        system.record(isolated).await.ended(&name)
    })
    .await;
    let record = system.record(isolated).await;
    assert_eq!(record.task(&name).map(|t| t.state), Some(State::Expired));
    let elapsed = end.saturating_sub(stopped);
    println!("the cut-off task ended {elapsed} ms after the cut");
    assert!(elapsed <= LEASE_END_MAX_MS, "{elapsed} ms");
    let ended = system.wait_phase(&owner, "ended").await;
    assert_eq!(ended["outcome"], "done", "{ended}");
    system.cluster.process(&agent).signal(Signal::CONT).expect("a signal");
    system.wait_started(&borrower, 2, 2).await;
    for record in system.records().await {
        let mut spans: Vec<_> =
            record.tasks.iter().map(|t| (t.started, t.ended.unwrap_or(u64::MAX))).collect();
        spans.sort_unstable();
        let apart = spans.windows(2).all(|pair| pair[0].1 <= pair[1].0);
        assert!(apart, "two tasks on one accelerator: {:?}", record.tasks);
    }
    system.assert_no_overlap().await;
}
