//! Time until the set tolerates another loss, with the settings of a daemon whose replicas are known
//! by their addresses.

mod common;

use {
    bronzespool_consensus::Settings,
    common::{Cluster, SECOND, name},
    std::time::Duration,
};

/// Number of voters, which are also the seeds.
const VOTERS: usize = 3;
/// A further machine, with an address of its own.
const SPARE: usize = 3;
/// Time after the start of a replacement at which another loss must be tolerated.
const CATCH_UP: Duration = Duration::from_secs(4);
/// Time from a loss to the start of the replacement.
const DOWN_TIME: Duration = Duration::from_millis(300);
/// Seeds that each test runs.
const SEEDS: u64 = 40;
/// Distance between the first random seeds of two clusters.
const SEED_INTERVAL: u64 = 100;

fn configure(settings: &mut Settings) {
    settings.allow_unlisted = true;
    settings.election_timeout = Duration::from_millis(700);
    settings.heartbeat_interval = Duration::from_millis(120);
    settings.lease_duration = Duration::from_millis(560);
    settings.peers = (0..VOTERS).map(name).collect();
    settings.may_bootstrap = settings.peers.contains(&settings.name);
    if !settings.may_bootstrap {
        settings.peers.push(settings.name.clone());
    }
}

/// A cluster whose spare machine is not started.
fn cluster(seed: u64) -> Cluster {
    let mut c = Cluster::with_settings(0, configure);
    c.starts = seed * SEED_INTERVAL;
    for i in 0..=SPARE {
        c.replicas.push(common::Replica::default());
        c.isolated.push(false);
        if i < VOTERS {
            c.start(i);
        }
    }
    c.commit(b"a");
    c.run(SECOND * 2);
    c
}

/// Whether all voters of the committed set are running, and as many as at first.
fn is_whole(c: &mut Cluster) -> bool {
    let Some(leader) = c.leader() else { return false };
    let status = c.node(leader).status();
    let runs = |id| c.replicas.iter().any(|r| r.node.as_ref().is_some_and(|n| n.id() == id));
    let mut voters = status.members.iter().filter(|m| m.voter);
    let is_settled = !status.joint && status.commit == status.last;
    is_settled && voters.clone().count() == VOTERS && voters.all(|m| runs(m.id))
}

/// Loses one machine, or one disk while all machines lose power, and starts the replacement.
fn longest_repair(
    power_loss: bool,
    lose_leader: bool,
    replacement: fn(usize) -> usize,
) -> Duration {
    let repair = |seed| {
        let mut c = cluster(seed);
        let leader = c.elect();
        let lost = if lose_leader { leader } else { (leader + 1) % VOTERS };
        let stopped = (0..VOTERS).filter(|i| power_loss || *i == lost);
        stopped.clone().for_each(|i| c.stop(i));
        c.replicas[lost].disk.wipe();
        c.run(DOWN_TIME);
        let start = c.now;
        stopped.filter(|i| *i != lost).for_each(|i| c.start(i));
        c.start(replacement(lost));
        c.run_until("whole set", is_whole);
        c.now.since(start)
    };
    let longest = (1..=SEEDS).map(repair).max().unwrap_or_default();
    println!("longest repair: {longest:?}");
    longest
}

#[test]
fn longest_repair_of_disk_is_below_catch_up() {
    assert!(longest_repair(false, false, |lost| lost) < CATCH_UP);
}

#[test]
fn longest_repair_of_leader_disk_is_below_catch_up() {
    assert!(longest_repair(false, true, |lost| lost) < CATCH_UP);
}

#[test]
fn longest_repair_of_disk_with_power_loss_is_below_catch_up() {
    assert!(longest_repair(true, false, |lost| lost) < CATCH_UP);
}

#[test]
fn longest_repair_of_machine_is_below_catch_up() {
    assert!(longest_repair(false, false, |_| SPARE) < CATCH_UP);
}

#[test]
fn longest_repair_of_leader_machine_is_below_catch_up() {
    assert!(longest_repair(false, true, |_| SPARE) < CATCH_UP);
}

#[test]
fn longest_repair_of_machine_with_power_loss_is_below_catch_up() {
    assert!(longest_repair(true, false, |_| SPARE) < CATCH_UP);
}
