//! What the leader learns in a term, and what passes from one term to the next.

mod common;

use {
    bronzespool_batch::{
        Event, JobId, Record, RunId, StepId, TaskId,
        ledger::{Assignment, RunEnd, RunOutcome},
        sampling::{CompletedRun, Learner, REFIT_INTERVAL, Refit},
    },
    bronzespool_estimate::Speed,
    common::{Cluster, SECOND, agent, incarnation, run, step},
    std::{sync::Arc, time::Duration},
};

/// A cluster of a few workers, and its leader in a term.
struct Led {
    cluster: Cluster,
    learner: Learner,
    polls: u32,
}

impl Led {
    fn new(workers: usize) -> Self {
        let cluster = Cluster::new(1, workers, 0);
        let mut led = Self { cluster, learner: Learner::default(), polls: 0 };
        led.learner.enter_term(1, &led.cluster.ledger);
        (0..workers).for_each(|worker| assert_eq!(led.poll(1, worker, run(1, 0, 0, 1), 0), 0));
        led
    }

    fn apply(&mut self, term: u64, event: Event) -> Vec<CompletedRun> {
        let record = Record { at: self.cluster.view.now, events: vec![event] };
        let outcomes = self.cluster.ledger.apply(&record);
        self.learner.record_applied(term, &self.cluster.ledger, &record, &outcomes)
    }

    /// Starts a job of one task on each worker.
    fn start(&mut self, term: u64, job: u64) {
        let workers = self.cluster.ledger.workers().count();
        self.cluster.submit(job, 0, vec![step(workers as u32, 1)]);
        let assignment = |worker: usize| Assignment {
            run: run(job, 0, worker as u32, 1),
            incarnation: incarnation(worker),
            checkpoint: "".into(),
            permit: None,
        };
        self.apply(term, Event::Started((0..workers).map(assignment).collect()));
    }

    /// Ends the run of a job on a worker.
    fn end(&mut self, term: u64, job: u64, worker: usize) -> Vec<CompletedRun> {
        let incarnation = incarnation(worker);
        let number = self.cluster.ledger.worker(&incarnation).unwrap().cursor + 1;
        let run = run(job, 0, worker as u32, 1);
        let end = RunEnd { number, run, outcome: RunOutcome::Done, checkpoint: "".into() };
        self.apply(term, Event::Ended { incarnation, ends: vec![end] })
    }

    /// Polls with the progress of a run on a worker; returns the number of samples.
    fn poll(&mut self, term: u64, worker: usize, run: RunId, percent: u32) -> usize {
        self.polls += 1;
        let poll = self.cluster.poll(worker, self.polls, &[(run, percent)]);
        let (now, ledger) = (self.cluster.view.now, &self.cluster.ledger);
        self.learner.record_poll(term, now, ledger, &poll, false)
    }

    fn refit(&mut self) -> Option<Refit> {
        self.learner.refit(self.cluster.view.now, &self.cluster.ledger)
    }

    fn summary(&mut self) -> Option<Event> {
        self.learner.summary(self.cluster.view.now, &self.cluster.ledger)
    }

    /// Runs a job on all workers, of which each takes its own time in seconds for a task.
    fn work(&mut self, term: u64, job: u64, seconds: &[u32]) {
        self.start(term, job);
        let mut order: Vec<usize> = (0..seconds.len()).collect();
        order.sort_by_key(|worker| seconds[*worker]);
        let begun = self.cluster.view.now;
        for worker in order {
            let until = begun + seconds[worker] * SECOND;
            while self.cluster.view.now < until {
                self.cluster.pass(SECOND);
                for worker in 0..seconds.len() {
                    self.poll(term, worker, run(job, 0, worker as u32, 1), 0);
                }
            }
            self.end(term, job, worker);
        }
    }
}

const FIRST: RunId = RunId {
    task: TaskId { step: StepId { job: JobId(1), occurrence: 0, step: 0 }, index: 0 },
    run: 1,
};

