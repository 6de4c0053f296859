//! Which polls a record concerns, and what calls for a plan. The counts do not grow with the number
//! of agents.

mod common;

use {
    bronzespool_batch::{
        Event, EventOutcome, JobId, Record, RunId, Withdrawals, WorkerIncarnation,
        affected::{RecordScope, WaitingPolls, calls_for_plan, record_calls_for_plan},
        contact::{AGENT_TIMEOUT, Contacts},
        crash::{Crash, CrashedRun},
        exchange::{poll_events, poll_orders},
        grant::Grants,
        ledger::{Assignment, RunEnd, RunOutcome, StopCause, WorkerSpec},
        message::{Orders, Poll, PollId, RunStatus},
        spec::Step,
    },
    bronzespool_core::{Instance, Time},
    common::{Cluster, SECOND, config, incarnation, run, step},
    fastrand::Rng,
    std::{collections::BTreeSet, rc::Rc, sync::Arc, time::Duration},
};

/// Numbers of agents at which the counts are taken.
const AGENTS: [usize; 3] = [30, 100, 300];
/// Interval between two polls of an idle agent.
const POLL_INTERVAL: Duration = Duration::from_millis(400);
/// Random histories, and events in each.
const HISTORIES: u64 = 300;
const HISTORY_EVENTS: usize = 60;
/// Workers and jobs of a random history; few, so that events often meet.
const HISTORY_WORKERS: usize = 5;
const HISTORY_JOBS: u64 = 4;

fn agent(i: usize) -> Instance {
    Instance::try_from(format!("side-{i}")).unwrap()
}

fn spec_of(cluster: &Cluster, i: usize) -> Option<WorkerSpec> {
    let mut workers = cluster.ledger.workers();
    workers.find(|w| *w.spec.incarnation.worker == *format!("w{i}")).map(|w| w.spec.clone())
}

/// The poll of an agent whose worker runs all that the ledger assigns to it.
fn poll(cluster: &Cluster, i: usize) -> Poll {
    let worker = spec_of(cluster, i);
    let held = worker.as_ref().and_then(|w| cluster.ledger.worker(&w.incarnation));
    let runs = held.map(|w| w.runs.keys().copied().collect()).unwrap_or_default();
    poll_with(agent(i), worker, runs)
}

fn poll_with(agent: Instance, worker: Option<WorkerSpec>, runs: Vec<RunId>) -> Poll {
    let status = |run| RunStatus { run, checkpoint: "".into(), percent: 0, usage: 0 };
    Poll {
        agent,
        id: PollId::new(1, 1),
        relay: None,
        worker,
        gone: Vec::new(),
        running: runs.into_iter().map(status).collect(),
        ends: Vec::new(),
        refused: Vec::new(),
        in_flight: Vec::new(),
    }
}

fn orders(cluster: &Cluster, poll: &Poll) -> Orders {
    poll_orders(&cluster.ledger, &Withdrawals::default(), poll, 1, SECOND)
}

fn worker_name(poll: &Poll) -> Option<Arc<str>> {
    poll.worker.as_ref().map(|w| Arc::clone(&w.incarnation.worker))
}

/// Applies an event; returns the names of the workers that it concerns, and its outcome.
fn apply(cluster: &mut Cluster, event: Event) -> (BTreeSet<Arc<str>>, EventOutcome) {
    let record = Record { at: cluster.view.now, events: vec![event] };
    let scope = RecordScope::of(&cluster.ledger, &record);
    let outcome = cluster.ledger.apply(&record)[0];
    (scope.affected_workers(&cluster.ledger), outcome)
}

fn assignment(run: RunId, i: usize) -> Assignment {
    Assignment { run, incarnation: incarnation(i), checkpoint: "".into(), permit: None }
}

/// A waiting poll of each agent, by the number of the agent.
fn waiting_polls(cluster: &Cluster, agents: usize) -> WaitingPolls<usize> {
    let mut polls = WaitingPolls::default();
    for i in 0..agents {
        polls.insert(agent(i), worker_name(&poll(cluster, i)), i);
    }
    polls
}

fn woken(polls: &WaitingPolls<usize>, workers: &BTreeSet<Arc<str>>) -> Vec<usize> {
    let mut woken: Vec<_> = workers.iter().flat_map(|w| polls.of_worker(w)).copied().collect();
    woken.sort_unstable();
    woken
}

