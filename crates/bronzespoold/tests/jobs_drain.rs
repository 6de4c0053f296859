//! Drain of a worker that runs tasks.

mod jobs_support;

use {
    bronzespool_fakes::{call::Call, worker::State},
    jobs_support::{JobSystem, instances, kind, wait_until},
    serde_json::json,
};

#[tokio::test]
async fn drain_moves_checkpointable_and_finishes_other_work() {
    let saved = kind("saved", "accelerators = 4\nruntime = 60s\ncheckpoint = 1s");
    let whole = kind("whole", "accelerators = 4\nruntime = 5s");
    let system = JobSystem::start(&[3], &format!("{saved}{whole}")).await;
    let whole = system.submit("owner", "whole", "k1").await;
    system.wait_started(&whole, 1, 1).await;
    let worker = instances(&system.wait_phase(&whole, "running").await)[0].clone();
    // Enough jobs that some of them run on the same worker as the first one.
    let mut saved = Vec::new();
    for number in 0..5 {
        saved.push(system.submit("guest", "saved", &format!("s{number}")).await);
    }
    for job in &saved {
        system.wait_started(job, 1, 1).await;
    }
    let leaving = system.worker_number(&worker);
    let path = format!("/v1/instances/{worker}/drain");
    let answer = Call::post(path, &json!({})).send(system.cluster.entry(0)).await;
    let answer = answer.expect("an answer");
    assert!(answer.status.is_success(), "{}", answer.json());
    let before = system.record(leaving).await.starts.len();
    wait_until("the checkpoint and stop of the tasks that may move", async || {
        let record = system.record(leaving).await;
        let mut moved = record.tasks.iter().filter(|t| !t.name.starts_with(&whole));
        moved.all(|t| t.state == State::Stopped && t.checkpoints > 0).then_some(())
    })
    .await;
    assert_eq!(system.wait_phase(&whole, "ended").await["outcome"], "done");
    let record = system.record(leaving).await;
    assert_eq!(record.starts.len(), before, "a draining worker starts nothing new");
    let own = record.task(&format!("{whole}.1.0")).map(|t| t.state);
    assert_eq!(own, Some(State::Done), "work without checkpoints ran to its end");
}
