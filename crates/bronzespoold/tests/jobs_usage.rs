//! Use of cores and memory beyond what was declared.

mod jobs_support;

use {
    jobs_support::{Desk, gang, until},
    serde_json::json,
};

#[tokio::test]
async fn overuse_is_throttled() {
    let kinds = gang("rebuild", "runtime = 60s\ncheckpoint = 1s");
    let desk = Desk::start_with(&[3], &kinds, |plan| plan.timing("usage = 500ms")).await;
    for worker in 0..3 {
        // The worker has 64 cores and the task all its accelerators.
        desk.manner(worker, &json!({ "cores": 90_000, "memory": 100 })).await;
    }
    let job = desk.submit("guest", "rebuild", "k1").await;
    desk.started(&job, 1, 2).await;
    let throttled = async || {
        let records = desk.records().await;
        let mut tasks = records.iter().flat_map(|r| &r.tasks);
        tasks.all(|t| t.throttle < 100).then_some(())
    };
    until("the throttling of both members", throttled).await;
    assert_eq!(desk.job(&job).await["phase"], "running");
}