/// Agents in racks of ten.
fn cluster_of(agents: usize) -> Cluster {
    Cluster::new(agents / 10, 10, 8)
}

#[test]
fn record_scope_start_concerns_one_agent_at_every_size() {
    for agents in AGENTS {
        let mut cluster = cluster_of(agents);
        cluster.submit(1, 0, vec![step(agents as u32, 1)]);
        let polls = waiting_polls(&cluster, agents);
        for i in 0..agents {
            let start = Event::Started(vec![assignment(run(1, 0, i as u32, 1), i)]);
            let (workers, outcome) = apply(&mut cluster, start);
            assert_eq!(outcome, EventOutcome::Applied);
            assert_eq!(woken(&polls, &workers), [i], "{agents} agents");
        }
    }
}

#[test]
fn record_scope_cancelled_job_concerns_the_agents_that_hold_its_runs() {
    const HOLDERS: [usize; 3] = [2, 11, 29];
    for agents in AGENTS {
        let mut cluster = cluster_of(agents);
        cluster.submit(1, 0, vec![step(3, 1)]);
        cluster.submit(2, 0, vec![step(agents as u32, 1)]);
        let held = HOLDERS.iter().zip(0..);
        let group = held.map(|(&i, index)| assignment(run(1, 0, index, 1), i)).collect();
        apply(&mut cluster, Event::Started(group));
        for i in 0..agents {
            let start = vec![assignment(run(2, 0, i as u32, 1), i)];
            apply(&mut cluster, Event::Started(start));
        }
        let polls = waiting_polls(&cluster, agents);
        let (workers, _) = apply(&mut cluster, Event::Cancelled(JobId(1)));
        assert_eq!(woken(&polls, &workers), HOLDERS, "{agents} agents");
        let (workers, outcome) = apply(&mut cluster, Event::Cancelled(JobId(1)));
        assert_eq!(outcome, EventOutcome::Known);
        assert_eq!(woken(&polls, &workers), [0; 0], "{agents} agents");
    }
}

#[test]
fn record_scope_end_concerns_others_only_if_it_ends_the_job() {
    for agents in AGENTS {
        let mut cluster = cluster_of(agents);
        cluster.submit(1, 0, vec![step(agents as u32, 1)]);
        for i in 0..agents {
            let start = vec![assignment(run(1, 0, i as u32, 1), i)];
            apply(&mut cluster, Event::Started(start));
        }
        let polls = waiting_polls(&cluster, agents);
        for i in 0..agents {
            let ends = vec![RunEnd {
                number: 1,
                run: run(1, 0, i as u32, 1),
                outcome: RunOutcome::Done,
                checkpoint: "".into(),
            }];
            let ended = Event::Ended { incarnation: incarnation(i), ends };
            let (workers, outcome) = apply(&mut cluster, ended);
            assert_eq!(outcome, EventOutcome::Applied);
            assert_eq!(woken(&polls, &workers), [i], "{agents} agents");
        }
    }
}

#[test]
fn record_scope_failed_job_concerns_all_its_agents() {
    for agents in AGENTS {
        let mut cluster = cluster_of(agents);
        cluster.submit(1, 0, vec![step(4, 1)]);
        let group = (0..4).map(|i| assignment(run(1, 0, i as u32, 1), i)).collect();
        apply(&mut cluster, Event::Started(group));
        let polls = waiting_polls(&cluster, agents);
        // The configuration allows three attempts.
        for attempt in 1..=3 {
            let failed = run(1, 0, 0, attempt);
            let ends = vec![RunEnd {
                number: u64::from(attempt),
                run: failed,
                outcome: RunOutcome::Failed,
                checkpoint: "".into(),
            }];
            let ended = Event::Ended { incarnation: incarnation(0), ends };
            let (workers, _) = apply(&mut cluster, ended);
            let expected: &[usize] = if attempt == 3 { &[0, 1, 2, 3] } else { &[0] };
            assert_eq!(woken(&polls, &workers), expected, "attempt {attempt}, {agents} agents");
            let next = vec![assignment(run(1, 0, 0, attempt + 1), 0)];
            apply(&mut cluster, Event::Started(next));
        }
    }
}

