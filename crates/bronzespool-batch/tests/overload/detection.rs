//! When a service enters overload and leaves it.

use {
    crate::{
        common::{SECOND, gang, step},
        replay::Replay,
    },
    bronzespool_batch::{
        Event, Step,
        overload::{Detector, Overload},
    },
    bronzespool_core::HashSet,
    std::time::Duration,
};

fn is_overloaded(replay: &mut Replay) -> bool {
    replay.assess().is_overloaded("desk")
}

/// Guards against a busy service being taken for an overloaded one, by which callers would be
/// rejected although they could be served in time.
#[test]
fn assess_full_but_in_time_is_not_overloaded() {
    let mut replay = Replay::new(2, 2, 0);
    // 32 accelerators, of which 40 tasks need 1.25 rounds.
    replay.fill("rangers", 1, 40, SECOND * 2);
    for _ in 0..200 {
        replay.tick();
        assert!(!replay.assess().is_any());
    }
}

/// Guards against an overload that is seen only once jobs are late.
#[test]
fn assess_burst_of_gangs_is_overloaded_at_once() {
    let mut replay = Replay::new(2, 2, 0);
    (0..8).for_each(|_| _ = replay.submit("rangers", 0, vec![gang(4, 4)]));
    replay.tick();
    assert!(is_overloaded(&mut replay));
    let (priority, class) = replay.assess().overloaded()["desk"];
    assert_eq!(priority, 0);
    // Eight gangs of 16 of the 32 accelerators, 2.5 s each.
    assert!(class.wait > SECOND * 9 && class.wait <= SECOND * 10, "{class:?}");
}

/// Guards against demand that is counted in accelerators: a task of five of them leaves the other
/// three of its worker unused, so that only one runs on each worker.
#[test]
fn assess_counts_by_shape() {
    let mut replay = Replay::new(1, 4, 0);
    replay.submit("rangers", 1, vec![step(16, 5)]);
    replay.cluster.pass(SECOND / 10);
    let wait = replay.assess().classes("desk").next().unwrap().2.wait;
    assert_eq!(wait, SECOND * 10);
}

/// Guards against a label's few workers being hidden by the idle rest of the service.
#[test]
fn assess_counts_by_label() {
    let mut replay = Replay::new(4, 2, 0);
    let label = Some("r1".into());
    replay.submit("rangers", 1, vec![Step { label, ..step(80, 1) }]);
    replay.tick();
    assert!(is_overloaded(&mut replay));
}

/// Guards against a state that changes with each run near the limit, and against an overload that
/// stays when the work is done.
#[test]
fn assess_return_to_normal_leaves_once() {
    let mut replay = Replay::new(2, 2, 0);
    (0..60).for_each(|_| _ = replay.fill("rangers", 1, 8, SECOND * 2));
    let mut changes = 0;
    let mut before = false;
    for tick in 0..1_200 {
        if tick < 400 && tick % 20 == 0 {
            replay.fill("depots", 1, 8, SECOND * 2);
        }
        replay.tick();
        let now = is_overloaded(&mut replay);
        changes += usize::from(now != before);
        before = now;
    }
    assert_eq!((changes, before), (2, false));
}

/// Guards against a new leader that begins as if nothing waited, which would cause a second wave:
/// the state follows from the ledger, also where only the former state tells the difference.
#[test]
fn assess_new_leader_finds_same_state() {
    let mut replay = Replay::new(2, 2, 0);
    (0..20).for_each(|_| _ = replay.fill("rangers", 1, 8, SECOND * 2));
    let (mut between_limits, mut overloaded) = (0, 0);
    for _ in 0..1_000 {
        replay.tick();
        replay.cluster.pass(SECOND / 10);
        let old = replay.assess();
        // The new leader has heard from no worker yet.
        let mut view = replay.cluster.view.clone();
        view.schedulable.clear();
        view.overload = Overload::default();
        let mut detector = Detector::default();
        let new = detector.assess(&replay.cluster.ledger, &view, &HashSet::default());
        assert_eq!(new.overloaded(), old.overloaded());
        let worst = old.overloaded().get("desk").copied();
        overloaded += usize::from(worst.is_some());
        between_limits += usize::from(worst.is_some_and(|(_, c)| c.wait <= c.limit));
    }
    assert!(overloaded > 30 && between_limits > 5, "{overloaded} {between_limits}");
}

/// Guards against capacity that is counted although its data centre is gone, by which a burst would
/// be accepted that cannot be served.
#[test]
fn assess_lost_center_in_burst_is_overloaded() {
    let mut replay = Replay::new(3, 2, 0);
    // 48 accelerators can do it within the limit of 4.25 s, 16 cannot.
    (0..6).for_each(|_| _ = replay.fill("rangers", 1, 16, SECOND * 2));
    replay.tick();
    assert!(!is_overloaded(&mut replay));
    for i in 2..6 {
        replay.cluster.view.schedulable.remove(&*format!("w{i}"));
        replay.silent.insert(format!("w{i}").into());
    }
    replay.run_for(Duration::from_millis(100));
    assert!(is_overloaded(&mut replay));
    for i in 2..6 {
        replay.cluster.apply(Event::WorkerGone(crate::common::incarnation(i)));
    }
    replay.silent.clear();
    replay.run_for(Duration::from_millis(100));
    assert!(is_overloaded(&mut replay));
}

/// Guards against an operator who sees a job wait and no reason.
#[test]
fn explain_waiting_job_names_overload() {
    let mut replay = Replay::new(2, 2, 0);
    let jobs: Vec<_> = (0..8).map(|_| replay.submit("rangers", 0, vec![gang(4, 4)])).collect();
    replay.tick();
    replay.cluster.pass(SECOND / 10);
    let overload = replay.assess();
    let explain = |id| overload.explain(&replay.cluster.ledger, id).map(|w| w.to_string());
    assert_eq!(explain(jobs[0]), None);
    let text = "desk is overloaded: 6 jobs of priority 0 wait, 9900 ms of 1500";
    assert_eq!(explain(jobs[7]).as_deref(), Some(text));
}

/// Guards against a few long tasks, or one absurd declaration, that make all other work count as
/// late: they take their accelerators, and the others go on.
#[test]
fn assess_long_tasks_do_not_delay_others() {
    let mut replay = Replay::new(2, 2, 0);
    replay.submit("mills", 0, vec![Step { estimate: u64::MAX, ..step(2, 1) }]);
    replay.submit("mills", 0, vec![Step { estimate: 60_000, ..step(2, 1) }]);
    replay.tick();
    (0..3).for_each(|_| _ = replay.fill("rangers", 0, 14, SECOND * 2));
    replay.cluster.pass(SECOND / 10);
    let wait = replay.assess().classes("desk").next().unwrap().2.wait;
    // 42 tasks of 2 s on the 28 accelerators that are left.
    assert!(wait > SECOND * 2 && wait <= Duration::from_millis(3_001), "{wait:?}");
    let spec = replay.spec("rangers", 0, vec![gang(4, 2)]);
    assert_eq!(replay.decide(&spec), Ok(()));
    let absurd = vec![Step { estimate: u64::MAX, ..gang(4, 4) }];
    (0..300).for_each(|_| _ = replay.submit("mills", 1, absurd.clone()));
    replay.run_for(SECOND);
}
