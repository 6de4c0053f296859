//! Learned run times on the leader: samples, fits, the summary in the log, metrics and log lines.

use {
    crate::{
        control::{batch::BatchController, replica::Result},
        telemetry::{Event as _, event},
    },
    bronzespool::{
        batch::{
            Event, EventOutcome, Ledger, Record,
            ledger::Job,
            message::Poll,
            sampling::{CompletedRun, Learner, REFIT_INTERVAL, Refit, SpeedChange, explain_steps},
        },
        core::{Time, settings::RunTimes},
        estimate::Estimates,
    },
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Names of the values that describe the spread of the workers' speeds.
const SPREAD: [&str; 3] = ["slowest", "median", "fastest"];

/// Learned run times, or nothing where declared ones are used.
#[derive(Debug)]
pub(super) struct RunTimeLearner {
    /// Present if run times are learned.
    learner: Option<Learner>,
}

impl RunTimeLearner {
    pub(super) fn new(run_times: RunTimes) -> Self {
        Self { learner: (run_times == RunTimes::Learned).then(Learner::default) }
    }

    /// Whether run times are learned.
    pub(super) const fn is_enabled(&self) -> bool {
        self.learner.is_some()
    }

    /// Begins a term unless it has begun already.
    pub(super) fn enter_term(&mut self, term: u64, ledger: &Ledger) {
        if let Some(learner) = &mut self.learner {
            learner.enter_term(term, ledger);
        }
    }

    /// Returns the estimates, if run times are learned.
    pub(super) fn estimates(&self, term: u64) -> Option<Estimates> {
        self.learner.as_ref().map(|l| l.estimates(term))
    }

    /// Returns an explanation of a job with the expectations for its steps, if run times are learned.
    pub(super) fn explain(&self, term: u64, job: &Job, explanation: String) -> String {
        let steps = self.estimates(term).map(|e| explain_steps(&e, job)).unwrap_or_default();
        if steps.is_empty() { explanation } else { format!("{explanation}; {steps}") }
    }

    /// Records a poll that arrived at a log time and was not late.
    pub(super) fn record_poll(
        &mut self,
        term: u64,
        at: Time,
        ledger: &Ledger,
        poll: &Poll,
        is_cold: bool,
    ) {
        let Some(learner) = &mut self.learner else { return };
        let samples = learner.record_poll(term, at, ledger, poll, is_cold);
        count_samples("progress", samples);
    }

    /// Records a record that was proposed in a term and is applied.
    pub(super) fn record_applied(
        &mut self,
        term: u64,
        ledger: &Ledger,
        record: &Record,
        outcomes: &[EventOutcome],
    ) {
        let Some(learner) = &mut self.learner else { return };
        let completed = learner.record_applied(term, ledger, record, outcomes);
        count_samples("completed", completed.len());
        completed.iter().for_each(measure_error);
    }
}

fn count_samples(source: &'static str, count: usize) {
    if count > 0 {
        metrics::counter!("bronzespool_batch_run_time_samples_total", "source" => source)
            .increment(count as u64);
    }
}

/// Records how long a run took as a multiple of the duration that was expected at its assignment.
fn measure_error(run: &CompletedRun) {
    if let Some(expected) = run.expected.filter(|e| !e.is_zero()) {
        let ratio = run.sample.observed.as_secs_f64() / expected.as_secs_f64();
        metrics::histogram!("bronzespool_batch_run_time_ratio").record(ratio);
    }
}

fn report_refit(refit: &Refit, took: Duration) {
    metrics::histogram!("bronzespool_batch_refit_seconds").record(took.as_secs_f64());
    for (value, factor) in SPREAD.into_iter().zip(refit.spread.into_iter().flatten()) {
        metrics::gauge!("bronzespool_batch_worker_speed", "worker" => value).set(factor);
    }
    for SpeedChange { agent, before, speed } in &refit.changes {
        event::WorkerSpeedChanged {
            agent: agent.clone(),
            before: format!("{before:.2}"),
            factor: format!("{:.2}", speed.factor),
            samples: speed.samples,
        }
        .emit();
    }
}

impl BatchController {
    /// Fits the model and saves its summary for as long as this process lives. Returns at once where
    /// declared run times are used.
    pub(in crate::control) async fn run_estimates(self: Rc<Self>) {
        while self.run_times.borrow().learner.is_some() {
            sleep(REFIT_INTERVAL).await;
            if self.replica.leads()
                && let Err(refusal) = self.update_estimates().await
            {
                let code = refusal.code.number();
                event::EstimatesNotSaved { code, refusal: refusal.to_string() }.emit();
            }
        }
    }

    async fn update_estimates(&self) -> Result<()> {
        // The planner logs a failure of the barrier.
        if self.replica.read_barrier().await.is_err() {
            return Ok(());
        }
        let term = self.replica.term();
        let now = self.replica.log_time();
        let summary = self.refit(term, now);
        if let Some(summary) = summary {
            self.propose_one(summary).await?;
        }
        Ok(())
    }

    /// Fits the model if a fit is due, and returns the event that saves a summary if one is due.
    fn refit(&self, term: u64, now: Time) -> Option<Event> {
        let state = self.replica.state();
        let mut run_times = self.run_times.borrow_mut();
        let learner = run_times.learner.as_mut()?;
        learner.enter_term(term, state.batch());
        let begun = self.clock.now();
        if let Some(refit) = learner.refit(now, state.batch()) {
            report_refit(&refit, self.clock.now().since(begun));
        }
        learner.summary(now, state.batch())
    }
}