/// A configuration that allows fewer attempts takes effect with the next end of any run of the job,
/// here of one that a lost worker held.
#[test]
fn record_scope_lost_worker_concerns_the_agents_of_the_job_that_it_ends() {
    for agents in AGENTS {
        let mut cluster = cluster_of(agents);
        cluster.submit(1, 0, vec![step(3, 1)]);
        let group = (0..3).map(|i| assignment(run(1, 0, i as u32, 1), i)).collect();
        apply(&mut cluster, Event::Started(group));
        let failed = run(1, 0, 0, 1);
        let ends = vec![RunEnd {
            number: 1,
            run: failed,
            outcome: RunOutcome::Failed,
            checkpoint: "".into(),
        }];
        apply(&mut cluster, Event::Ended { incarnation: incarnation(0), ends });
        apply(&mut cluster, Event::Started(vec![assignment(run(1, 0, 0, 2), 0)]));
        let mut config = config(2, 8);
        config.queues.iter_mut().for_each(|q| q.attempts = 1);
        apply(&mut cluster, Event::Configured(Arc::new(config)));
        let polls = waiting_polls(&cluster, agents);
        let (workers, _) = apply(&mut cluster, Event::WorkerGone(incarnation(2)));
        assert_eq!(woken(&polls, &workers), [0, 1, 2], "{agents} agents");
    }
}

#[test]
fn record_scope_submission_and_configuration_concern_no_agent() {
    for agents in AGENTS {
        let mut cluster = cluster_of(agents);
        let mut before = Vec::new();
        cluster.submit(1, 0, vec![step(1, 1)]);
        apply(&mut cluster, Event::Started(vec![assignment(run(1, 0, 0, 1), 0)]));
        for i in 0..agents {
            before.push(orders(&cluster, &poll(&cluster, i)));
        }
        let configured = Event::Configured(Arc::new(config(2, 0)));
        let (workers, outcome) = apply(&mut cluster, configured);
        assert_eq!(outcome, EventOutcome::Applied);
        assert_eq!(workers.len(), 0, "{agents} agents");
        for (i, before) in before.iter().enumerate() {
            assert_eq!(orders(&cluster, &poll(&cluster, i)), *before);
        }
    }
}

/// A random event, which often does not fit the ledger.
fn random_event(rng: &mut Rng, cluster: &Cluster, numbers: &mut u64) -> Event {
    let i = rng.usize(0..HISTORY_WORKERS);
    let id = rng.u64(1..=HISTORY_JOBS);
    let held: Vec<RunId> = cluster.ledger.workers().flat_map(|w| w.runs.keys().copied()).collect();
    let held_run = rng.choice(&held).copied().unwrap_or_else(|| run(id, 0, 0, 1));
    let active = cluster.ledger.active_run(held_run);
    let holder = active.map_or_else(|| incarnation(i), |r| r.incarnation.clone());
    let current = spec_of(cluster, i).map_or_else(|| incarnation(i), |s| s.incarnation);
    match rng.u32(0..22) {
        21 => {
            let (center, state) = ("c1".into(), cluster.ledger.drains().state("c1"));
            let base = state.revision.saturating_sub(rng.u64(0..2));
            match state.drained {
                true => Event::CenterRestored { center, base },
                false => Event::CenterDrained { center, base },
            }
        }
        20 => {
            let runs = vec![CrashedRun { run: held_run, age: Some(rng.u64(0..2_000)) }];
            Event::Crashed(Box::new(Crash { incarnation: holder, agent: agent(i), runs }))
        }
        0 => Event::Cancelled(JobId(id)),
        1 => Event::WorkerUp(Box::new(random_worker(rng, i, &current))),
        2 => Event::WorkerGone(current),
        3 => Event::Stopping { runs: vec![held_run], cause: StopCause::Broken },
        4 => Event::Refused { incarnation: holder, run: held_run },
        5 => {
            let mut config = config(10 + rng.u64(0..1_000), 0);
            config.queues.iter_mut().for_each(|q| q.attempts = rng.u32(1..4));
            Event::Configured(Arc::new(config))
        }
        6..=10 => {
            *numbers += 1;
            let outcomes = [RunOutcome::Done, RunOutcome::Failed, RunOutcome::Lapsed];
            let outcome = *rng.choice(&outcomes).unwrap();
            let end = RunEnd { number: *numbers, run: held_run, outcome, checkpoint: "".into() };
            Event::Ended { incarnation: holder, ends: vec![end] }
        }
        _ => Event::Started(vec![Assignment {
            run: run(id, 0, rng.u32(0..3), rng.u32(1..6)),
            incarnation: current,
            checkpoint: "".into(),
            permit: None,
        }]),
    }
}

