//! What the leader learns in a term, and what passes from one term to the next.

mod common;

use {
    bronzespool_batch::{
        Event, Record,
        ledger::{Assignment, RunEnd, RunOutcome},
        message::{Poll, PollId, RunStatus},
        sampling::{CompletedRun, Learner, REFIT_INTERVAL},
    },
    bronzespool_core::Instance,
    bronzespool_estimate::Model,
    common::{Cluster, SECOND, incarnation, run, step},
    std::{sync::Arc, time::Duration},
};

/// A cluster of one worker, and its leader in a term.
struct Led {
    cluster: Cluster,
    learner: Learner,
    polls: u32,
}

impl Led {
    fn new() -> Self {
        let mut led =
            Self { cluster: Cluster::new(1, 1, 0), learner: Learner::default(), polls: 0 };
        led.learner.enter_term(1, &led.cluster.ledger);
        led.poll(1, 0, 0);
        led
    }

    fn apply(&mut self, term: u64, event: Event) -> Vec<CompletedRun> {
        let record = Record { at: self.cluster.view.now, events: vec![event] };
        let outcomes = self.cluster.ledger.apply(&record);
        self.learner.record_applied(term, &self.cluster.ledger, &record, &outcomes)
    }

    fn start(&mut self, term: u64, job: u64) {
        self.cluster.submit(job, 0, vec![step(1, 1)]);
        let (run, incarnation) = (run(job, 0, 0, 1), incarnation(0));
        let start = Assignment { run, incarnation, checkpoint: "".into(), permit: None };
        self.apply(term, Event::Started(vec![start]));
    }

    fn end(&mut self, term: u64, job: u64) -> Vec<CompletedRun> {
        let number = self.cluster.ledger.worker(&incarnation(0)).unwrap().cursor + 1;
        let run = run(job, 0, 0, 1);
        let end = RunEnd { number, run, outcome: RunOutcome::Done, checkpoint: "".into() };
        self.apply(term, Event::Ended { incarnation: incarnation(0), ends: vec![end] })
    }

    /// Polls with the progress of a job's run; returns the number of samples.
    fn poll(&mut self, term: u64, job: u64, percent: u32) -> usize {
        self.polls += 1;
        let status = RunStatus { run: run(job, 0, 0, 1), checkpoint: "".into(), percent, usage: 0 };
        let poll = Poll {
            agent: Instance::try_from("side-0").unwrap(),
            id: PollId::new(1, self.polls),
            relay: None,
            worker: self.cluster.ledger.worker(&incarnation(0)).map(|w| w.spec.clone()),
            gone: Vec::new(),
            running: vec![status],
            ends: Vec::new(),
            refused: Vec::new(),
            in_flight: Vec::new(),
        };
        let (now, ledger) = (self.cluster.view.now, &self.cluster.ledger);
        self.learner.record_poll(term, now, ledger, &poll, false)
    }
}

#[test]
fn refit_follows_samples_at_most_twice_a_second() {
    let mut led = Led::new();
    let mut refits = 0;
    for job in 1..=20 {
        led.start(1, job);
        led.cluster.pass(Duration::from_millis(100));
        assert_eq!(led.end(1, job).len(), 1);
        let (now, ledger) = (led.cluster.view.now, &led.cluster.ledger);
        refits += usize::from(led.learner.refit(now, ledger).is_some());
    }
    assert_eq!(refits, 4, "in two seconds");
    led.cluster.pass(REFIT_INTERVAL);
    let (now, ledger) = (led.cluster.view.now, &led.cluster.ledger);
    assert!(led.learner.refit(now, ledger).is_some(), "the samples since the last fit");
    let later = now + REFIT_INTERVAL;
    assert_eq!(led.learner.refit(later, ledger), None, "no samples since");
}

// Without evidence there is nothing to save, so that an idle deployment writes nothing.
#[test]
fn summary_without_evidence_is_not_saved() {
    let mut led = Led::new();
    led.start(1, 1);
    assert_eq!(led.learner.summary(led.cluster.view.now, &led.cluster.ledger), None);
}

// What a former leader saw of a run is not known to the next one, and what still arrives for the
// former term must not count in the next one.
#[test]
fn enter_term_begins_anew() {
    let mut led = Led::new();
    led.start(1, 1);
    led.poll(1, 1, 0);
    led.cluster.pass(SECOND);
    led.learner.enter_term(2, &led.cluster.ledger);
    assert_eq!(led.poll(1, 1, 40), 0, "of the former term");
    assert_eq!(led.poll(2, 1, 40), 0, "the first sight in this term");
    led.cluster.pass(SECOND);
    assert_eq!(led.poll(2, 1, 80), 1);
    led.learner.enter_term(2, &led.cluster.ledger);
    led.cluster.pass(SECOND / 2);
    let done = led.end(2, 1);
    assert_eq!(done[0].expected, None);
    assert_eq!(done[0].sample.observed, Duration::from_millis(2_500), "60 % in 1.5 s");
}

// A summary of another version must not stop a leader.
#[test]
fn enter_term_unreadable_summary_leaves_no_evidence() {
    let mut led = Led::new();
    led.apply(1, Event::EstimatesSaved(Arc::from([0xff_u8; 64])));
    led.learner.enter_term(2, &led.cluster.ledger);
    let agent = Instance::try_from("side-0").unwrap();
    let without = Model::new().estimates().speed(&agent);
    assert_eq!(led.learner.estimates(2).speed(&agent), without);
}
