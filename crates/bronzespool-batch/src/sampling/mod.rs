//! Samples of run times for the model of [`bronzespool_estimate`], taken from the ledger, from polls
//! and from ended runs.
//!
//! Only runs that are evidence of the speed of their worker and the work of their task are sampled.
//! Runs that were stopped, or slowed by something other than their worker, are left out. All times
//! are log times, which remain comparable after a change of leader.

mod contact;
mod evidence;
mod expectation;
mod learner;
mod speeds;
mod track;

pub use {
    expectation::{
        StepExpectation, expected_duration, explain_steps, kind_of, step_expectations, step_key,
    },
    learner::{Learner, REFIT_INTERVAL, Refit, SAVE_INTERVAL},
    speeds::{SpeedChange, SpeedWatch, worker_speeds},
};

use {
    self::{
        contact::{AgentContacts, ContactState},
        evidence::{has_best_effort_run, is_evidence},
        track::RunTrack,
    },
    crate::{
        id::{RunId, WorkerIncarnation},
        ledger::{Assignment, Event, Ledger, RunEnd, RunOutcome, Worker},
        message::Poll,
    },
    bronzespool_core::{HashMap, Instance, Time},
    bronzespool_estimate::{Estimates, Sample},
    std::time::Duration,
};

/// Most runs that are observed at once. The two-year size has 12,000 running tasks.
const RUNS_MAX: usize = 16_384;

/// A run that has completed, and the duration that was expected when it was assigned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedRun {
    /// The sample of the run.
    pub sample: Sample,
    /// Expected duration; unknown for runs that were assigned in an earlier term.
    pub expected: Option<Duration>,
}

/// Observes the runs of one term and makes samples of them. It holds one entry for each run that
/// workers may hold and one for each agent.
#[derive(Clone, Debug, Default)]
pub struct Sampler {
    runs: HashMap<RunId, RunTrack>,
    contacts: AgentContacts,
}

impl Sampler {
    /// Records a poll that arrived at `at`, and returns samples of the runs that have progressed.
    /// `is_cold` says whether the worker has not reached its full speed since its start.
    pub fn record_poll(
        &mut self,
        at: Time,
        ledger: &Ledger,
        poll: &Poll,
        is_cold: bool,
    ) -> Vec<Sample> {
        let state = self.contacts.record(at, poll);
        let Some(spec) = poll.worker.as_ref().filter(|_| state != ContactState::Late) else {
            return Vec::new();
        };
        let Some(worker) = ledger.worker(&spec.incarnation) else { return Vec::new() };
        let interrupted = state == ContactState::Restored;
        let disturbs_all = is_cold || interrupted || has_best_effort_run(ledger, worker);
        for run in worker.runs.keys() {
            let Some(track) = self.track(ledger, worker, *run) else { continue };
            if disturbs_all || ledger.is_unwanted(*run) {
                track.disturb();
            }
        }
        let mut samples = Vec::new();
        for status in &poll.running {
            let Some(track) = self.runs.get_mut(&status.run) else { continue };
            let Some(observed) = track.record_progress(at, status.percent) else { continue };
            samples.extend(sample(ledger, status.run, &poll.agent, observed, false, at));
        }
        samples
    }

    /// Records an applied event of a record with the time `at`. `ledger` has applied it. Returns the
    /// runs that have completed and are evidence.
    pub fn record_event(
        &mut self,
        at: Time,
        ledger: &Ledger,
        estimates: &Estimates,
        event: &Event,
    ) -> Vec<CompletedRun> {
        match event {
            Event::Started(group) => {
                group.iter().for_each(|a| self.record_start(ledger, estimates, a));
            }
            Event::Stopping { runs, .. } => {
                for run in runs {
                    if let Some(track) = self.runs.get_mut(run) {
                        track.disturb();
                    }
                }
            }
            Event::Refused { run, .. } => {
                self.runs.remove(run);
            }
            Event::Ended { ends, .. } => {
                return ends.iter().filter_map(|e| self.record_end(at, ledger, e)).collect();
            }
            _ => {}
        }
        Vec::new()
    }

    /// Forgets runs that no worker holds any more and agents without a worker. A run is forgotten by
    /// the second call after its end, since its end is recorded some time after it is applied.
    pub fn forget_ended(&mut self, ledger: &Ledger) {
        self.runs.retain(|run, track| {
            let was_over = track.is_over;
            track.is_over = ledger.active_run(*run).is_none();
            !(was_over && track.is_over)
        });
        self.contacts.retain_agents(ledger.workers().map(|w| &w.spec.agent));
    }

    /// Returns the number of observed runs.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Whether no run is observed.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    fn record_start(&mut self, ledger: &Ledger, estimates: &Estimates, assignment: &Assignment) {
        let Some(worker) = ledger.worker(&assignment.incarnation) else { return };
        let run = assignment.run;
        let expected = || {
            let job = ledger.job(run.task.step.job)?;
            expected_duration(estimates, job, run.task.step, &worker.spec.agent)
        };
        let expected = expected();
        // A poll may have been recorded before this event.
        if let Some(track) = self.track(ledger, worker, run) {
            track.expected = track.expected.or(expected);
        }
    }

    fn record_end(&mut self, at: Time, ledger: &Ledger, end: &RunEnd) -> Option<CompletedRun> {
        let track = self.runs.remove(&end.run)?;
        let observed = track.duration(at).filter(|_| end.outcome == RunOutcome::Done)?;
        let sample = sample(ledger, end.run, &track.agent, observed, true, at)?;
        Some(CompletedRun { sample, expected: track.expected })
    }

    /// Returns the track of a run that a worker holds, and creates it on first use.
    fn track(&mut self, ledger: &Ledger, worker: &Worker, run: RunId) -> Option<&mut RunTrack> {
        if !self.runs.contains_key(&run) {
            if self.runs.len() >= RUNS_MAX {
                return None;
            }
            let job = ledger.job(run.task.step.job)?;
            let step = job.step_spec(run.task.step.step)?;
            let active = job.active_run(run)?;
            let agent = worker.spec.agent.clone();
            let since = self.contacts.since(&agent);
            let is_in_contact = since.is_some_and(|since| since <= active.assigned_at);
            let mut track = RunTrack::new(agent, active, step, is_in_contact);
            if !is_evidence(job, step, run, |i: &WorkerIncarnation| ledger.worker(i)) {
                track.disturb();
            }
            self.runs.insert(run, track);
        }
        self.runs.get_mut(&run)
    }
}

/// Returns the sample of a run, unless its job is unknown.
fn sample(
    ledger: &Ledger,
    run: RunId,
    agent: &Instance,
    observed: Duration,
    complete: bool,
    at: Time,
) -> Option<Sample> {
    let step = run.task.step;
    let job = ledger.job(step.job)?;
    let spec = job.step_spec(step.step)?;
    Some(Sample {
        run: u64::from(run.task.index) << u32::BITS | u64::from(run.run),
        step: step_key(step),
        kind: kind_of(job, spec),
        instance: agent.clone(),
        declared: expectation::declared(spec),
        observed,
        complete,
        at,
    })
}