/// A worker that has restarted, or that another agent reports.
fn random_worker(rng: &mut Rng, i: usize, current: &WorkerIncarnation) -> WorkerSpec {
    let mut cluster = Cluster::new(1, HISTORY_WORKERS, 0);
    cluster.up(i, 0, rng.bool());
    let spec = spec_of(&cluster, i).unwrap();
    let started_at = current.started_at + rng.u64(0..2);
    let incarnation = WorkerIncarnation { started_at, ..spec.incarnation };
    WorkerSpec { incarnation, agent: agent(rng.usize(0..HISTORY_WORKERS)), ..spec }
}

/// No poll may miss a wake: a record that changes the orders of a poll concerns its worker. The
/// polls list various runs, since the orders depend on them.
#[test]
fn record_scope_covers_every_change_of_orders() {
    let mut changes = 0;
    for seed in 0..HISTORIES {
        let mut rng = Rng::with_seed(seed);
        let mut cluster = Cluster::new(1, HISTORY_WORKERS, 0);
        let mut numbers = 0;
        for id in 1..=HISTORY_JOBS {
            let speculative = Step { speculation: rng.bool(), ..step(rng.u32(1..4), 1) };
            let gang = rng.bool();
            cluster.submit(id, 0, vec![Step { gang, ..speculative }]);
        }
        for _ in 0..HISTORY_EVENTS {
            let events: Vec<_> = (0..rng.usize(1..4))
                .map(|_| random_event(&mut rng, &cluster, &mut numbers))
                .collect();
            let mut polls: Vec<_> = (0..HISTORY_WORKERS).map(|i| poll(&cluster, i)).collect();
            let silent = |p: &Poll| poll_with(p.agent.clone(), p.worker.clone(), Vec::new());
            polls.extend(polls.clone().iter().map(silent));
            let before: Vec<_> = polls.iter().map(|p| orders(&cluster, p)).collect();
            let record = Record { at: cluster.view.now, events };
            let scope = RecordScope::of(&cluster.ledger, &record);
            cluster.ledger.apply(&record);
            cluster.pass(Duration::from_millis(10));
            let workers = scope.affected_workers(&cluster.ledger);
            for (poll, before) in polls.iter().zip(before) {
                if orders(&cluster, poll) != before {
                    changes += 1;
                    let name = worker_name(poll).expect("a worker");
                    assert!(workers.contains(&name), "seed {seed}, {name}: {record:?}");
                }
            }
        }
    }
    assert!(changes > 1_000, "only {changes} orders changed");
}

/// Records a poll as the leader does; returns whether it calls for a plan.
fn record(cluster: &Cluster, contacts: &mut Contacts, now: Time, poll: Poll) -> bool {
    let has_events =
        !poll_events(cluster.view.now, &cluster.ledger, &Grants::default(), &poll).is_empty();
    let poll = Rc::new(poll);
    contacts.record_poll(now, &poll).calls_for_plan || has_events
}

#[test]
fn record_poll_idle_poll_calls_for_no_plan_at_any_size() {
    const ROUNDS: usize = 20;
    for agents in AGENTS {
        let mut cluster = cluster_of(agents);
        cluster.submit(1, 0, vec![step(agents as u32, 1)]);
        for i in 0..agents {
            let start = vec![assignment(run(1, 0, i as u32, 1), i)];
            apply(&mut cluster, Event::Started(start));
        }
        let mut contacts = Contacts::default();
        let mut now = Time::from_secs(100);
        let first = (0..agents)
            .filter(|i| record(&cluster, &mut contacts, now, poll(&cluster, *i)))
            .count();
        assert_eq!(first, agents, "each agent begins to be in contact");
        let mut plans = 0;
        for round in 0..ROUNDS {
            now += POLL_INTERVAL;
            for i in 0..agents {
                let mut poll = poll(&cluster, i);
                // Progress alone calls for no plan.
                poll.running.iter_mut().for_each(|s| s.percent = round as u32);
                plans += usize::from(record(&cluster, &mut contacts, now, poll));
            }
        }
        assert_eq!(plans, 0, "{agents} agents");
        assert_eq!(contacts.in_contact(now).count(), agents);
    }
}

