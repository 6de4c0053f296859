//! Order of waiting work of the same precedence in overload.

use {
    crate::{
        common::{SECOND, gang},
        replay::{Replay, Served},
    },
    bronzespool_batch::JobId,
    std::time::Duration,
};

/// A burst of first-priority gangs, and more of them while it is served.
fn burst_of_gangs(mut replay: Replay) -> Served {
    let mut jobs: Vec<JobId> = Vec::new();
    for round in 0..12 {
        let gangs = if round == 0 { 12 } else { 2 };
        jobs.extend((0..gangs).map(|_| replay.submit("rangers", 0, vec![gang(4, 4)])));
        replay.run_for(SECOND);
    }
    replay.run_for(SECOND * 15);
    replay.served(&jobs)
}

/// Guards against a burst that makes all later work late: in the order of age, each gang waits for
/// those before it, of which most have run out of time.
#[test]
fn plan_burst_of_gangs_serves_later_ones_in_time() {
    let with = burst_of_gangs(Replay::new(3, 2, 0));
    let without = burst_of_gangs(Replay::without_part(3, 2, 0));
    println!("with {with:?}, without {without:?}");
    assert!(with.in_time >= without.in_time * 2, "with {with:?}, without {without:?}");
}

/// Two teams that submit far more than fits, and three that submit little.
fn large_and_small_teams(mut replay: Replay) -> (Served, Served) {
    let (mut large, mut small) = (Vec::new(), Vec::new());
    for second in 0..20 {
        for team in ["mills", "ferries"] {
            large.extend((0..3).map(|_| replay.fill(team, 1, 12, SECOND * 2)));
        }
        if second % 2 == 0 {
            let teams = ["small-1", "small-2", "small-3"];
            small.extend(teams.map(|team| replay.fill(team, 1, 4, SECOND * 2)));
        }
        replay.run_for(SECOND);
    }
    replay.run_for(SECOND * 10);
    (replay.served(&large), replay.served(&small))
}

/// Guards against small teams that wait behind the backlog of a few large ones.
#[test]
fn plan_small_teams_are_not_starved_by_large_ones() {
    let (large, small) = large_and_small_teams(Replay::new(3, 2, 0));
    let (_, without) = large_and_small_teams(Replay::without_part(3, 2, 0));
    println!("large {large:?}, small {small:?}, small without {without:?}");
    assert_eq!(small.in_time, small.all(), "{small:?}");
    assert!(without.in_time * 2 < without.all(), "{without:?}");
    assert!(large.in_time > 0);
}

/// Many small gangs, and a few that need half of the workers.
fn large_and_small_gangs(mut replay: Replay) -> (Served, Served) {
    let (mut large, mut small) = (Vec::new(), Vec::new());
    for second in 0..30 {
        small.extend((0..6).map(|_| replay.submit("mills", 1, vec![gang(4, 2)])));
        if second % 5 == 0 {
            large.push(replay.submit("mills", 1, vec![gang(12, 2)]));
        }
        replay.run_for(SECOND);
    }
    replay.run_for(SECOND * 10);
    (replay.served(&large), replay.served(&small))
}

/// Guards against the largest jobs being passed by small ones until they are lost.
#[test]
fn plan_largest_jobs_are_served_at_least_half_as_often() {
    let (large, small) = large_and_small_gangs(Replay::new(3, 2, 0));
    let (without, _) = large_and_small_gangs(Replay::without_part(3, 2, 0));
    println!("large {large:?}, small {small:?}, large without {without:?}");
    let served = |s: &Served| s.in_time + s.late;
    assert!(served(&large) * small.all() * 2 >= served(&small) * large.all());
}

/// Guards against the order of overload reaching beyond it: although its team uses half of the
/// workers, the older job goes first.
#[test]
fn plan_without_overload_keeps_order_of_age() {
    let mut replay = Replay::new(1, 2, 0);
    replay.fill("mills", 1, 8, SECOND * 3);
    replay.fill("mills", 1, 8, SECOND);
    replay.tick();
    let first = replay.fill("mills", 1, 8, SECOND * 4);
    replay.tick();
    let second = replay.fill("small-1", 1, 8, SECOND * 4);
    replay.run_for(Duration::from_millis(1_200));
    assert!(!replay.assess().is_any());
    let has_begun = |id: JobId| replay.cluster.ledger.job(id).unwrap().has_active_run();
    assert_eq!((has_begun(first), has_begun(second)), (true, false));
}
