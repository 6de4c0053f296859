//! Samples of run times from polls and ended runs.

mod common;

use {
    bronzespool_batch::{
        Event, JobId, RunId, Step, StepId, TaskId,
        ledger::{Assignment, RunEnd, RunOutcome, StopCause},
        sampling::{CompletedRun, Sampler, SpeedWatch, explain_steps, step_key},
    },
    bronzespool_estimate::{Estimates, Sample, Speed},
    common::{Cluster, SECOND, agent, gang, incarnation, run, step},
    std::time::Duration,
};

const TICK: Duration = Duration::from_millis(400);

/// A cluster whose records and polls are observed.
struct Observed {
    cluster: Cluster,
    sampler: Sampler,
    polls: u32,
    cold: bool,
}

impl Observed {
    /// Two racks of two workers, all in contact.
    fn new() -> Self {
        let cluster = Cluster::new(2, 2, 0);
        let mut observed = Self { cluster, sampler: Sampler::default(), polls: 0, cold: false };
        (0..4).for_each(|worker| assert_eq!(observed.poll(worker, &[]), []));
        observed
    }

    /// Submits job 1 of one step and starts its tasks on these workers.
    fn start(step: Step, workers: &[usize]) -> Self {
        let mut observed = Self::new();
        observed.submit_and_start(1, step, workers, "");
        observed
    }

    fn submit_and_start(&mut self, job: u64, step: Step, workers: &[usize], checkpoint: &str) {
        self.cluster.submit(job, 0, vec![step]);
        let assignment = |(i, worker): (usize, &usize)| Assignment {
            run: run(job, 0, i as u32, 1),
            incarnation: incarnation(*worker),
            checkpoint: checkpoint.into(),
            permit: None,
        };
        let group = workers.iter().enumerate().map(assignment).collect();
        assert_eq!(self.apply(Event::Started(group)), []);
    }

    fn apply(&mut self, event: Event) -> Vec<CompletedRun> {
        self.cluster.apply(event.clone());
        let (at, ledger) = (self.cluster.view.now, &self.cluster.ledger);
        self.sampler.record_event(at, ledger, &Estimates::default(), &event)
    }

    fn poll(&mut self, worker: usize, running: &[(RunId, u32)]) -> Vec<Sample> {
        self.polls += 1;
        self.poll_as(worker, running, self.polls)
    }

    fn poll_as(&mut self, worker: usize, running: &[(RunId, u32)], position: u32) -> Vec<Sample> {
        let poll = self.cluster.poll(worker, position, running);
        self.sampler.record_poll(self.cluster.view.now, &self.cluster.ledger, &poll, self.cold)
    }

    /// Polls a worker at each tick while a run rises from one progress to another, both included.
    fn work(&mut self, worker: usize, run: RunId, percents: &[u32]) -> Vec<Sample> {
        let mut samples = Vec::new();
        for percent in percents {
            samples.extend(self.poll(worker, &[(run, *percent)]));
            self.cluster.pass(TICK);
        }
        samples
    }

    fn end(&mut self, worker: usize, run: RunId, outcome: RunOutcome) -> Vec<CompletedRun> {
        let number = self.cluster.ledger.worker(&incarnation(worker)).unwrap().cursor + 1;
        let ends = vec![RunEnd { number, run, outcome, checkpoint: "".into() }];
        self.apply(Event::Ended { incarnation: incarnation(worker), ends })
    }

    /// Lets a run progress and complete, and returns how many samples this makes.
    fn samples_of(&mut self, worker: usize, run: RunId) -> usize {
        let progress = self.work(worker, run, &[0, 20, 40, 60, 80, 99]);
        progress.len() + self.end(worker, run, RunOutcome::Done).len()
    }
}

const FIRST: RunId = RunId {
    task: TaskId { step: StepId { job: JobId(1), occurrence: 0, step: 0 }, index: 0 },
    run: 1,
};

#[test]
fn sampler_run_is_sampled_by_progress_and_at_its_end() {
    let mut observed = Observed::start(step(1, 1), &[1]);
    let progress = observed.work(1, FIRST, &[0, 20, 40, 60, 80]);
    let sample = progress.first().unwrap();
    assert_eq!(sample.observed, 2 * SECOND, "60 % in 1.2 s; earlier, a second had not passed");
    assert_eq!((progress.len(), sample.complete), (2, false));
    assert_eq!(sample.instance, agent(1));
    assert_eq!((&*sample.kind.queue, sample.declared), ("quota", Duration::from_millis(2_500)));
    let done = observed.end(1, FIRST, RunOutcome::Done);
    let [CompletedRun { sample, expected }] = &done[..] else { panic!("{done:?}") };
    assert_eq!((sample.observed, sample.complete), (2 * SECOND, true));
    assert_eq!(*expected, Some(Duration::from_millis(2_500)));
    assert_eq!((sample.run, sample.step), (progress[0].run, progress[0].step));
    assert!(observed.sampler.is_empty(), "forgotten with the run");
    assert_eq!(observed.end(1, FIRST, RunOutcome::Done), [], "the end is told again");
}

