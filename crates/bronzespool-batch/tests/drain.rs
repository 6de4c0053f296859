//! Drained data centres: commands that cross each other, what is started and withdrawn, and why a job
//! waits.

mod common;

use {
    bronzespool_batch::{
        Event, EventOutcome, JobId, Ledger, Phase, RunId, Withdrawals,
        affected::RecordScope,
        cold::ColdReport,
        config::Advice,
        exchange::poll_orders,
        ledger::{Assignment, CenterState, RunOutcome, StopCause, WorkerSpec},
        message::{Orders, Poll, PollId, RunStatus},
        plan::Inquiries,
    },
    bronzespool_core::Instance,
    common::{Cluster, SECOND, WORKER_CAPACITY, config, gang, incarnation, run, step},
    std::{collections::BTreeSet, sync::Arc},
};

/// Data centres with two workers each: w0 and w1 are in the first one.
const CENTERS: [&str; 3] = ["north", "south", "west"];
const CENTER_WORKERS: usize = 2;

fn cluster(guaranteed: u64) -> Cluster {
    let mut cluster = Cluster::new(CENTERS.len(), CENTER_WORKERS, guaranteed);
    for i in 0..CENTERS.len() * CENTER_WORKERS {
        let center = CENTERS[i / CENTER_WORKERS].into();
        let spec = WorkerSpec { center, ..spec_of(&cluster, i) };
        assert_eq!(cluster.apply(Event::WorkerUp(Box::new(spec))), EventOutcome::Applied);
    }
    cluster
}

fn spec_of(cluster: &Cluster, i: usize) -> WorkerSpec {
    cluster.ledger.worker(&incarnation(i)).expect("a worker").spec.clone()
}

fn state(cluster: &Cluster, center: &str) -> CenterState {
    cluster.ledger.drains().state(center)
}

/// Returns a command that is based on a revision.
fn command(center: &str, drained: bool, base: u64) -> Event {
    let center = center.into();
    match drained {
        true => Event::CenterDrained { center, base },
        false => Event::CenterRestored { center, base },
    }
}

/// Applies a command that is based on the current revision.
fn set(cluster: &mut Cluster, center: &str, drained: bool) {
    let base = state(cluster, center).revision;
    assert_eq!(cluster.apply(command(center, drained, base)), EventOutcome::Applied);
}

/// Returns the names of the workers on which one plan starts tasks.
fn started_on(cluster: &mut Cluster) -> BTreeSet<Arc<str>> {
    cluster.started().into_iter().map(|a| a.incarnation.worker).collect()
}

fn names(workers: &[usize]) -> BTreeSet<Arc<str>> {
    workers.iter().map(|i| incarnation(*i).worker).collect()
}

fn assign(cluster: &mut Cluster, run: RunId, worker: usize) -> EventOutcome {
    let incarnation = incarnation(worker);
    let assignment = Assignment { run, incarnation, checkpoint: "".into(), permit: None };
    cluster.apply(Event::Started(vec![assignment]))
}

/// Returns the orders for a worker that lists these runs.
fn orders(cluster: &Cluster, worker: usize, running: &[RunId], in_flight: &[RunId]) -> Orders {
    let status = |run: &RunId| RunStatus { run: *run, checkpoint: "".into(), percent: 1, usage: 0 };
    let poll = Poll {
        agent: Instance::try_from(format!("side-{worker}")).unwrap(),
        id: PollId::new(1, 1),
        relay: None,
        worker: Some(spec_of(cluster, worker)),
        gone: Vec::new(),
        running: running.iter().map(status).collect(),
        ends: Vec::new(),
        refused: Vec::new(),
        in_flight: in_flight.to_vec(),
    };
    poll_orders(&cluster.ledger, &Withdrawals::default(), &poll, 1, 8 * SECOND)
}

