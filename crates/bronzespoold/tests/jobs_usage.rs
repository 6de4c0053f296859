//! Tasks that use more cores and memory than declared.

mod jobs_support;

use {
    jobs_support::{JobSystem, gang, wait_until},
    serde_json::json,
};

#[tokio::test]
async fn overuse_is_throttled() {
    let kinds = gang("rebuild", "runtime = 60s\ncheckpoint = 1s");
    let system = JobSystem::start_with(&[3], &kinds, |plan| plan.timing("usage = 500ms")).await;
    for worker in 0..3 {
        // The worker has 64 cores, and the task has all its accelerators.
        system.set_behaviour(worker, &json!({ "cores": 90_000, "memory": 100 })).await;
    }
    let job = system.submit("guest", "rebuild", "k1").await;
    system.wait_started(&job, 1, 2).await;
    let throttled = async || {
        let records = system.records().await;
        let mut tasks = records.iter().flat_map(|r| &r.tasks);
        tasks.all(|t| t.throttle < 100).then_some(())
    };
    wait_until("the throttling of both members", throttled).await;
    assert_eq!(system.job(&job).await["phase"], "running");
}
