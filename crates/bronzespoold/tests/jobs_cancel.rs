//! Cancellation of running and waiting jobs.

mod jobs_support;

use {
    bronzespool_fakes::cluster::program,
    jobs_support::{Desk, kind},
    std::process::Command,
};

const KIND: &str = "accelerators = 4\nruntime = 10m\nrestart = yes";
const JOBS: usize = 12;

async fn submitted(desk: &Desk) -> Vec<String> {
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        jobs.push(desk.submit("guest", "single", &format!("k{number}")).await);
    }
    for job in &jobs[..6] {
        desk.started(job, 1, 1).await;
    }
    jobs
}

/// All are cancelled and nothing runs.
async fn assert_cancelled(desk: &Desk, jobs: &[String]) {
    for job in jobs {
        let ended = desk.phase(job, "ended").await;
        assert_eq!(ended["outcome"], "cancelled", "{ended}");
    }
    let records = desk.records().await;
    assert!(records.iter().flat_map(|r| &r.tasks).all(|t| t.ended.is_some()));
}

async fn commit(desk: &Desk) -> u64 {
    desk.cluster.status(0).await.expect("a status")["commit"].as_u64().expect("an index")
}

#[tokio::test]
async fn cancel_wave_ends_running_and_waiting() {
    let desk = Desk::start(&[3], &kind("single", KIND)).await;
    let jobs = submitted(&desk).await;
    let before = commit(&desk).await;
    let answers = futures::future::join_all(jobs.iter().map(|job| desk.cancel(job))).await;
    assert!(answers.iter().all(|a| a.status.is_success()));
    assert_cancelled(&desk, &jobs).await;
    let starts: usize = desk.records().await.iter().map(|r| r.starts.len()).sum();
    assert_eq!(starts, 6, "what waited was never started");
    println!("records of the wave of {JOBS}: {}", commit(&desk).await - before);
}

#[tokio::test]
async fn cancel_by_command_ends_all_named() {
    let desk = Desk::start(&[3], &kind("single", KIND)).await;
    let jobs = submitted(&desk).await;
    let mut command = Command::new(program("bronzespool"));
    command.arg("cancel").args(&jobs).arg("--at").arg(desk.cluster.entry(0).to_string());
    let output = command.output().expect("the program runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    assert_cancelled(&desk, &jobs).await;
}