// A run that resumes would look fast if its progress were divided by the time since its assignment.
#[test]
fn sampler_resumed_run_counts_its_rise_only() {
    let mut observed = Observed::new();
    observed.submit_and_start(1, step(1, 1), &[1], "saved");
    let progress = observed.work(1, FIRST, &[60, 64, 68, 72]);
    assert_eq!(progress.iter().map(|s| s.observed).collect::<Vec<_>>(), [10 * SECOND]);
    observed.cluster.pass(7 * TICK);
    observed.work(1, FIRST, &[]);
    let done = observed.end(1, FIRST, RunOutcome::Done);
    assert_eq!(done[0].sample.observed, Duration::from_millis(4_400) * 100 / 40);
}

#[test]
fn sampler_little_progress_is_no_sample() {
    let mut observed = Observed::start(step(1, 1), &[1]);
    assert_eq!(observed.work(1, FIRST, &[0, 2, 4, 6, 8, 9]), [], "less than a tenth of the work");
    let mut observed = Observed::start(step(1, 1), &[1]);
    assert_eq!(observed.work(1, FIRST, &[0, 40, 80]), [], "less than a second");
}

// Members that wait for the rest of their gang would look slow.
#[test]
fn sampler_gang_counts_from_first_progress() {
    let mut observed = Observed::start(gang(2, 1), &[0, 1]);
    let progress = observed.work(0, FIRST, &[0, 0, 0, 0, 0, 20, 40, 60, 80]);
    assert_eq!(progress[0].observed, 2 * SECOND);
    let done = observed.end(0, FIRST, RunOutcome::Done);
    assert_eq!(done[0].sample.observed, 2 * SECOND);
}

// The members of a gang end together: a fast one has finished before, and must not look slow.
#[test]
fn sampler_gang_member_that_waits_for_others_at_the_end_is_not_slow() {
    let mut observed = Observed::start(gang(2, 1), &[0, 1]);
    observed.work(0, FIRST, &[0, 20, 40, 60, 80, 100, 100, 100, 100]);
    let done = observed.end(0, FIRST, RunOutcome::Done);
    assert_eq!(done[0].sample.observed, 2 * SECOND);
}

#[test]
fn sampler_runs_that_show_no_speed_are_excluded() {
    let far = Some("r1".into());
    let cases = [
        ("long-lived", Step { long_lived: true, ..step(1, 1) }),
        ("best-effort", Step { best_effort: true, ..step(1, 1) }),
        ("away from its data", Step { rack: far, ..step(1, 1) }),
    ];
    for (case, step) in cases {
        assert_eq!(Observed::start(step, &[0]).samples_of(0, FIRST), 0, "{case}");
    }
    let near = Step { rack: Some("r0".into()), ..step(1, 1) };
    assert_ne!(Observed::start(near, &[0]).samples_of(0, FIRST), 0);
}

#[test]
fn sampler_single_rack_gang_in_two_racks_is_excluded() {
    let gang = Step { single_rack: true, ..gang(2, 1) };
    assert_eq!(Observed::start(gang.clone(), &[0, 2]).samples_of(0, FIRST), 0);
    assert_ne!(Observed::start(gang, &[0, 1]).samples_of(0, FIRST), 0);
}

#[test]
fn sampler_run_beside_best_effort_run_is_excluded() {
    let mut observed = Observed::start(step(1, 1), &[0]);
    let filler = Step { best_effort: true, ..step(1, 1) };
    observed.submit_and_start(2, filler, &[0], "");
    assert_eq!(observed.samples_of(0, FIRST), 0);
}

#[test]
fn sampler_run_on_cold_worker_is_excluded() {
    let mut observed = Observed::start(step(1, 1), &[0]);
    observed.cold = true;
    observed.poll(0, &[(FIRST, 0)]);
    observed.cold = false;
    assert_eq!(observed.samples_of(0, FIRST), 0);
}

#[test]
fn sampler_stopped_run_is_excluded() {
    let mut observed = Observed::start(step(1, 1), &[0]);
    observed.apply(Event::Stopping { runs: vec![FIRST], cause: StopCause::Maintenance });
    assert_eq!(observed.samples_of(0, FIRST), 0);
    let mut observed = Observed::start(step(1, 1), &[0]);
    observed.poll(0, &[(FIRST, 0)]);
    observed.apply(Event::Cancelled(FIRST.task.step.job));
    assert_eq!(observed.samples_of(0, FIRST), 0);
}