#[test]
fn record_poll_change_of_contact_calls_for_a_plan() {
    let cluster = cluster_of(30);
    let mut contacts = Contacts::default();
    let start = Time::from_secs(100);
    assert!(record(&cluster, &mut contacts, start, poll(&cluster, 0)));
    assert_eq!(contacts.next_timeout(start), Some(start + AGENT_TIMEOUT));
    let late = start + AGENT_TIMEOUT;
    assert_eq!(contacts.in_contact(late).count(), 0);
    assert_eq!(contacts.next_timeout(late), None);
    assert!(record(&cluster, &mut contacts, late, poll(&cluster, 0)), "in contact again");
    assert!(!record(&cluster, &mut contacts, late, poll(&cluster, 0)));
    let unanswered = poll_with(agent(0), None, Vec::new());
    assert!(record(&cluster, &mut contacts, late, unanswered), "its worker does not answer");
    assert!(record(&cluster, &mut contacts, late, poll(&cluster, 1)), "another agent");
    let later = late + AGENT_TIMEOUT;
    assert!(contacts.record_grant(later, &agent(1)), "a late answer counts as contact");
    assert!(!contacts.record_grant(later, &agent(1)));
    assert!(!contacts.record_grant(later, &agent(0)), "it has no worker");
}

#[test]
fn record_poll_newer_poll_supersedes_the_older() {
    let cluster = cluster_of(30);
    let mut contacts = Contacts::default();
    let now = Time::from_secs(100);
    let older = contacts.record_poll(now, &Rc::new(poll(&cluster, 0))).serial;
    assert!(!contacts.is_superseded(&agent(0), older));
    let newer = contacts.record_poll(now, &Rc::new(poll(&cluster, 0))).serial;
    assert!(contacts.is_superseded(&agent(0), older));
    assert!(!contacts.is_superseded(&agent(0), newer));
}

#[test]
fn waiting_polls_removed_poll_is_not_found() {
    let mut polls = WaitingPolls::default();
    let worker: Arc<str> = "w0".into();
    let first = polls.insert(agent(0), Some(Arc::clone(&worker)), 1);
    polls.insert(agent(0), None, 2);
    polls.insert(agent(1), Some(Arc::clone(&worker)), 3);
    assert_eq!(polls.of_agent(&agent(0)).copied().collect::<Vec<_>>(), [1, 2]);
    assert_eq!(polls.of_worker(&worker).copied().collect::<Vec<_>>(), [1, 3]);
    polls.remove(first);
    assert_eq!(polls.of_agent(&agent(0)).copied().collect::<Vec<_>>(), [2]);
    assert_eq!(polls.of_worker(&worker).copied().collect::<Vec<_>>(), [3]);
    assert_eq!(polls.all().copied().collect::<Vec<_>>(), [2, 3]);
    assert!(!polls.is_empty());
}

#[test]
fn calls_for_plan_only_if_the_record_changed_something() {
    let [applied, known, stale] = [EventOutcome::Applied, EventOutcome::Known, EventOutcome::Stale];
    assert!(calls_for_plan(&[stale, applied]));
    assert!(!calls_for_plan(&[known, stale]));
    assert!(!calls_for_plan(&[]));
}

// A summary is saved while a cluster is busy; a plan after it would find nothing new.
#[test]
fn record_calls_for_plan_saved_estimates_call_for_none() {
    let mut cluster = Cluster::new(1, 2, 0);
    let saved = Event::EstimatesSaved(Arc::from([1_u8, 2]));
    let record = Record { at: cluster.view.now, events: vec![saved.clone()] };
    let scope = RecordScope::of(&cluster.ledger, &record);
    let outcomes = cluster.ledger.apply(&record);
    assert_eq!(outcomes, [EventOutcome::Applied]);
    assert!(!record_calls_for_plan(&record, &outcomes));
    assert!(scope.affected_workers(&cluster.ledger).is_empty());
    let events = vec![saved, Event::Configured(Arc::new(config(2, 0)))];
    let record = Record { at: cluster.view.now, events };
    let outcomes = cluster.ledger.apply(&record);
    assert_eq!(outcomes, [EventOutcome::Known, EventOutcome::Applied]);
    assert!(record_calls_for_plan(&record, &outcomes), "the other event does");
}
