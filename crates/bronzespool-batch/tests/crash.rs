//! Crashes of workers: which task is blamed, when its job is given up, and where it is started.

mod common;

use {
    bronzespool_batch::{
        Event, EventOutcome, JobId, Ledger, Phase, RunId, Step,
        crash::{Crash, CrashedRun},
        ledger::{Assignment, CrashEvidence, Explanation, FailureCause, RunOutcome},
        plan::Progress,
    },
    bronzespool_core::Instance,
    common::{Cluster, SECOND, gang, incarnation, run, step},
    std::{sync::Arc, time::Duration},
};

/// Age of a run that has not just started.
const OLD_MILLIS: u64 = 5_000;
/// Age of a run that has survived its start for long.
const SURVIVED_MILLIS: u64 = 60_000;
/// Pause after which a task waits for an idle worker no longer.
const PATIENCE: Duration = Duration::from_millis(1_600);

/// Starts a run on a worker.
fn assign(cluster: &mut Cluster, run: RunId, worker: usize) {
    let incarnation = incarnation_of(cluster, worker);
    let assignment = Assignment { run, incarnation, checkpoint: "".into(), permit: None };
    assert_eq!(cluster.apply(Event::Started(vec![assignment])), EventOutcome::Applied);
}

fn incarnation_of(cluster: &Cluster, worker: usize) -> bronzespool_batch::WorkerIncarnation {
    let name = incarnation(worker).worker;
    let found = cluster.ledger.workers().find(|w| w.spec.incarnation.worker == name);
    found.map_or_else(|| incarnation(worker), |w| w.spec.incarnation.clone())
}

/// Returns the report of a worker's crash with runs of these ages in milliseconds.
fn crash(cluster: &Cluster, worker: usize, runs: &[(RunId, u64)]) -> Event {
    let runs = runs.iter().map(|(run, age)| CrashedRun { run: *run, age: Some(*age) }).collect();
    let incarnation = incarnation_of(cluster, worker);
    let agent = Instance::try_from(format!("side-{worker}")).unwrap();
    Event::Crashed(Box::new(Crash { incarnation, agent, runs }))
}

/// Lets a worker crash with runs of these ages, and start again under its name.
fn crash_and_restart(cluster: &mut Cluster, worker: usize, runs: &[(RunId, u64)]) {
    let report = crash(cluster, worker, runs);
    assert_eq!(cluster.apply(report), EventOutcome::Applied);
    restart(cluster, worker);
}

fn restart(cluster: &mut Cluster, worker: usize) {
    let name = incarnation(worker).worker;
    let found = cluster.ledger.workers().find(|w| w.spec.incarnation.worker == name);
    let mut spec = found.unwrap().spec.clone();
    spec.incarnation.started_at += 1;
    assert_eq!(cluster.apply(Event::WorkerUp(Box::new(spec))), EventOutcome::Applied);
}

fn sole_crashes(cluster: &Cluster, run: RunId) -> Option<usize> {
    cluster.ledger.crashes().of_task(run.task).map(CrashEvidence::sole)
}

fn workers_of(started: &[Assignment]) -> Vec<Arc<str>> {
    started.iter().map(|a| a.incarnation.worker.clone()).collect()
}