#[test]
fn sampler_run_that_did_not_complete_is_excluded() {
    use RunOutcome::{Alone, Broken, Failed, Lapsed, Stopped};
    for outcome in [Alone, Broken, Failed, Lapsed, Stopped] {
        let mut observed = Observed::start(step(1, 1), &[0]);
        observed.cluster.pass(2 * TICK);
        assert_eq!(observed.end(0, FIRST, outcome), [], "{outcome:?}");
    }
}

#[test]
fn sampler_run_on_silent_worker_is_excluded() {
    let mut observed = Observed::start(step(1, 1), &[0]);
    observed.poll(0, &[(FIRST, 0)]);
    observed.cluster.pass(2 * SECOND);
    assert_eq!(observed.samples_of(0, FIRST), 0);
    observed.submit_and_start(2, step(1, 1), &[0], "");
    assert_ne!(observed.samples_of(0, run(2, 0, 0, 1)), 0, "a run after the silence counts");
}

// A new leader knows nothing of the time before its term.
#[test]
fn sampler_of_new_leader_counts_from_its_first_poll() {
    let mut observed = Observed::start(step(1, 1), &[0]);
    observed.cluster.pass(3 * SECOND);
    observed.sampler = Sampler::default();
    observed.work(0, FIRST, &[20, 40, 60, 80]);
    let done = observed.end(0, FIRST, RunOutcome::Done);
    assert_eq!((done[0].sample.observed, done[0].expected), (2 * SECOND, None));
}

// A poll that was held up on its way reports less progress than there is.
#[test]
fn sampler_late_poll_is_ignored() {
    let mut observed = Observed::start(step(1, 1), &[0]);
    observed.work(0, FIRST, &[0, 20, 40]);
    let held_up = observed.polls;
    observed.polls += 1;
    let sample = observed.poll(0, &[(FIRST, 60)]);
    assert_eq!(sample[0].observed, 2 * SECOND);
    observed.cluster.pass(TICK);
    assert_eq!(observed.poll_as(0, &[(FIRST, 70)], held_up), []);
}

#[test]
fn forget_ended_forgets_runs_of_lost_workers() {
    let mut observed = Observed::start(step(2, 1), &[0, 1]);
    observed.apply(Event::WorkerGone(incarnation(0)));
    (0..2).for_each(|_| observed.sampler.forget_ended(&observed.cluster.ledger));
    assert_eq!(observed.sampler.len(), 1);
}

// A summary is read by replicas of other versions, so the key must never change.
#[test]
fn step_key_is_stable() {
    assert_eq!(step_key(FIRST.task.step).0, 15_762_493_511_577_377_688);
}

#[test]
fn speed_watch_reports_a_change_once() {
    let mut watch = SpeedWatch::default();
    let mut report = |factor: f64| {
        let speed = Speed { factor, samples: 4 };
        watch.changes([(agent(0), speed)].into_iter()).first().map(|c| c.before)
    };
    assert_eq!(report(0.8), None);
    assert_eq!(report(0.6), Some(1.0), "slow");
    assert_eq!(report(0.65), None, "told already");
    assert_eq!(report(1.0), Some(0.6), "recovered");
}

// An operator asks why a job is late: steps that are done say nothing about it.
#[test]
fn explain_steps_names_those_that_are_not_done() {
    let mut observed = Observed::new();
    let later = Step { depends_on: vec![0], estimate: 400, ..step(1, 1) };
    observed.cluster.submit(1, 0, vec![step(1, 1), later]);
    let explain = |o: &Observed| {
        let job = o.cluster.ledger.job(JobId(1)).unwrap();
        explain_steps(&Estimates::default(), job)
    };
    let second = "step 1: expected 0.4 s, 9 of 10 within 0.4 s, from 0 runs, declared 0.4 s";
    let both = "step 0: expected 2.5 s, 9 of 10 within 2.5 s, from 0 runs, declared 2.5 s; ";
    assert_eq!(explain(&observed), format!("{both}{second}"));
    let start = observed.cluster.started();
    observed.cluster.end(start[0].run, RunOutcome::Done);
    assert_eq!(explain(&observed), second);
    observed.cluster.apply(Event::Cancelled(JobId(1)));
    assert_eq!(explain(&observed), "");
}

#[test]
fn explain_steps_is_bounded() {
    let mut cluster = Cluster::new(1, 1, 0);
    cluster.submit(1, 0, vec![step(1, 1); 20]);
    let text = explain_steps(&Estimates::default(), cluster.ledger.job(JobId(1)).unwrap());
    assert_eq!(text.matches("expected").count(), 8);
    assert!(text.ends_with("; 12 more steps"), "{text}");
}
