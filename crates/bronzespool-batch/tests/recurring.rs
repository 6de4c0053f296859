//! Jobs that recur: what they cost does not depend on how often they do, or on how many of their times
//! are past.

mod common;

use {
    bronzespool_batch::{
        Event, EventOutcome, JobId, Ledger, Phase, Step,
        ledger::{Assignment, RunOutcome},
        spec::JobSpec,
    },
    bronzespool_core::HashSet,
    common::{Cluster, run, step},
    std::time::Duration,
};

/// A time of day, in milliseconds since 1970.
const WALL: u64 = 1_796_000_000_000;
/// Most task groups that one plan looks at for a job of one step.
const GROUPS_MAX: u64 = 16;
/// Longest snapshot of a ledger with one recurring job that has run for a while.
const SNAPSHOT_BYTES_MAX: usize = 4_000;

fn recurring(id: u64, times: u32, interval: u64, steps: Vec<Step>) -> JobSpec {
    JobSpec {
        id: JobId(id),
        queue: "quota".into(),
        team: Some("rangers".into()),
        text: "text".into(),
        steps,
        times,
        start: 0,
        interval,
    }
}

fn cluster(spec: JobSpec) -> Cluster {
    let mut cluster = Cluster::new(2, 2, 0);
    cluster.view.wall = WALL;
    assert_eq!(spec.check(), Ok(()));
    assert_eq!(cluster.apply(Event::Submitted(spec.into())), EventOutcome::Applied);
    cluster
}

/// Ends all runs as done; returns their number.
fn end_all(cluster: &mut Cluster, id: u64) -> usize {
    let job = cluster.ledger.job(JobId(id)).unwrap();
    let runs: Vec<_> = job.active_runs().map(|(run, _)| run).collect();
    for run in &runs {
        cluster.end(*run, RunOutcome::Done);
    }
    runs.len()
}

// One job with two million past times made each plan build a group for each of them: the leader grew
// past its memory, also after each restart.
#[test]
fn plan_job_with_millions_of_past_times_looks_at_a_few() {
    for (times, interval) in [(4_000_000_000, 900_000), (u32::MAX, 1_000), (u32::MAX, 0)] {
        let mut cluster = cluster(recurring(1, times, interval, vec![step(1, 1)]));
        let mut occurrences = HashSet::default();
        for _ in 0..100 {
            let started = cluster.started();
            assert!(started.len() as u64 <= GROUPS_MAX);
            occurrences.extend(started.iter().map(|a| a.run.task.step.occurrence));
            let ended = end_all(&mut cluster, 1);
            assert_eq!(ended, started.len());
            cluster.pass(Duration::from_millis(10));
        }
        assert_eq!(occurrences.len(), 1_600, "it goes on: 16 times a plan");
        assert!(occurrences.iter().all(|k| *k < 1_600), "the first times come first");
        let snapshot = postcard::to_stdvec(&cluster.ledger).unwrap();
        assert!(snapshot.len() < SNAPSHOT_BYTES_MAX, "{} bytes", snapshot.len());
    }
}

// As before: the plans of such a job left no time for the others.
#[test]
fn plan_job_with_millions_of_past_times_lets_others_run() {
    let mut cluster = cluster(recurring(1, u32::MAX, 1, vec![step(1, 8)]));
    cluster.started();
    assert_eq!(cluster.submit(2, 0, vec![step(1, 8)]), EventOutcome::Applied);
    end_all(&mut cluster, 1);
    assert!(cluster.started().iter().any(|a| a.run == run(2, 0, 0, 1)));
}

#[test]
fn plan_recurring_job_is_completed_after_all_times() {
    let later = Step { depends_on: vec![0], ..step(2, 1) };
    let mut cluster = cluster(recurring(1, 40, 1_000, vec![step(1, 1), later]));
    let mut rounds = 0;
    while cluster.phase(1) == Phase::Running || cluster.phase(1) == Phase::Queued {
        cluster.started();
        end_all(&mut cluster, 1);
        rounds += 1;
        assert!(rounds < 40);
    }
    assert_eq!(cluster.phase(1), Phase::Completed);
    assert_eq!(cluster.ledger.done_occurrences().count(JobId(1)), 0, "nothing is kept of it");
}