fn refuse(cluster: &mut Cluster, run: RunId, worker: usize) {
    let event = Event::Refused { incarnation: incarnation(worker), run };
    assert_eq!(cluster.apply(event), EventOutcome::Applied);
}

fn explanation(cluster: &Cluster, id: u64) -> String {
    cluster.ledger.explain(JobId(id)).expect("a job").to_string()
}

// An old start took effect after a stop was acknowledged.
#[test]
fn apply_command_held_up_changes_nothing() {
    for drained in [true, false] {
        let mut cluster = cluster(0);
        if !drained {
            set(&mut cluster, "north", true);
        }
        let held_up = command("north", drained, state(&cluster, "north").revision);
        // The state is as this command requests: it must raise the revision all the same.
        set(&mut cluster, "north", !drained);
        assert_eq!(cluster.apply(held_up), EventOutcome::Stale);
        assert_eq!(state(&cluster, "north").drained, !drained);
    }
}

#[test]
fn apply_crossed_commands_have_one_outcome() {
    let mut cluster = cluster(0);
    assert_eq!(cluster.apply(command("north", true, 0)), EventOutcome::Applied);
    assert_eq!(cluster.apply(command("north", true, 0)), EventOutcome::Stale, "a repetition");
    assert_eq!(cluster.apply(command("north", false, 0)), EventOutcome::Stale, "it has crossed");
    assert_eq!(state(&cluster, "north"), CenterState { revision: 1, drained: true });
    set(&mut cluster, "north", false);
    set(&mut cluster, "north", true);
    assert_eq!(cluster.apply(command("north", false, 1)), EventOutcome::Stale, "a late stop");
    assert_eq!(state(&cluster, "north"), CenterState { revision: 3, drained: true });
    assert_eq!(state(&cluster, "south"), CenterState::default(), "another data centre");
}

#[test]
fn knows_center_by_workers_and_commands() {
    let mut cluster = cluster(0);
    assert!(cluster.ledger.knows_center("west") && !cluster.ledger.knows_center("east"));
    set(&mut cluster, "west", true);
    for i in 4..6 {
        cluster.apply(Event::WorkerGone(incarnation(i)));
    }
    assert!(cluster.ledger.knows_center("west"), "its workers are lost, its drain can be revoked");
}

#[test]
fn plan_starts_nothing_in_drained_centers() {
    let mut cluster = cluster(0);
    set(&mut cluster, "north", true);
    cluster.submit(1, 0, vec![step(6, 8)]);
    assert_eq!(started_on(&mut cluster), names(&[2, 3, 4, 5]));
    set(&mut cluster, "south", true);
    (0..4).for_each(|i| _ = cluster.end(run(1, 0, i, 1), RunOutcome::Done));
    cluster.pass(SECOND);
    assert_eq!(started_on(&mut cluster), names(&[4, 5]), "a second data centre is drained");
    cluster.submit(2, 0, vec![step(3, 8)]);
    set(&mut cluster, "south", false);
    assert_eq!(started_on(&mut cluster), names(&[2, 3]));
}

/// Lets a worker report that it stays cold for ten seconds.
fn report_cold(cluster: &mut Cluster, worker: usize) {
    let report = ColdReport { incarnation: incarnation(worker), remaining: 10_000 };
    cluster.view.cold.record(cluster.view.now, report);
}

// All workers of a restored data centre are idle, so cold ones got all waiting work at once.
#[test]
fn plan_cold_workers_of_a_restored_center_are_loaded_gradually() {
    let mut cluster = cluster(0);
    CENTERS.iter().for_each(|c| set(&mut cluster, c, true));
    set(&mut cluster, "north", false);
    report_cold(&mut cluster, 0);
    cluster.submit(1, 0, vec![step(16, 1)]);
    let on_cold = |cluster: &Cluster| cluster.ledger.worker(&incarnation(0)).unwrap().runs.len();
    cluster.plan();
    assert_eq!(on_cold(&cluster), 1, "an idle worker may take one task");
    assert_eq!(cluster.ledger.worker(&incarnation(1)).unwrap().runs.len(), 8, "a warm one is full");
    for (span, runs) in [(1, 1), (4, 4), (2, 5), (2, 7), (1, 8)] {
        cluster.pass(span * SECOND);
        while !cluster.plan().is_empty() {}
        assert_eq!(on_cold(&cluster), runs);
    }
}

