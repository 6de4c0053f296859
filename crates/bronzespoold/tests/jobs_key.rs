//! Resends of a job with the same idempotency key.

mod jobs_support;

use {
    jobs_support::{JobSystem, kind},
    serde_json::json,
};

const KIND_LINES: &str = "accelerators = 8\nruntime = 1s\nrestart = yes";

#[tokio::test]
async fn submit_same_key_and_body_is_one_job() {
    let system = JobSystem::start(&[3], &kind("single", KIND_LINES)).await;
    let body = json!({ "flight": 7 });
    let submits = (0..5).map(|_| system.try_submit("guest", "single", "k1", &body));
    let answers = futures::future::join_all(submits).await;
    let names: Vec<_> = answers.iter().map(|a| a.json()["job"].clone()).collect();
    assert!(answers.iter().all(|a| a.status.is_success()), "{names:?}");
    assert!(names.iter().all(|name| *name == names[0]), "{names:?}");
    let job = names[0].as_str().expect("a name");
    assert_eq!(system.wait_phase(job, "ended").await["outcome"], "done");
    let again = system.try_submit("guest", "single", "k1", &body).await;
    assert_eq!(again.json()["outcome"], "done");
    let starts: usize = system.records().await.iter().map(|r| r.starts.len()).sum();
    assert_eq!(starts, 1);
}

#[tokio::test]
async fn submit_same_key_and_other_body_is_refused() {
    let system = JobSystem::start(&[3], &kind("single", KIND_LINES)).await;
    let first = system.try_submit("guest", "single", "k1", &json!({ "flight": 7 })).await;
    assert!(first.status.is_success());
    let other = system.try_submit("guest", "single", "k1", &json!({ "flight": 8 })).await;
    assert_eq!((other.code(), other.outcome()), (2011, "not-run"), "{}", other.json());
    let elsewhere = system.try_submit("owner", "single", "k1", &json!({ "flight": 8 })).await;
    assert!(elsewhere.status.is_success(), "keys of different teams are independent");
}

/// Control accepted the first submission, so no entry may report that the job has not run.
#[tokio::test]
async fn submit_same_key_without_control_is_unsettled() {
    let mut system = JobSystem::start(&[3], &kind("single", KIND_LINES)).await;
    let body = json!({ "flight": 7 });
    let first = system.try_submit("guest", "single", "k1", &body).await;
    assert!(first.status.is_success());
    for control in ["control-1", "control-2", "control-3"] {
        system.cluster.process(control).kill().expect("a running process");
    }
    for _ in 0..4 {
        let again = system.try_submit("guest", "single", "k1", &body).await;
        assert_eq!(again.outcome(), "unknown", "{}", again.json());
    }
}
