//! Preemption outside guarantees in overload.

use {
    crate::{
        common::{SECOND, gang, step},
        replay::{Replay, TICK},
    },
    bronzespool_batch::{RunId, Step, plan::Progress},
    std::{collections::BTreeMap, time::Duration},
};

/// Fills the workers with work of the last priority, of which as much waits.
fn filled(replay: Replay) -> Replay {
    filled_with(replay, |s| s)
}

fn filled_with(mut replay: Replay, change: impl Fn(Step) -> Step) -> Replay {
    for _ in 0..16 {
        replay.submit("mills", 2, vec![change(Step { estimate: 8_000, ..step(8, 1) })]);
    }
    replay.tick();
    replay
}

fn preempted_for_gang(mut replay: Replay) -> usize {
    replay.submit("rangers", 0, vec![gang(4, 4)]);
    replay.run_for(SECOND);
    replay.preempted.len()
}

/// Guards against runs that are stopped shortly before their end for a gang that gains less.
#[test]
fn plan_stop_that_loses_more_than_it_gains_is_not_made() {
    let after = |mut replay: Replay, age| {
        replay.run_for(age);
        preempted_for_gang(replay)
    };
    let nearly_done = Duration::from_millis(6_000);
    assert_eq!(after(filled(Replay::new(2, 2, 0)), nearly_done), 0);
    assert!(after(filled(Replay::without_part(2, 2, 0)), nearly_done) > 0);
    // Of young runs less work is lost than the gang contributes.
    assert!(after(filled(Replay::new(2, 2, 0)), TICK * 2) > 0);
}

/// Guards against a checkpoint being counted as saved work before there is one.
#[test]
fn plan_stop_counts_work_since_last_checkpoint() {
    let checkpoints = |s| Step { checkpoints: true, ..s };
    let old = || {
        let mut replay = filled_with(Replay::new(2, 2, 0), checkpoints);
        replay.run_for(Duration::from_millis(6_000));
        replay
    };
    assert_eq!(preempted_for_gang(old()), 0);
    let mut saved = old();
    let runs: Vec<RunId> =
        saved.cluster.ledger.workers().flat_map(|w| w.runs.keys().copied()).collect();
    for run in runs {
        let progress = Progress { checkpoint: "1".into(), percent: 60 };
        saved.cluster.view.progress.insert(run, progress);
    }
    saved.run_for(Duration::from_millis(100));
    assert!(preempted_for_gang(saved) > 0);
}

/// Gangs of the first priority that come in waves, each of which finds young runs to stop.
fn waves_of_gangs(mut replay: Replay) -> Replay {
    for _ in 0..15 {
        replay.submit("rangers", 0, vec![gang(2, 4)]);
        replay.submit("mills", 2, vec![Step { estimate: 8_000, ..step(16, 1) }]);
        replay.run_for(SECOND * 2);
    }
    replay
}

/// Guards against work that is started and stopped in turn: no task is stopped twice, and of the
/// runs of a minute few are.
#[test]
fn plan_no_task_is_stopped_twice_and_stops_are_bounded() {
    let with = waves_of_gangs(filled(Replay::new(2, 2, 0)));
    let without = waves_of_gangs(filled(Replay::without_part(2, 2, 0)));
    let most = |replay: &Replay| {
        let mut by_task = BTreeMap::new();
        replay.preempted.iter().for_each(|r| *by_task.entry(r.task).or_insert(0) += 1);
        by_task.values().max().copied().unwrap_or(0)
    };
    println!("with {}, without {}", with.preempted.len(), without.preempted.len());
    assert!(most(&with) <= 1, "{}", most(&with));
    assert!(most(&without) > 1);
    let stopped = |replay: &Replay| replay.preempted.len() * 8 / replay.starts;
    assert!(!with.preempted.is_empty() && stopped(&with) == 0, "{}", with.preempted.len());
    assert!(stopped(&without) > 0, "{}", without.preempted.len());
}

/// Guards against the budget holding back a team from what it is guaranteed.
#[test]
fn plan_guaranteed_job_is_not_bound_by_the_budget() {
    let mut replay = filled(Replay::new(2, 2, 32));
    replay.run_for(Duration::from_millis(2_500));
    replay.submit("rangers", 0, vec![gang(8, 4)]);
    replay.run_for(TICK);
    assert_eq!(replay.preempted.len(), 32);
}