#[test]
fn plan_worker_that_is_warm_early_is_loaded_at_once() {
    let mut cluster = cluster(0);
    set(&mut cluster, "north", true);
    set(&mut cluster, "north", false);
    report_cold(&mut cluster, 0);
    let warm = ColdReport { incarnation: incarnation(0), remaining: 0 };
    cluster.view.cold.record(cluster.view.now, warm);
    cluster.submit(1, 0, vec![step(48, 1)]);
    assert_eq!(cluster.started().len(), 48);
}

#[test]
fn plan_cold_worker_takes_a_task_that_needs_all_of_it() {
    let mut cluster = cluster(0);
    CENTERS.iter().for_each(|c| set(&mut cluster, c, true));
    set(&mut cluster, "north", false);
    (0..2).for_each(|i| report_cold(&mut cluster, i));
    cluster.submit(1, 0, vec![gang(2, WORKER_CAPACITY.gpu)]);
    assert_eq!(started_on(&mut cluster), names(&[0, 1]));
}

#[test]
fn plan_cold_worker_of_a_center_that_was_never_drained_is_as_any_other() {
    let mut cluster = cluster(0);
    (0..6).for_each(|i| report_cold(&mut cluster, i));
    cluster.submit(1, 0, vec![step(48, 1)]);
    assert_eq!(cluster.started().len(), 48);
}

#[test]
fn plan_all_drained_jobs_wait_and_are_explained() {
    let mut cluster = cluster(0);
    CENTERS.iter().for_each(|c| set(&mut cluster, c, true));
    cluster.submit(1, 0, vec![gang(2, 8)]);
    assert!(cluster.plan().is_empty());
    cluster.pass(60 * SECOND);
    assert!(cluster.plan().is_empty());
    assert_eq!(cluster.phase(1), Phase::Queued, "nothing is lost");
    let reason = "it waits: only workers of drained data centres have room for it: ";
    assert_eq!(explanation(&cluster, 1), format!("{reason}north, south, west"));
    set(&mut cluster, "west", false);
    assert_eq!(explanation(&cluster, 1), "no task has started yet");
    assert_eq!(started_on(&mut cluster), names(&[4, 5]));
}

#[test]
fn explain_names_drains_only_where_they_hold_a_job_back() {
    let mut cluster = cluster(0);
    cluster.submit(1, 0, vec![step(6, 8)]);
    assert_eq!(cluster.started().len(), 6);
    cluster.submit(2, 0, vec![step(1, 8)]);
    set(&mut cluster, "north", true);
    assert_eq!(explanation(&cluster, 2), "no task has started yet", "all workers are in use");
    cluster.end(run(1, 0, 0, 1), RunOutcome::Done);
    assert!(explanation(&cluster, 2).ends_with(": north"), "a drained worker has room for it");
    cluster.submit(3, 0, vec![gang(5, 8)]);
    assert!(explanation(&cluster, 3).ends_with(": north"), "four workers elsewhere never suffice");
    cluster.end(run(1, 0, 2, 1), RunOutcome::Done);
    assert_eq!(explanation(&cluster, 2), "no task has started yet", "it has room elsewhere");
}

