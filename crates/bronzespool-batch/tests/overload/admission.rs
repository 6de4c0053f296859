//! Which submissions are rejected, and when their callers come back.

use {
    crate::{
        common::{SECOND, gang, step},
        replay::{Replay, Served, TICK},
    },
    bronzespool_batch::{
        JobId, JobSpec, RunId, Step,
        overload::admission::{Admission, Cause, Rejection},
        plan::Progress,
    },
    bronzespool_core::Time,
    std::{collections::BTreeSet, time::Duration},
};

/// A gang of half of four workers: 2.5 s, in time within 4 s, of no value after 12 s.
fn half() -> Vec<Step> {
    vec![gang(4, 4)]
}

/// Offers gangs at once and returns the rejections.
fn burst(replay: &mut Replay, team: &str, count: usize) -> Vec<(JobSpec, Rejection)> {
    let offer = |_| {
        let spec = replay.spec(team, 0, half());
        replay.offer(spec.clone()).err().map(|r| (spec, r))
    };
    (0..count).filter_map(offer).collect()
}

/// Guards against rejecting what can still be served in time, or within its cutoff.
#[test]
fn decide_queue_within_cutoff_accepts() {
    let mut replay = Replay::new(2, 2, 0);
    assert!(burst(&mut replay, "rangers", 7).is_empty());
}

/// Guards against accepting work that cannot be done: also when all of it comes between two
/// assessments.
#[test]
fn decide_burst_beyond_cutoff_is_rejected_at_once() {
    let mut replay = Replay::new(2, 2, 0);
    let rejected = burst(&mut replay, "rangers", 40);
    // Two gangs at a time, 2.5 s each: the ninth begins after 10 s and ends after its cutoff.
    assert_eq!(rejected.len(), 32);
    assert!(rejected.iter().all(|(_, r)| r.cause == Cause::Queue && r.wait >= SECOND * 9));
    replay.run_for(SECOND * 15);
    let accepted: Vec<JobId> = replay.cluster.ledger.jobs().map(|j| j.spec.id).collect();
    assert_eq!(replay.served(&accepted).lost, 0);
}

/// Guards against a caller that waits although all accelerators are taken beyond its cutoff, and
/// against a rejection that follows from a declared duration alone: it may be ten times too high.
#[test]
fn decide_no_capacity_before_cutoff_needs_evidence() {
    let mut replay = blocked(Replay::new(2, 2, 0));
    let progress = std::mem::take(&mut replay.cluster.view.progress);
    let spec = replay.spec("rangers", 0, half());
    assert_eq!(replay.decide(&spec), Ok(()));
    replay.cluster.view.progress = progress;
    let underestimated = Step { estimate: 25_000, ..gang(4, 4) };
    let spec = replay.spec("rangers", 0, vec![underestimated]);
    assert_eq!(replay.decide(&spec), Ok(()));
    let spec = replay.spec("rangers", 0, half());
    let rejection = replay.decide(&spec).unwrap_err();
    assert_eq!(rejection.cause, Cause::Cutoff);
    // Not quite 4 % of the work took 30 s.
    assert!(rejection.wait >= SECOND * 700 && rejection.retry >= SECOND * 30, "{rejection:?}");
}

/// Guards against rejecting for the work of lower priorities, which is stopped.
#[test]
fn decide_lower_priorities_do_not_count() {
    let mut replay = Replay::new(2, 2, 0);
    (0..40).for_each(|_| _ = replay.fill("mills", 2, 32, SECOND * 60));
    replay.run_for(SECOND);
    assert!(burst(&mut replay, "rangers", 4).is_empty());
}

/// Fills all accelerators with work of the first priority that has ten minutes left at least.
fn blocked(mut replay: Replay) -> Replay {
    replay.fill("mills", 0, 32, SECOND * 900);
    replay.run_for(SECOND * 30);
    let runs: Vec<RunId> =
        replay.cluster.ledger.workers().flat_map(|w| w.runs.keys().copied()).collect();
    for run in runs {
        let progress = Progress { checkpoint: "".into(), percent: 3 };
        replay.cluster.view.progress.insert(run, progress);
    }
    replay
}

