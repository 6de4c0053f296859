//! Cancellation of running and waiting jobs.

mod jobs_support;

use {
    bronzespool_fakes::cluster::program,
    jobs_support::{JobSystem, kind},
    std::process::Command,
};

const KIND_LINES: &str = "accelerators = 4\nruntime = 10m\nrestart = yes";
const JOBS: usize = 12;

async fn submit_jobs(system: &JobSystem) -> Vec<String> {
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        jobs.push(system.submit("guest", "single", &format!("k{number}")).await);
    }
    for job in &jobs[..6] {
        system.wait_started(job, 1, 1).await;
    }
    jobs
}

/// Asserts that all jobs end as cancelled and that no task still runs.
async fn assert_cancelled(system: &JobSystem, jobs: &[String]) {
    for job in jobs {
        let ended = system.wait_phase(job, "ended").await;
        assert_eq!(ended["outcome"], "cancelled", "{ended}");
    }
    let records = system.records().await;
    assert!(records.iter().flat_map(|r| &r.tasks).all(|t| t.ended.is_some()));
}

async fn commit_index(system: &JobSystem) -> u64 {
    system.cluster.status(0).await.expect("a status")["commit"].as_u64().expect("an index")
}

#[tokio::test]
async fn cancel_many_ends_running_and_waiting() {
    let system = JobSystem::start(&[3], &kind("single", KIND_LINES)).await;
    let jobs = submit_jobs(&system).await;
    let before = commit_index(&system).await;
    let answers = futures::future::join_all(jobs.iter().map(|job| system.cancel(job))).await;
    assert!(answers.iter().all(|a| a.status.is_success()));
    assert_cancelled(&system, &jobs).await;
    let starts: usize = system.records().await.iter().map(|r| r.starts.len()).sum();
    assert_eq!(starts, 6, "waiting jobs were never started");
    println!("log records of {JOBS} cancellations: {}", commit_index(&system).await - before);
}

#[tokio::test]
async fn cancel_by_command_ends_all_named() {
    let system = JobSystem::start(&[3], &kind("single", KIND_LINES)).await;
    let jobs = submit_jobs(&system).await;
    let mut command = Command::new(program("bronzespool"));
    command.arg("cancel").args(&jobs).arg("--at").arg(system.cluster.entry(0).to_string());
    let output = command.output().expect("the program runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert_cancelled(&system, &jobs).await;
}