// A plan that was made before the drain and applied after it gave runs to drained workers.
#[test]
fn apply_start_after_the_drain_is_stale() {
    let mut cluster = cluster(0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    set(&mut cluster, "north", true);
    assert_eq!(assign(&mut cluster, run(1, 0, 0, 1), 0), EventOutcome::Stale);
    assert_eq!(assign(&mut cluster, run(1, 0, 0, 1), 2), EventOutcome::Applied);
}

#[test]
fn poll_orders_withdraws_runs_that_do_not_run_yet() {
    let mut cluster = cluster(0);
    cluster.submit(1, 0, vec![step(3, 1)]);
    let all: Vec<RunId> = (0..3).map(|i| run(1, 0, i, 1)).collect();
    all.iter().for_each(|r| assert_eq!(assign(&mut cluster, *r, 0), EventOutcome::Applied));
    set(&mut cluster, "north", true);
    let withdrawn = orders(&cluster, 0, &all[..1], &all[1..2]);
    assert!(withdrawn.starts.is_empty());
    assert_eq!(withdrawn.stops, &all[2..], "one runs, and one has a start in flight");
    refuse(&mut cluster, all[2], 0);
    assert_eq!(cluster.ledger.job(JobId(1)).unwrap().task(all[2].task).unwrap().failures, 0);
    let again = cluster.started();
    assert_eq!((again.len(), again[0].run), (1, run(1, 0, 2, 2)), "only that task moves");
    assert!(!names(&[0, 1]).contains(&again[0].incarnation.worker));
    set(&mut cluster, "north", false);
    assert_eq!(orders(&cluster, 0, &all[..1], &[]).starts.len(), 1, "the drain is revoked");
}

#[test]
fn plan_gang_partly_started_is_restarted_whole_elsewhere() {
    let mut cluster = cluster(0);
    cluster.submit(1, 0, vec![gang(2, 8)]);
    let members = [run(1, 0, 0, 1), run(1, 0, 1, 1)];
    let assignment = |i: usize| Assignment {
        run: members[i],
        incarnation: incarnation(i),
        checkpoint: "".into(),
        permit: None,
    };
    cluster.apply(Event::Started(vec![assignment(0), assignment(1)]));
    set(&mut cluster, "north", true);
    assert!(orders(&cluster, 0, &members[..1], &[]).stops.is_empty(), "the first member runs");
    assert_eq!(orders(&cluster, 1, &[], &[]).stops, &members[1..]);
    refuse(&mut cluster, members[1], 1);
    let broken = Event::Stopping { runs: vec![members[0]], cause: StopCause::Broken };
    assert_eq!(cluster.plan(), [broken]);
    cluster.end_unwanted();
    let again = cluster.started();
    assert_eq!(again.len(), 2);
    assert!(
        again.iter().all(|a| a.run.run == 2 && !names(&[0, 1]).contains(&a.incarnation.worker))
    );
}

#[test]
fn plan_running_work_goes_on() {
    let mut cluster = cluster(0);
    cluster.submit(1, 0, vec![gang(2, 8)]);
    cluster.submit(2, 1, vec![step(1, 1)]);
    let placed = cluster.started();
    let is_first = |name: &str| placed.iter().any(|a| &*a.incarnation.worker == name);
    CENTERS.iter().for_each(|c| set(&mut cluster, c, true));
    assert!(is_first("w0"));
    for (i, assignment) in placed.iter().enumerate() {
        let worker: usize = assignment.incarnation.worker[1..].parse().unwrap();
        let held: Vec<RunId> =
            cluster.ledger.worker(&assignment.incarnation).unwrap().runs.keys().copied().collect();
        assert!(orders(&cluster, worker, &held, &[]).stops.is_empty(), "run {i}");
    }
    cluster.pass(60 * SECOND);
    assert!(cluster.plan().is_empty());
}

#[test]
fn plan_guarantee_is_met_elsewhere() {
    let mut cluster = cluster(16);
    cluster.submit(1, 2, vec![step(6, 8)]);
    assert_eq!(cluster.started().len(), 6);
    set(&mut cluster, "north", true);
    cluster.submit(2, 0, vec![gang(2, 8)]);
    let events = cluster.plan();
    let Some(Event::Stopping { runs, .. }) = events.first() else { panic!("{events:?}") };
    assert_eq!(runs.len(), 2);
    let workers =
        runs.iter().map(|r| cluster.ledger.active_run(*r).unwrap().incarnation.worker.clone());
    assert!(workers.collect::<BTreeSet<_>>().is_disjoint(&names(&[0, 1])));
    cluster.end_unwanted();
    assert!(started_on(&mut cluster).is_disjoint(&names(&[0, 1])));
    assert_eq!(cluster.phase(2), Phase::Running);
}

#[test]
fn plan_with_leaving_and_draining_workers_elsewhere() {
    let mut cluster = cluster(0);
    set(&mut cluster, "north", true);
    let leaving = WorkerSpec { leaving: true, ..spec_of(&cluster, 2) };
    cluster.apply(Event::WorkerUp(Box::new(leaving)));
    // A maintenance wave takes this one down next.
    cluster.view.draining.insert(incarnation(3).worker);
    cluster.apply(Event::WorkerGone(incarnation(4)));
    cluster.submit(1, 0, vec![step(6, 8)]);
    assert_eq!(started_on(&mut cluster), names(&[5]));
}

#[test]
fn configuration_keeps_the_drain() {
    let mut cluster = cluster(0);
    set(&mut cluster, "north", true);
    cluster.apply(Event::Configured(Arc::new(config(2, 8))));
    let mut restarted = spec_of(&cluster, 0);
    restarted.incarnation.started_at += 1;
    cluster.apply(Event::WorkerUp(Box::new(restarted)));
    cluster.submit(1, 0, vec![step(6, 8)]);
    assert_eq!(started_on(&mut cluster), names(&[2, 3, 4, 5]));
}

// The advice service was asked about drained workers only, since they have the most room.
#[test]
fn next_question_names_no_drained_workers() {
    let mut cluster = cluster(0);
    let mut config = config(2, 0);
    config.queues[2].advice = Some(Advice { call: 50, per_worker: 5, validity: 3_000 });
    cluster.apply(Event::Configured(Arc::new(config)));
    cluster.submit(1, 2, vec![step(1, 1)]);
    set(&mut cluster, "north", true);
    set(&mut cluster, "west", true);
    let question = Inquiries::default().next_question(&cluster.ledger, &cluster.view).unwrap();
    assert_eq!(question.workers.into_iter().collect::<BTreeSet<_>>(), names(&[2, 3]));
}

#[test]
fn record_scope_drain_concerns_all_workers_of_the_center() {
    let cluster = cluster(0);
    for event in [command("south", true, 0), command("south", false, 0)] {
        let record = bronzespool_batch::Record { at: cluster.view.now, events: vec![event] };
        let scope = RecordScope::of(&cluster.ledger, &record);
        assert_eq!(scope.affected_workers(&cluster.ledger), names(&[2, 3]));
    }
}

// A snapshot of a former version ends before the drains.
#[test]
fn ledger_of_a_former_version_has_no_drains() {
    let mut cluster = cluster(0);
    cluster.submit(1, 0, vec![step(1, 1)]);
    let bytes = postcard::to_stdvec(&cluster.ledger).unwrap();
    let mut later = postcard::to_stdvec(cluster.ledger.drains()).unwrap();
    let after = (cluster.ledger.done_occurrences(), cluster.ledger.early_cancels());
    later.extend(postcard::to_stdvec(&after).unwrap());
    let read: Ledger = postcard::from_bytes(bytes.strip_suffix(&*later).unwrap()).unwrap();
    assert_eq!(read, cluster.ledger);
    set(&mut cluster, "north", true);
    let bytes = postcard::to_stdvec(&cluster.ledger).unwrap();
    let (read, rest): (Ledger, _) = postcard::take_from_bytes(&bytes).unwrap();
    assert_eq!((&read, rest), (&cluster.ledger, &[][..]));
}