/// Guards against rejecting what a team is guaranteed, and what is not done once and soon.
#[test]
fn decide_guaranteed_due_and_long_lived_jobs_are_accepted() {
    let mut replay = blocked(Replay::new(2, 2, 16));
    let inside = replay.spec("rangers", 0, half());
    assert!(replay.offer(inside).is_ok());
    let beyond = replay.spec("rangers", 0, half());
    assert!(replay.offer(beyond).is_err());
    let due = JobSpec { times: 2, interval: 1_000, ..replay.spec("depots", 0, half()) };
    assert!(replay.offer(due).is_ok());
    let long_lived = Step { long_lived: true, ..step(1, 1) };
    let service = replay.spec("depots", 0, vec![long_lived]);
    assert!(replay.offer(service).is_ok());
}

/// Guards against a small team that is rejected for the queue of a large one.
#[test]
fn decide_small_team_is_not_rejected_for_queue_of_large_one() {
    let mut replay = Replay::new(2, 2, 0);
    assert!(!burst(&mut replay, "mills", 40).is_empty());
    assert!(burst(&mut replay, "small-1", 1).is_empty());
}

/// Guards against an acceptance after the caller was told that the job never runs: a copy of the
/// submission may still be on its way. And against a rejection of a job that is being committed.
#[test]
fn decide_copies_get_the_same_answer() {
    let mut replay = Replay::new(2, 2, 0);
    let (spec, _) = burst(&mut replay, "rangers", 40).pop().unwrap();
    for job in replay.cluster.ledger.jobs().map(|j| j.spec.id).collect::<Vec<_>>() {
        replay.cluster.apply(bronzespool_batch::Event::Cancelled(job));
    }
    replay.run_for(SECOND);
    assert_eq!(replay.decide(&spec).unwrap_err().cause, Cause::Repeated);
    replay.run_for(SECOND);
    // The hold counts from the latest rejection, whose caller was told the same.
    assert_eq!(replay.decide(&spec).unwrap_err().cause, Cause::Repeated);
    replay.run_for(SECOND * 2);
    assert_eq!(replay.decide(&spec), Ok(()));
    // It is accepted and not in the ledger yet, while the queue grows.
    burst(&mut replay, "rangers", 40);
    replay.run_for(TICK * 4);
    assert_eq!(replay.decide(&spec), Ok(()));
}

/// Guards against a returning caller that goes behind those that came later.
#[test]
fn decide_returning_caller_keeps_its_place() {
    let mut replay = Replay::new(2, 2, 0);
    let (spec, _) = burst(&mut replay, "rangers", 9).pop().unwrap();
    replay.run_for(SECOND * 3);
    let newcomers: Vec<JobId> = (0..2).map(|_| replay.submit("rangers", 0, half())).collect();
    replay.run_for(TICK);
    let returned = replay.offer(spec).unwrap();
    let mut order: Vec<JobId> = Vec::new();
    while order.len() < 3 {
        replay.tick();
        for id in newcomers.iter().chain([&returned]) {
            let has_begun = replay.cluster.ledger.job(*id).unwrap().has_active_run();
            if has_begun && !order.contains(id) {
                order.push(*id);
            }
        }
    }
    assert!(order[..2].contains(&returned), "{order:?}");
}

/// Guards against callers that come back at once or all at the same time.
#[test]
fn decide_retry_is_spread_over_callers() {
    let mut replay = Replay::new(2, 2, 0);
    let rejected = burst(&mut replay, "rangers", 48);
    let retries: Vec<u64> = rejected.iter().map(|(_, r)| r.retry.as_secs()).collect();
    let different: BTreeSet<u64> = retries.iter().copied().collect();
    assert!(retries.iter().all(|r| (1..=60).contains(r)), "{retries:?}");
    assert!(different.len() >= 20, "{different:?}");
    // The workers do eight such gangs in ten seconds.
    let within = |from: u64| retries.iter().filter(|r| (from..from + 10).contains(*r)).count();
    assert!((0..60).all(|from| within(from) <= 12), "{retries:?}");
    assert_eq!(within(0), 0, "{retries:?}");
}

/// Guards against memory that grows with the number of callers.
#[test]
fn decide_memory_is_bounded() {
    let mut replay = Replay::new(2, 2, 0);
    let (first, _) = burst(&mut replay, "rangers", 9).pop().unwrap();
    let first_came = replay.cluster.view.now;
    let mut view = replay.cluster.view.clone();
    view.overload = replay.assess();
    let mut decide = |replay: &mut Replay, spec: &JobSpec| {
        view.now += Duration::from_micros(300);
        replay.admission.decide(&replay.cluster.ledger, &view, &replay.silent, spec).unwrap_err()
    };
    let known = |r: &Rejection| r.first == first_came;
    let spec = JobSpec { id: JobId(1 << 40), ..first.clone() };
    decide(&mut replay, &spec);
    assert!(known(&decide(&mut replay, &first)));
    for i in 0..17_000 {
        let spec = JobSpec { id: JobId(1 << 41 | i), ..first.clone() };
        decide(&mut replay, &spec);
    }
    assert!(!known(&decide(&mut replay, &first)));
}