#[test]
fn refit_follows_samples_at_most_twice_a_second() {
    let mut led = Led::new(1);
    let mut refits = 0;
    for job in 1..=20 {
        led.start(1, job);
        led.cluster.pass(Duration::from_millis(100));
        assert_eq!(led.end(1, job, 0).len(), 1);
        refits += usize::from(led.refit().is_some());
    }
    assert_eq!(refits, 4, "in two seconds");
    led.cluster.pass(REFIT_INTERVAL);
    assert!(led.refit().is_some(), "the samples since the last fit");
    led.cluster.pass(REFIT_INTERVAL);
    assert_eq!(led.refit(), None, "no samples since");
}

// Without evidence there is nothing to save, so that an idle deployment writes nothing.
#[test]
fn summary_without_evidence_is_not_saved() {
    let mut led = Led::new(1);
    led.start(1, 1);
    assert_eq!((led.refit(), led.summary()), (None, None));
}

// What a former leader saw of a run is not known to the next one, and what still arrives for the
// former term must not count in the next one.
#[test]
fn enter_term_begins_anew() {
    let mut led = Led::new(1);
    led.start(1, 1);
    led.poll(1, 0, FIRST, 0);
    led.cluster.pass(SECOND);
    led.learner.enter_term(2, &led.cluster.ledger);
    assert_eq!(led.poll(1, 0, FIRST, 20), 0, "of the former term");
    assert_eq!(led.poll(2, 0, FIRST, 40), 0, "the first sight in this term");
    led.cluster.pass(SECOND);
    assert_eq!(led.poll(2, 0, FIRST, 80), 1);
    led.learner.enter_term(2, &led.cluster.ledger);
    led.cluster.pass(SECOND / 2);
    let done = led.end(2, 1, 0);
    assert_eq!(done[0].expected, None);
    assert_eq!(done[0].sample.observed, Duration::from_millis(2_500), "60 % in 1.5 s");
}

// A summary of another version must not stop a leader.
#[test]
fn enter_term_unreadable_summary_leaves_no_evidence() {
    let mut led = Led::new(1);
    led.apply(1, Event::EstimatesSaved(Arc::from([0xff_u8; 64])));
    led.learner.enter_term(2, &led.cluster.ledger);
    assert_eq!(led.learner.estimates(2).speed(&agent(0)), Speed::UNKNOWN);
}

// The next leader would place work as if all workers were equally fast until enough runs have ended.
#[test]
fn summary_of_a_term_is_the_start_of_the_next() {
    let mut led = Led::new(4);
    let mut changes = Vec::new();
    for job in 1..=8 {
        led.work(1, job, &[4, 4, 4, 8]);
        changes.extend(led.refit().unwrap().changes);
    }
    let slow: Vec<_> = changes.iter().map(|c| &c.agent).collect();
    assert_eq!(slow, [&agent(3)], "recognised once");
    let learned = led.learner.estimates(1).speed(&agent(3)).factor;
    assert!(learned < 0.67, "{learned}");
    led.summary().expect("a summary, which is not committed");
    led.work(1, 9, &[4, 4, 4, 8]);
    assert!(led.refit().is_some());
    assert_eq!(led.summary(), None, "8 s after the last attempt");
    led.work(1, 10, &[4, 4, 4, 8]);
    assert!(led.refit().is_some());
    let saved = led.summary().expect("the summary once more");
    led.apply(1, saved);
    (11..=12).for_each(|job| led.work(1, job, &[4, 4, 4, 8]));
    assert!(led.refit().is_some());
    assert_eq!(led.summary(), None, "hardly changed, 16 s after the last attempt");
    led.learner.enter_term(2, &led.cluster.ledger);
    let restored = led.learner.estimates(2).speed(&agent(3)).factor;
    assert!(restored < 0.75, "{restored} after {learned}");
    led.work(2, 13, &[4, 4, 4, 8]);
    assert_eq!(led.refit().unwrap().changes, [], "reported by the former leader");
    assert_eq!(led.learner.estimates(3).speed(&agent(3)), Speed::UNKNOWN, "of no term");
}
