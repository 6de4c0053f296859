//! Drains of a worker and of a data centre that run tasks.

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

/// Guards against work that stays in a drained data centre although it makes checkpoints, and
/// against a waiting job of which `explain` does not name the drain.
#[tokio::test]
async fn drain_of_center_moves_work_and_explains_waiting() {
    let saved = kind("saved", "accelerators = 8\nruntime = 60s\ncheckpoint = 1s");
    let system = JobSystem::start_with(&[2], &saved, |mut plan| {
        plan.centers.push(("c2".to_owned(), "r1".to_owned(), vec![1]));
        plan
    })
    .await;
    let order = async |center: &str, action: &str| {
        let call = Call::post(format!("/v1/centers/{center}/{action}"), &json!({}));
        let answer = call.send(system.cluster.entry(0)).await.expect("an answer");
        assert!(answer.status.is_success(), "{}", answer.json());
    };
    order("c2", "drain").await;
    let mut jobs = Vec::new();
    for number in 0..2 {
        jobs.push(system.submit("owner", "saved", &format!("s{number}")).await);
    }
    for job in &jobs {
        system.wait_started(job, 1, 1).await;
    }
    assert!(system.record(2).await.starts.is_empty(), "nothing starts in the drained data centre");
    order("c1", "drain").await;
    for job in &jobs {
        system.wait_phase(job, "waiting").await;
        let path = format!("/v1/jobs/{job}/explain");
        let answer = Call::get(path).send(system.cluster.entry(0)).await.expect("an answer");
        let reason = answer.json()["reason"].to_string();
        assert!(reason.contains("the data centres c1, c2 are drained"), "{reason}");
    }
    let tasks: Vec<_> = system.records().await.into_iter().flat_map(|r| r.tasks).collect();
    assert!(tasks.iter().all(|t| t.state == State::Stopped && t.checkpoints > 0));
    order("c2", "restore").await;
    wait_until("a job goes on in the restored data centre", async || {
        (!system.record(2).await.starts.is_empty()).then_some(())
    })
    .await;
}
