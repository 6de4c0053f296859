//! Jobs while agents and workers are killed and restarted.

mod jobs_support;

use {
    bronzespool_fakes::{cluster::Signal, worker::State},
    jobs_support::{JobSystem, gang, instances, wait_until},
    serde_json::Value,
    std::time::Duration,
    tokio::time::sleep,
};

/// Maximum milliseconds from the loss of a member to the end of the others: the lease of a session
/// with its margin, and one round each of the leader, the scheduler and the agent, plus a generous
/// allowance.
const GANG_STOP_MAX_MS: u64 = 15_000;

/// Number of a member's worker, counted from one as in the names of its agent and endpoint.
fn process_number(system: &JobSystem, view: &Value, member: usize) -> usize {
    system.worker_number(&instances(view)[member]) + 1
}

#[tokio::test]
async fn agent_restart_adopts_running_task() {
    let mut system = JobSystem::start(&[3], &gang("rebuild", "runtime = 8s")).await;
    let job = system.submit("owner", "rebuild", "k1").await;
    system.wait_started(&job, 1, 2).await;
    let view = system.wait_phase(&job, "running").await;
    let agent = format!("agent-{}", process_number(&system, &view, 0));
    system.cluster.process(&agent).kill().expect("a kill");
    system.cluster.process(&agent).restart().expect("a restart");
    let ended = system.wait_phase(&job, "ended").await;
    assert_eq!((&ended["outcome"], &ended["attempts"]), (&"done".into(), &1.into()), "{ended}");
    assert_eq!(system.starts(&job, 1).await.len(), 2, "no member was started again");
}

#[tokio::test]
async fn agent_graceful_restart_adopts_running_task() {
    let mut system =
        JobSystem::start(&[3], &gang("permit", "runtime = 12s\nprotected = yes")).await;
    // A leader treats a silent agent as absent only one session lease after its own election.
    sleep(Duration::from_secs(5)).await;
    let job = system.submit("owner", "permit", "k1").await;
    system.wait_started(&job, 1, 2).await;
    let view = system.wait_phase(&job, "running").await;
    let agent = format!("agent-{}", process_number(&system, &view, 0));
    system.cluster.process(&agent).signal(Signal::TERM).expect("a signal");
    wait_until("the end of the agent", async || {
        system.cluster.process(&agent).ended().ok().flatten()
    })
    .await;
    // Leaves the agent down for a moment with its session closed, as in a real restart.
    sleep(Duration::from_secs(1)).await;
    system.cluster.process(&agent).restart().expect("a restart");
    let ended = system.wait_phase(&job, "ended").await;
    assert_eq!((&ended["outcome"], &ended["attempts"]), (&"done".into(), &1.into()), "{ended}");
    assert_eq!(system.starts(&job, 1).await.len(), 2, "no member was started again");
}

#[tokio::test]
async fn worker_loss_restarts_gang_from_checkpoint() {
    let kinds = gang("rebuild", "runtime = 12s\ncheckpoint = 1s");
    let mut system = JobSystem::start(&[4], &kinds).await;
    let job = system.submit("guest", "rebuild", "k1").await;
    system.wait_started(&job, 1, 2).await;
    let view = system.wait_phase(&job, "running").await;
    let (lost, remaining) = (process_number(&system, &view, 0), process_number(&system, &view, 1));
    let names = [format!("{job}.1.0"), format!("{job}.1.1")];
    wait_until("two checkpoints of each member", async || {
        let mut made = Vec::new();
        for (worker, name) in [(lost, &names[0]), (remaining, &names[1])] {
            made.push(system.record(worker - 1).await.task(name).map_or(0, |t| t.checkpoints));
        }
        made.iter().all(|m| *m >= 2).then_some(())
    })
    .await;
    system.cluster.process(&format!("agent-{lost}")).kill().expect("a kill");
    system.cluster.process(&format!("endpoint-{lost}")).kill().expect("a kill");
    let killed = jobs_support::unix_millis();
    let ended = wait_until("the end of the other member", async || {
        system.record(remaining - 1).await.ended(&names[1])
    })
    .await;
    let elapsed = ended.saturating_sub(killed);
    println!("the other member ended {elapsed} ms after the loss");
    assert!(elapsed < GANG_STOP_MAX_MS, "{elapsed} ms");
    // The records of the killed endpoint are lost; the other one has both attempts.
    system.cluster.process(&format!("endpoint-{lost}")).restart().expect("a restart");
    let ended = system.wait_phase(&job, "ended").await;
    assert_eq!((&ended["outcome"], &ended["attempts"]), (&"done".into(), &2.into()), "{ended}");
    let records = system.records().await;
    let tasks = records.iter().flat_map(|r| &r.tasks);
    let second: Vec<_> = tasks.filter(|t| t.name.starts_with(&format!("{job}.2."))).collect();
    assert_eq!(second.len(), 2, "the gang was started whole");
    assert!(second.iter().all(|t| t.asked <= 11_000), "from its checkpoint: {second:?}");
    system.assert_no_overlap().await;
}

#[tokio::test]
async fn checkpoint_of_one_member_is_not_whole() {
    // Checkpoints are made only before a stop, and the member whose agent is stopped makes none.
    let kinds = gang("rebuild", "runtime = 8s\ncheckpoint = 10m");
    let mut system = JobSystem::start(&[4], &kinds).await;
    let job = system.submit("guest", "rebuild", "k1").await;
    system.wait_started(&job, 1, 2).await;
    let view = system.wait_phase(&job, "running").await;
    let agent = format!("agent-{}", process_number(&system, &view, 0));
    sleep(Duration::from_secs(1)).await;
    system.cluster.process(&agent).signal(Signal::STOP).expect("a signal");
    system.wait_started(&job, 2, 2).await;
    system.cluster.process(&agent).signal(Signal::CONT).expect("a signal");
    let records = system.records().await;
    let tasks: Vec<_> = records.iter().flat_map(|r| &r.tasks).collect();
    let remaining = tasks.iter().find(|t| t.name == format!("{job}.1.1")).expect("a task");
    assert!(remaining.checkpoints > 0, "the other member has saved its progress");
    let second: Vec<_> =
        tasks.iter().filter(|t| t.name.starts_with(&format!("{job}.2."))).collect();
    assert!(second.iter().all(|t| t.asked == 8_000), "from the beginning: {second:?}");
    system.assert_no_overlap().await;
}

#[tokio::test]
async fn worker_loss_of_protected_job_is_unknown() {
    let kinds = gang("permit", "runtime = 60s\nprotected = yes");
    let mut system = JobSystem::start(&[3], &kinds).await;
    let job = system.submit("owner", "permit", "k1").await;
    system.wait_started(&job, 1, 2).await;
    let view = system.wait_phase(&job, "running").await;
    let (lost, remaining) = (process_number(&system, &view, 0), process_number(&system, &view, 1));
    for name in [format!("agent-{lost}"), format!("endpoint-{lost}")] {
        system.cluster.process(&name).kill().expect("a kill");
        system.cluster.process(&name).restart().expect("a restart");
    }
    let ended = system.wait_phase(&job, "ended").await;
    assert_eq!((&ended["outcome"], &ended["attempts"]), (&"unknown".into(), &1.into()), "{ended}");
    let name = format!("{job}.1.1");
    let record = system.record(remaining - 1).await;
    assert_eq!(record.starts, [name.as_str()], "never started again");
    assert_eq!(record.task(&name).map(|t| t.state), Some(State::Stopped));
    assert!(system.record(lost - 1).await.starts.is_empty(), "never started again");
}