// A time that is done looked like one of which nothing had started.
#[test]
fn apply_start_of_an_occurrence_that_is_done_is_refused() {
    let mut cluster = cluster(recurring(1, 100, 1_000, vec![step(1, 1)]));
    let started: Vec<Assignment> = cluster.started();
    end_all(&mut cluster, 1);
    for assignment in started {
        let again = Event::Started(vec![assignment]);
        assert_eq!(cluster.apply(again), EventOutcome::Stale);
    }
}

// Many times whose second step finds no worker kept the first steps of the others from being started.
#[test]
fn plan_occurrences_that_cannot_go_on_hold_up_no_others() {
    let later = Step { depends_on: vec![0], label: Some("nowhere".into()), ..step(1, 1) };
    let mut cluster = cluster(recurring(1, u32::MAX, 1, vec![step(1, 1), later]));
    for _ in 0..10 {
        assert_eq!(cluster.started().len() as u64, GROUPS_MAX);
        end_all(&mut cluster, 1);
    }
}

// The states of tasks of one job took as much memory as its times that had begun.
#[test]
fn plan_open_occurrences_have_a_bounded_number_of_tasks() {
    let later = Step { depends_on: vec![0], label: Some("nowhere".into()), ..step(4_999, 1) };
    let mut cluster = cluster(recurring(1, u32::MAX, 1, vec![step(1, 1), later]));
    let mut started = 0;
    for _ in 0..10 {
        started += cluster.started().len();
        end_all(&mut cluster, 1);
    }
    assert_eq!(started, 4, "of 5,000 tasks each, 20,000 in all");
}

#[test]
fn done_occurrences_are_counted_in_any_order() {
    let mut cluster = cluster(recurring(1, 12, 0, vec![step(1, 1)]));
    let mut runs: Vec<_> = cluster.started().into_iter().map(|a| a.run).collect();
    assert_eq!(runs.len(), 12);
    runs.sort_by_key(|r| (r.task.step.occurrence * 5) % 12);
    let last = runs.pop().unwrap();
    for (i, run) in runs.iter().enumerate() {
        cluster.end(*run, RunOutcome::Done);
        assert_eq!(cluster.ledger.done_occurrences().count(JobId(1)), i as u64 + 1);
        let is_done = |k| cluster.ledger.done_occurrences().contains(JobId(1), k);
        assert!(runs[..=i].iter().all(|r| is_done(r.task.step.occurrence)));
        assert!(runs[i + 1..].iter().all(|r| !is_done(r.task.step.occurrence)));
    }
    assert_eq!(cluster.phase(1), Phase::Running);
    cluster.end(last, RunOutcome::Done);
    assert_eq!(cluster.phase(1), Phase::Completed);
}

// A snapshot of a former version ends before the done occurrences.
#[test]
fn ledger_of_a_former_version_has_no_done_occurrences() {
    let mut cluster = cluster(recurring(1, 100, 1_000, vec![step(1, 1)]));
    cluster.started();
    let bytes = postcard::to_stdvec(&cluster.ledger).unwrap();
    let later = (cluster.ledger.done_occurrences(), cluster.ledger.early_cancels());
    let empty = postcard::to_stdvec(&later).unwrap();
    let read: Ledger = postcard::from_bytes(bytes.strip_suffix(&*empty).unwrap()).unwrap();
    assert_eq!(read, cluster.ledger);
    end_all(&mut cluster, 1);
    let bytes = postcard::to_stdvec(&cluster.ledger).unwrap();
    let (read, rest): (Ledger, _) = postcard::take_from_bytes(&bytes).unwrap();
    assert_eq!((&read, rest), (&cluster.ledger, &[][..]));
}