/// Guards against a new leader that accepts what the former one rejected.
#[test]
fn decide_new_leader_rejects_the_same() {
    let mut replay = Replay::new(2, 2, 0);
    burst(&mut replay, "rangers", 40);
    replay.run_for(TICK * 2);
    let spec = replay.spec("rangers", 0, half());
    let old = replay.decide(&spec).unwrap_err();
    replay.admission = Admission::default();
    replay.detector = bronzespool_batch::overload::Detector::default();
    replay.cluster.view.schedulable.clear();
    let new = replay.decide(&spec).unwrap_err();
    assert_eq!((new.cause, new.wait), (old.cause, old.wait));
}

/// A burst of twice as much as can be done before its cutoff, whose rejected callers come back when
/// they were told to.
fn burst_with_returns(with_part: bool) -> (Served, usize, Duration) {
    let mut replay = Replay::new(2, 2, 0);
    replay.enabled = with_part;
    let (mut jobs, mut returns, mut second_wave) = (Vec::new(), 0, Duration::ZERO);
    let mut callers: Vec<(Time, JobSpec)> = Vec::new();
    let begun = replay.cluster.view.now;
    callers.extend((0..20).map(|_| (begun, replay.spec("rangers", 0, half()))));
    while replay.cluster.view.now < begun + SECOND * 90 {
        let now = replay.cluster.view.now;
        let (due, rest): (Vec<_>, Vec<_>) = callers.into_iter().partition(|(at, _)| *at <= now);
        callers = rest;
        for (_, spec) in due {
            let offered = if with_part {
                replay.offer(spec.clone())
            } else {
                replay.cluster.apply(bronzespool_batch::Event::Submitted(spec.clone().into()));
                Ok(spec.id)
            };
            match offered {
                Ok(id) => jobs.push(id),
                Err(rejection) => {
                    callers.push((now + rejection.retry, spec));
                    returns += 1;
                }
            }
        }
        replay.tick();
        if now > begun + SECOND * 10 {
            let waits = replay.assess().overloaded().into_values().map(|(_, c)| c.wait);
            second_wave = second_wave.max(waits.max().unwrap_or_default());
        }
    }
    assert!(callers.is_empty() && !replay.assess().is_any());
    (replay.served(&jobs), returns, second_wave)
}

/// Guards against a second wave after a burst: those who come back are accepted then, and never meet
/// more than one gang in front of them on each half of the workers.
#[test]
fn decide_burst_returns_to_normal_without_second_wave() {
    let (with, returns, second_wave) = burst_with_returns(true);
    let (without, ..) = burst_with_returns(false);
    println!("with {with:?}, returns {returns}, wave {second_wave:?}, without {without:?}");
    assert_eq!((with.all(), with.lost), (20, 0));
    assert!(with.in_time > without.in_time * 2 && without.lost > 0, "{with:?} {without:?}");
    assert_eq!(returns, 12);
    assert!(second_wave <= SECOND * 5, "{second_wave:?}");
}

/// Guards against a job that runs although its caller was told that it never does: a delayed copy of
/// the submission arrives after the hold of the first rejection, and within that of the latest one.
#[test]
fn decide_repeated_rejection_extends_the_hold() {
    let mut replay = blocked(Replay::new(2, 2, 0));
    let spec = replay.spec("rangers", 0, half());
    assert_eq!(replay.decide(&spec).unwrap_err().cause, Cause::Cutoff);
    replay.cluster.pass(Duration::from_millis(1_900));
    assert_eq!(replay.decide(&spec).unwrap_err().cause, Cause::Repeated);
    replay.cluster.pass(Duration::from_millis(200));
    assert_eq!(replay.decide(&spec).unwrap_err().cause, Cause::Repeated);
}

/// Guards against rejecting a job whose duration is unknown because it is not declared.
#[test]
fn decide_job_without_duration_is_accepted() {
    let mut replay = blocked(Replay::new(2, 2, 0));
    let spec = replay.spec("rangers", 0, vec![Step { estimate: 0, ..gang(4, 4) }]);
    assert_eq!(replay.decide(&spec), Ok(()));
}