// A task was started on worker after worker, each of which it crashed.
#[test]
fn record_crash_second_crash_under_one_task_fails_its_job() {
    let mut cluster = Cluster::new(1, 3, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    for number in 1..=2 {
        assert_eq!(cluster.phase(1), if number == 1 { Phase::Queued } else { Phase::Running });
        let run = run(1, 0, 0, number);
        assign(&mut cluster, run, number as usize);
        crash_and_restart(&mut cluster, number as usize, &[(run, 10)]);
    }
    assert_eq!(cluster.phase(1), Phase::Failed);
    let Some(Explanation::Failed(cause)) = cluster.ledger.explain(JobId(1)) else {
        panic!("{:?}", cluster.ledger.explain(JobId(1)));
    };
    let FailureCause::Crashes(failure) = &cause else { panic!("{cause}") };
    assert_eq!(failure.workers, ["w1".into(), "w2".into()]);
    assert!(cause.to_string().contains("0000000000000001.0.0.0 crashes the workers"), "{cause}");
    assert_eq!(cluster.started().len(), 0);
}

// A worker that crashes twice under one task may be at fault itself, unless there is no other one.
#[test]
fn record_crash_crashes_on_one_machine_fail_a_job_only_the_third_time() {
    let mut cluster = Cluster::new(1, 3, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    for number in 1..=3 {
        assert_ne!(cluster.phase(1), Phase::Failed, "run {number}");
        let run = run(1, 0, 0, number);
        assign(&mut cluster, run, 0);
        crash_and_restart(&mut cluster, 0, &[(run, 10)]);
    }
    assert_eq!(cluster.phase(1), Phase::Failed);
}

// Starts without an answer may be carried out at any time, so that they were taken for the cause.
#[test]
fn record_crash_run_that_just_started_outweighs_starts_without_an_answer() {
    let mut cluster = Cluster::new(1, 2, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    cluster.submit(2, 0, vec![step(1, 1)]);
    let (deadly, unanswered) = (run(1, 0, 0, 1), run(2, 0, 0, 1));
    [deadly, unanswered].iter().for_each(|r| assign(&mut cluster, *r, 0));
    let Event::Crashed(mut report) = crash(&cluster, 0, &[(deadly, 10), (unanswered, 0)]) else {
        panic!("a crash");
    };
    report.runs[1].age = None;
    cluster.apply(Event::Crashed(report));
    assert_eq!(sole_crashes(&cluster, deadly), Some(1));
    assert_eq!(sole_crashes(&cluster, unanswered), Some(0));
}

// Late orders and stopped agents hid who was at fault, and the task was started six times.
#[test]
fn record_crash_fourth_crash_fails_a_job_that_alone_caused_one() {
    let mut cluster = Cluster::new(1, 5, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    cluster.submit(2, 0, vec![step(9, 1)]);
    for number in 1..=4 {
        assert_ne!(cluster.phase(1), Phase::Failed, "run {number}");
        let (task, beside) = (run(1, 0, 0, number), run(2, 0, number, 1));
        [task, beside].iter().for_each(|r| assign(&mut cluster, *r, number as usize));
        let age = if number == 2 { OLD_MILLIS } else { 10 };
        crash_and_restart(&mut cluster, number as usize, &[(task, 10), (beside, age)]);
    }
    assert_eq!(cluster.phase(1), Phase::Failed);
    assert_eq!(cluster.phase(2), Phase::Running);
}

// A run of a job that was cancelled meanwhile may have crashed the worker.
#[test]
fn record_crash_run_of_an_ended_job_may_be_at_fault() {
    let mut cluster = Cluster::new(1, 3, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    cluster.submit(2, 0, vec![step(1, 1)]);
    let (innocent, ended) = (run(1, 0, 0, 1), run(2, 0, 0, 1));
    [innocent, ended].iter().for_each(|r| assign(&mut cluster, *r, 0));
    cluster.apply(Event::Cancelled(JobId(2)));
    crash_and_restart(&mut cluster, 0, &[(innocent, OLD_MILLIS), (ended, 10)]);
    assert_eq!(sole_crashes(&cluster, innocent), Some(0));
}

#[test]
fn record_crash_run_that_just_started_is_blamed_alone() {
    let mut cluster = Cluster::new(1, 2, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    cluster.submit(2, 0, vec![step(4, 1)]);
    let deadly = run(1, 0, 0, 1);
    let neighbors: Vec<RunId> = (0..4).map(|i| run(2, 0, i, 1)).collect();
    for r in neighbors.iter().chain([&deadly]) {
        assign(&mut cluster, *r, 0);
    }
    let mut runs: Vec<_> = neighbors.iter().map(|r| (*r, OLD_MILLIS)).collect();
    runs.push((deadly, 10));
    crash_and_restart(&mut cluster, 0, &runs);
    assert_eq!(sole_crashes(&cluster, deadly), Some(1));
    assert_eq!(sole_crashes(&cluster, neighbors[0]), Some(0));
}

#[test]
fn record_crash_tasks_that_started_together_are_not_given_up() {
    let mut cluster = Cluster::new(1, 4, 0);
    for id in 1..=2 {
        cluster.submit(id, 0, vec![step(1, 1)]);
    }
    for number in 1..=3 {
        let runs = [run(1, 0, 0, number), run(2, 0, 0, number)];
        runs.iter().for_each(|r| assign(&mut cluster, *r, number as usize));
        crash_and_restart(&mut cluster, number as usize, &runs.map(|r| (r, 10)));
    }
    assert_eq!((cluster.phase(1), cluster.phase(2)), (Phase::Running, Phase::Running));
    assert_eq!(sole_crashes(&cluster, run(1, 0, 0, 1)), Some(0));
}

// An agent repeats a report until it is answered, and the answer may be lost.
#[test]
fn record_crash_repeated_report_counts_once() {
    let mut cluster = Cluster::new(1, 2, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    let first = run(1, 0, 0, 1);
    assign(&mut cluster, first, 0);
    let report = crash(&cluster, 0, &[(first, 10)]);
    assert_eq!(cluster.apply(report.clone()), EventOutcome::Applied);
    assert_eq!(cluster.apply(report.clone()), EventOutcome::Known);
    restart(&mut cluster, 0);
    assert_eq!(cluster.apply(report), EventOutcome::Known);
    assert_eq!(sole_crashes(&cluster, first), Some(1));
}

// The leader may count a worker as gone before its agent reaches it with the report.
#[test]
fn record_crash_report_after_the_worker_is_gone_counts() {
    let mut cluster = Cluster::new(1, 2, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    let first = run(1, 0, 0, 1);
    assign(&mut cluster, first, 0);
    let report = crash(&cluster, 0, &[(first, 10)]);
    cluster.apply(Event::WorkerGone(incarnation(0)));
    assert_eq!(cluster.apply(report), EventOutcome::Applied);
    assert_eq!(sole_crashes(&cluster, first), Some(1));
}

#[test]
fn record_crash_machine_taken_down_blames_no_task() {
    let mut cluster = Cluster::new(1, 2, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    let first = run(1, 0, 0, 1);
    assign(&mut cluster, first, 0);
    assert_eq!(cluster.apply(Event::TakenDown("w0".into())), EventOutcome::Applied);
    let report = crash(&cluster, 0, &[(first, 10)]);
    assert_eq!(cluster.apply(report), EventOutcome::Stale);
    assert_eq!(sole_crashes(&cluster, first), None);
    // The next incarnation may crash.
    restart(&mut cluster, 0);
    assign(&mut cluster, run(1, 0, 0, 2), 0);
    crash_and_restart(&mut cluster, 0, &[(run(1, 0, 0, 2), 10)]);
    assert_eq!(sole_crashes(&cluster, first), Some(1));
}

// A service that runs for hours loses a worker now and then, which is not its fault.
#[test]
fn record_crash_run_that_survived_its_start_clears_its_task() {
    let mut cluster = Cluster::new(1, 8, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    for number in 1..=6 {
        let run = run(1, 0, 0, number);
        assign(&mut cluster, run, number as usize);
        crash_and_restart(&mut cluster, number as usize, &[(run, SURVIVED_MILLIS)]);
    }
    assert_eq!(cluster.phase(1), Phase::Running);
    assert_eq!(sole_crashes(&cluster, run(1, 0, 0, 1)), Some(1));
}

#[test]
fn record_crash_task_that_is_done_is_cleared() {
    let mut cluster = Cluster::new(1, 3, 0);
    cluster.submit(1, 0, vec![step(2, 1)]);
    let first = run(1, 0, 0, 1);
    assign(&mut cluster, first, 0);
    crash_and_restart(&mut cluster, 0, &[(first, 10)]);
    assign(&mut cluster, run(1, 0, 0, 2), 1);
    cluster.end(run(1, 0, 0, 2), RunOutcome::Done);
    assert_eq!(sole_crashes(&cluster, first), None);
    assert!(cluster.ledger.crashes().is_empty());
}

#[test]
fn record_crash_members_of_a_gang_on_one_worker_are_one_cause() {
    let mut cluster = Cluster::new(1, 3, 0);
    cluster.submit(1, 0, vec![gang(2, 1)]);
    for number in 1..=2 {
        let runs = [run(1, 0, 0, number), run(1, 0, 1, number)];
        runs.iter().for_each(|r| assign(&mut cluster, *r, number as usize));
        crash_and_restart(&mut cluster, number as usize, &runs.map(|r| (r, 10)));
    }
    assert_eq!(cluster.phase(1), Phase::Failed);
}

#[test]
fn record_crash_gang_member_on_another_worker_is_not_blamed() {
    let mut cluster = Cluster::new(1, 3, 0);
    cluster.submit(1, 0, vec![gang(2, 1)]);
    assign(&mut cluster, run(1, 0, 0, 1), 0);
    assign(&mut cluster, run(1, 0, 1, 1), 1);
    crash_and_restart(&mut cluster, 0, &[(run(1, 0, 0, 1), 10)]);
    assert_eq!(sole_crashes(&cluster, run(1, 0, 0, 1)), Some(1));
    assert_eq!(sole_crashes(&cluster, run(1, 0, 1, 1)), None);
}

#[test]
fn record_crash_ended_or_unknown_jobs_are_left_alone() {
    let mut cluster = Cluster::new(1, 3, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    assign(&mut cluster, run(1, 0, 0, 1), 0);
    cluster.apply(Event::Cancelled(JobId(1)));
    crash_and_restart(&mut cluster, 0, &[(run(1, 0, 0, 1), 10), (run(9, 0, 0, 1), 10)]);
    assert_eq!(cluster.phase(1), Phase::Cancelled);
    assert!(cluster.ledger.crashes().is_empty());
}

#[test]
fn plan_suspect_is_started_alone_on_an_idle_worker() {
    let mut cluster = Cluster::new(1, 3, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    cluster.submit(2, 0, vec![step(1, 1)]);
    assign(&mut cluster, run(1, 0, 0, 1), 0);
    assign(&mut cluster, run(2, 0, 0, 1), 1);
    crash_and_restart(&mut cluster, 0, &[(run(1, 0, 0, 1), 10)]);
    cluster.submit(3, 0, vec![step(4, 1)]);
    let started = cluster.started();
    let suspect: Vec<_> = started.iter().filter(|a| a.run == run(1, 0, 0, 2)).collect();
    assert_eq!(suspect[0].incarnation.worker, "w2".into(), "not where it has crashed a worker");
    assert!(
        started
            .iter()
            .all(|a| a.run.task.step.job != JobId(3) || a.incarnation.worker != "w2".into())
    );
    // Nor does a later plan put anything beside it, until its start has passed.
    cluster.submit(4, 0, vec![step(20, 1)]);
    let beside = cluster.started();
    assert!(!workers_of(&beside).contains(&"w2".into()), "{beside:?}");
    cluster.pass(3 * SECOND);
    assert!(workers_of(&cluster.started()).contains(&"w2".into()));
}

#[test]
fn plan_suspects_of_one_crash_are_started_on_different_workers() {
    let mut cluster = Cluster::new(1, 3, 0);
    cluster.submit(1, 0, vec![step(2, 1)]);
    let runs = [run(1, 0, 0, 1), run(1, 0, 1, 1)];
    runs.iter().for_each(|r| assign(&mut cluster, *r, 0));
    crash_and_restart(&mut cluster, 0, &runs.map(|r| (r, 10)));
    let started = cluster.started();
    assert_eq!(started.len(), 2);
    assert_ne!(started[0].incarnation, started[1].incarnation);
}

// While every worker is in use, a suspect takes the one on which the least would be lost.
#[test]
fn plan_suspect_shares_the_least_used_worker_after_a_wait() {
    let mut cluster = Cluster::new(1, 2, 0);
    cluster.submit(1, 1, vec![step(1, 1)]);
    cluster.submit(2, 1, vec![step(4, 1)]);
    assign(&mut cluster, run(1, 0, 0, 1), 0);
    crash_and_restart(&mut cluster, 0, &[(run(1, 0, 0, 1), 10)]);
    assign(&mut cluster, run(2, 0, 0, 1), 0);
    (1..4).for_each(|i| assign(&mut cluster, run(2, 0, i, 1), 1));
    assert_eq!(cluster.started(), []);
    cluster.pass(PATIENCE);
    let started = cluster.started();
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].incarnation.worker, "w1".into(), "w0 has crashed under it");
}

#[test]
fn plan_guaranteed_suspect_does_not_wait() {
    let mut cluster = Cluster::new(1, 2, 16);
    cluster.submit(1, 0, vec![step(1, 1)]);
    cluster.submit(2, 1, vec![step(2, 1)]);
    assign(&mut cluster, run(1, 0, 0, 1), 0);
    crash_and_restart(&mut cluster, 0, &[(run(1, 0, 0, 1), 10)]);
    (0..2).for_each(|i| assign(&mut cluster, run(2, 0, i, 1), i as usize));
    assert_eq!(cluster.started().len(), 1);
}

/// Lets two workers crash late under one task, beside tasks that have just started.
fn crash_late_twice(cluster: &mut Cluster) {
    cluster.submit(1, 0, vec![step(1, 1)]);
    cluster.submit(2, 0, vec![step(2, 1)]);
    for number in 1..=2 {
        let late = run(1, 0, 0, number);
        let fresh = run(2, 0, number - 1, 1);
        assign(cluster, late, number as usize);
        assign(cluster, fresh, number as usize);
        crash_and_restart(cluster, number as usize, &[(late, OLD_MILLIS), (fresh, 10)]);
    }
    assert_eq!(cluster.phase(1), Phase::Running);
}

/// Starts what waits; returns where the task of [`crash_late_twice`] is started.
fn start_suspect(cluster: &mut Cluster) -> Arc<str> {
    let started = cluster.started();
    let late = started.iter().find(|a| a.run == run(1, 0, 0, 3)).unwrap();
    late.incarnation.worker.clone()
}

/// Reports a run as at work.
fn report(cluster: &mut Cluster, run: RunId) {
    cluster.view.progress.insert(run, Progress { percent: 100, ..Progress::default() });
}

// A start without an answer may be carried out late, beside tasks that have just started.
#[test]
fn plan_task_under_two_crashes_keeps_its_worker_to_itself() {
    let mut cluster = Cluster::new(1, 4, 0);
    crash_late_twice(&mut cluster);
    let worker = start_suspect(&mut cluster);
    cluster.pass(9 * SECOND);
    cluster.submit(3, 0, vec![step(32, 1)]);
    assert!(!workers_of(&cluster.started()).contains(&worker));
}

#[test]
fn plan_task_under_two_crashes_has_its_worker_to_itself_at_its_start() {
    let mut cluster = Cluster::new(1, 4, 0);
    crash_late_twice(&mut cluster);
    let worker = start_suspect(&mut cluster);
    report(&mut cluster, run(1, 0, 0, 3));
    cluster.pass(Duration::from_millis(1_900));
    cluster.submit(3, 0, vec![step(32, 1)]);
    assert!(!workers_of(&cluster.started()).contains(&worker));
}

// It may crash its worker at any time: what can run elsewhere is not put at risk.
#[test]
fn plan_task_under_two_crashes_is_avoided_while_there_is_other_room() {
    let mut cluster = Cluster::new(1, 4, 0);
    crash_late_twice(&mut cluster);
    let worker = start_suspect(&mut cluster);
    report(&mut cluster, run(1, 0, 0, 3));
    cluster.pass(10 * SECOND);
    let others: u64 = cluster.ledger.workers().map(|w| w.free().gpu).sum::<u64>() - 7;
    cluster.submit(3, 0, vec![step(others as u32, 1)]);
    let started = cluster.started();
    assert_eq!(started.len() as u64, others);
    assert!(!workers_of(&started).contains(&worker), "there was room elsewhere");
}

// A task that lasts kept the rest of the only worker with its label for as long as it ran, and a small
// job that needed this worker never started.
#[test]
fn plan_lasting_task_under_two_crashes_shares_its_worker() {
    let mut cluster = Cluster::new(1, 4, 0);
    label_worker(&mut cluster, 0);
    cluster.submit(1, 1, vec![Step { long_lived: true, ..labelled(1) }]);
    crash_with_all(&mut cluster, 2, OLD_MILLIS);
    cluster.pass(PATIENCE);
    assert_eq!(cluster.started().len(), 1);
    report(&mut cluster, run(1, 0, 0, 3));
    cluster.pass(8 * SECOND);
    cluster.submit(2, 1, vec![labelled(1)]);
    let started = cluster.started();
    assert_eq!(workers_of(&started), ["w0".into()], "seven of its accelerators are free");
}

// Lasting tasks that crash with their only worker were started one after the other, or never.
#[test]
fn plan_lasting_tasks_of_one_worker_all_start_again_in_time() {
    for crashes in 1..=4 {
        let mut cluster = Cluster::new(1, 4, 0);
        label_worker(&mut cluster, 0);
        cluster.submit(1, 1, vec![Step { long_lived: true, ..labelled(8) }]);
        crash_with_all(&mut cluster, crashes, OLD_MILLIS);
        let mut started = 0;
        for _ in 0..31 {
            started += cluster.started().len();
            cluster.pass(Duration::from_millis(100));
        }
        assert_eq!(started, 8, "3 s after crash {crashes}");
    }
}

// Each worker of a large service held a lasting task under which two workers had crashed, and none of
// them was given anything else.
#[test]
fn plan_gang_starts_while_every_worker_holds_a_suspect() {
    const WORKERS: u32 = 890;
    let mut cluster = Cluster::new(30, 30, 0);
    for id in 0..u64::from(WORKERS) {
        let lasting = Step { long_lived: true, ..step(1, 1) };
        cluster.submit(1_000 + id, 1, vec![lasting]);
        for number in 1..=3 {
            let run = run(1_000 + id, 0, 0, number);
            let worker = id as usize;
            assign(&mut cluster, run, worker);
            report(&mut cluster, run);
            if number < 3 {
                crash_and_restart(&mut cluster, worker, &[(run, OLD_MILLIS)]);
            }
        }
    }
    for idle in WORKERS as usize..900 {
        cluster.apply(Event::WorkerGone(incarnation(idle)));
    }
    cluster.submit(1, 1, vec![gang(64, 4)]);
    assert_eq!(cluster.started(), [], "all of them have just started");
    cluster.pass(Duration::from_millis(2_100));
    assert_eq!(cluster.started().len(), 64);
}

// A task that crashes its workers late is beside others each time while the service is full.
#[test]
fn record_crash_fifth_crash_fails_a_job_whatever_runs_beside_it() {
    let mut cluster = Cluster::new(1, 5, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    cluster.submit(2, 0, vec![step(5, 1)]);
    for number in 1..=5 {
        assert_ne!(cluster.phase(1), Phase::Failed, "run {number}");
        let (late, beside) = (run(1, 0, 0, number), run(2, 0, number - 1, 1));
        [late, beside].iter().for_each(|r| assign(&mut cluster, *r, number as usize - 1));
        crash_and_restart(&mut cluster, number as usize - 1, &[(late, OLD_MILLIS), (beside, 10)]);
    }
    assert_eq!(cluster.phase(1), Phase::Failed);
    assert_eq!(cluster.phase(2), Phase::Running);
}

/// Gives a worker a label that no other one has.
fn label_worker(cluster: &mut Cluster, worker: usize) {
    let incarnation = incarnation_of(cluster, worker);
    let mut spec = cluster.ledger.worker(&incarnation).unwrap().spec.clone();
    spec.incarnation.started_at += 1;
    spec.labels.push("b".into());
    assert_eq!(cluster.apply(Event::WorkerUp(Box::new(spec))), EventOutcome::Applied);
}

/// A step of `count` tasks that need the labelled worker.
fn labelled(count: u32) -> Step {
    Step { label: Some("b".into()), ..step(count, 1) }
}

/// Starts all tasks of the first job on the labelled worker, which crashes with them `crashes` times.
fn crash_with_all(cluster: &mut Cluster, crashes: u32, age: u64) {
    let count = cluster.ledger.job(JobId(1)).unwrap().spec.steps[0].count;
    for number in 1..=crashes {
        let runs: Vec<RunId> = (0..count).map(|i| run(1, 0, i, number)).collect();
        runs.iter().for_each(|r| assign(cluster, *r, 0));
        let ages: Vec<_> = runs.iter().map(|r| (*r, age)).collect();
        crash_and_restart(cluster, 0, &ages);
    }
}

// A snapshot of a former version ends before the crashes.
#[test]
fn ledger_of_a_former_version_has_no_crashes() {
    let mut cluster = Cluster::new(1, 2, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    let bytes = postcard::to_stdvec(&cluster.ledger).unwrap();
    // These fields follow the crashes.
    let ledger = &cluster.ledger;
    let later = (ledger.done_occurrences(), ledger.early_cancels());
    let tail = (ledger.crashes(), ledger.run_times(), ledger.drains(), later);
    let empty = postcard::to_stdvec(&tail).unwrap();
    let former = bytes.strip_suffix(&*empty).unwrap();
    let read: Ledger = postcard::from_bytes(former).unwrap();
    assert_eq!(read, cluster.ledger);
}

#[test]
fn ledger_keeps_crashes_in_a_snapshot() {
    let mut cluster = Cluster::new(1, 2, 0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    assign(&mut cluster, run(1, 0, 0, 1), 0);
    crash_and_restart(&mut cluster, 0, &[(run(1, 0, 0, 1), 10)]);
    let bytes = postcard::to_stdvec(&cluster.ledger).unwrap();
    let (read, rest): (Ledger, _) = postcard::take_from_bytes(&bytes).unwrap();
    assert_eq!((&read, rest), (&cluster.ledger, &[][..]));
    assert_eq!(read.crashes().of_task(run(1, 0, 0, 1).task).unwrap().sole(), 1);
}
