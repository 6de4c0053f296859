//! What one plan examines in front of a backlog, as a bound on its time that does not depend on the
//! machine.
//!
//! The target is 5 ms for a plan with 890 workers and 2,000 waiting jobs. A step of a loop is taken
//! to last 20 ns: it reads a worker, a run or a group, and compares it.

use bronzespool_bench::size::{Backlog, plan_times};

/// Target for the time of a plan.
const PLAN_NANOS: u64 = 5_000_000;
/// Time that a step is taken to last.
const STEP_NANOS: u64 = 20;
/// Plans that are counted, with wide gangs and wide steps among them.
const ROUNDS: u64 = 100;

fn steps(workers: usize, teams: usize) -> u64 {
    let backlog = Backlog { workers, teams, waiting: 2_000, rounds: ROUNDS, seed: 1 };
    let times = plan_times(&backlog);
    println!("{workers} workers, {teams} teams: {} steps", times.steps_max);
    assert!(times.runs > workers, "the cluster is not full: {} runs", times.runs);
    times.steps_max
}

#[test]
fn plan_steps_at_240_workers_within_target() {
    assert!(steps(240, 24) * STEP_NANOS <= PLAN_NANOS);
}

#[test]
fn plan_steps_at_890_workers_within_target() {
    assert!(steps(890, 350) * STEP_NANOS <= PLAN_NANOS);
}

#[test]
fn plan_times_same_backlog_gives_same_decisions() {
    let backlog = Backlog { workers: 40, teams: 24, waiting: 100, rounds: 40, seed: 3 };
    let [first, second] = [plan_times(&backlog), plan_times(&backlog)];
    assert!(first.events > 0);
    assert_eq!((first.hash, first.steps_max), (second.hash, second.steps_max));
}
