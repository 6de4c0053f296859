//! Workers on which every task fails, and jobs that fail on every worker.

mod jobs_support;

use {
    jobs_support::{JobSystem, kind},
    serde_json::json,
};

fn single(runtime: &str) -> String {
    kind("single", &format!("accelerators = 8\nruntime = {runtime}\nrestart = yes"))
}

#[tokio::test]
async fn worker_failing_everything_is_quarantined() {
    let system = JobSystem::start(&[3], &single("1s")).await;
    system.set_behaviour(0, &json!({ "failing": true })).await;
    for round in 0..2 {
        let mut jobs = Vec::new();
        for number in 0..4 {
            jobs.push(system.submit("guest", "single", &format!("k{round}-{number}")).await);
        }
        for job in &jobs {
            let ended = system.wait_phase(job, "ended").await;
            assert_eq!(ended["outcome"], "done", "{ended}");
        }
        let failed = system.record(0).await.starts.len();
        println!("starts at the failing worker after round {}: {failed}", round + 1);
        // Failures of three distinct jobs quarantine the worker; no task is placed there
        // afterwards.
        assert!(failed <= 3, "{failed} starts at a worker that fails everything");
    }
}

#[tokio::test]
async fn job_failing_everywhere_is_refused() {
    let system = JobSystem::start(&[4], &single("1s")).await;
    for worker in 0..4 {
        system.set_behaviour(worker, &json!({ "failing": true })).await;
    }
    let job = system.submit("guest", "single", "k1").await;
    let ended = system.wait_phase(&job, "ended").await;
    assert_eq!((&ended["outcome"], &ended["code"]), (&"refused".into(), &2016.into()), "{ended}");
}
