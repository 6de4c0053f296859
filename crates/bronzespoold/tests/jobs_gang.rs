//! Gangs on running daemons: all members start together and adjacent, or none starts.

mod jobs_support;

use {
    bronzespool_fakes::cluster::Signal,
    jobs_support::{JobSystem, gang, instances, kind, wait_until},
    serde_json::Value,
    std::time::Duration,
    tokio::time::sleep,
};

#[tokio::test]
async fn gang_start_is_whole_and_adjacent() {
    let system = JobSystem::start(&[2, 2], &gang("rebuild", "runtime = 3s")).await;
    let job = system.submit("owner", "rebuild", "k1").await;
    let running = system.wait_phase(&job, "running").await;
    let ended = system.wait_phase(&job, "ended").await;
    assert_eq!(ended["outcome"], "done", "{ended}");
    let mut spans = Vec::new();
    for (member, instance) in instances(&running).iter().enumerate() {
        let record = system.record(system.worker_number(instance)).await;
        let name = format!("{job}.1.{member}");
        assert_eq!(record.starts, std::slice::from_ref(&name), "started once and alone");
        spans.push((record.started(&name).expect("a start"), record.ended(&name).expect("an end")));
    }
    assert_eq!(spans.len(), 2);
    let last_start = spans.iter().map(|s| s.0).max();
    let first_end = spans.iter().map(|s| s.1).min();
    assert!(last_start < first_end, "the members ran at the same time: {spans:?}");
    let racks: Vec<_> = instances(&running).iter().map(|i| system.worker_number(i) / 2).collect();
    assert_eq!(racks[0], racks[1], "both in one rack");
    system.assert_no_overlap().await;
}

/// Signals the fake endpoints of all workers but the first, to stop or continue them.
fn signal_endpoints(system: &mut JobSystem, signal: Signal) {
    for name in ["endpoint-2", "endpoint-3"] {
        system.cluster.process(name).signal(signal).expect("a signal");
    }
}

#[tokio::test]
async fn gang_start_waits_for_every_member() {
    let mut system = JobSystem::start(&[3], &gang("rebuild", "runtime = 2s")).await;
    // Only the first worker responds, so one member cannot prepare.
    signal_endpoints(&mut system, Signal::STOP);
    let job = system.submit("owner", "rebuild", "k1").await;
    system.wait_phase(&job, "preparing").await;
    sleep(Duration::from_secs(3)).await;
    let early = system.record(0).await.starts;
    signal_endpoints(&mut system, Signal::CONT);
    assert!(early.is_empty(), "started before the gang had prepared: {early:?}");
    let ended = system.wait_phase(&job, "ended").await;
    assert_eq!(ended["outcome"], "done", "{ended}");
    assert_eq!(system.starts(&job, ended["attempts"].as_u64().unwrap_or(1) as u32).await.len(), 2);
    system.assert_no_overlap().await;
}

#[tokio::test]
async fn gang_start_survives_leader_kill() {
    let mut system = JobSystem::start(&[3], &gang("rebuild", "runtime = 2s")).await;
    signal_endpoints(&mut system, Signal::STOP);
    let job = system.submit("owner", "rebuild", "k1").await;
    system.wait_phase(&job, "preparing").await;
    let leader = system.cluster.leader(0).await.expect("a leader");
    system.cluster.process(&leader).kill().expect("a kill");
    wait_until("another leader", async || {
        system.cluster.leader(0).await.ok().filter(|other| *other != leader)
    })
    .await;
    sleep(Duration::from_secs(1)).await;
    let early = system.record(0).await.starts;
    signal_endpoints(&mut system, Signal::CONT);
    assert!(early.is_empty(), "started before the gang had prepared: {early:?}");
    let ended = system.wait_phase(&job, "ended").await;
    assert_eq!(ended["outcome"], "done", "{ended}");
    let attempt = ended["attempts"].as_u64().expect("a number") as u32;
    for former in 1..attempt {
        assert!(
            system.starts(&job, former).await.is_empty(),
            "attempt {former} was never released to start"
        );
    }
    let mut starts = system.starts(&job, attempt).await;
    starts.sort();
    assert_eq!(starts, [format!("{job}.{attempt}.0"), format!("{job}.{attempt}.1")]);
}

#[tokio::test]
async fn submit_infeasible_is_refused() {
    let kinds =
        kind("huge", "accelerators = 8\ngang = 3\nadjacent = rack\nruntime = 1s\nrestart = yes");
    let system = JobSystem::start(&[2, 2], &kinds).await;
    let answer = system.try_submit("guest", "huge", "k1", &Value::Null).await;
    assert_eq!(answer.code(), 2013, "{}", answer.json());
    let text = answer.json().to_string();
    assert!(text.contains("no rack holds 3 members of 8 accelerators"), "{text}");
    assert!(system.records().await.iter().all(|r| r.starts.is_empty()));
}
