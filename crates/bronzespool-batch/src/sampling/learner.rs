//! Run times that a leader learns during its term.

use {
    super::{CompletedRun, Sampler, SpeedChange, SpeedWatch, worker_speeds},
    crate::{
        ledger::{Event, EventOutcome, Ledger, Record},
        message::Poll,
    },
    bronzespool_core::{Center, HashMap, Instance, Time},
    bronzespool_estimate::{Estimates, Model, Summary},
    std::{sync::Arc, time::Duration},
};

/// Shortest time between two fits.
pub const REFIT_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two summaries in the log.
pub const SAVE_INTERVAL: Duration = Duration::from_secs(10);

/// Time between two searches for runs that no worker holds any more. Most are removed at their end.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// Result of a fit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Refit {
    /// Workers that are recognised as slower or faster than before.
    pub changes: Vec<SpeedChange>,
    /// Slowest, median and fastest worker; none without workers.
    pub spread: Option<[f64; 3]>,
}

/// The model of a term and the samples that it learns from. Of earlier terms, only the summary in the
/// ledger is used.
#[derive(Clone, Debug, Default)]
pub struct Learner {
    term: u64,
    sampler: Sampler,
    model: Model,
    estimates: Estimates,
    /// Whether there are samples since the latest fit.
    has_samples: bool,
    refit_at: Option<Time>,
    forgotten_at: Time,
    /// Whether there was a fit since the estimates were last compared with the saved ones.
    has_fit: bool,
    saved_at: Option<Time>,
    /// Data centres of the workers as the model knows them.
    centers: HashMap<Instance, Arc<str>>,
    watch: SpeedWatch,
}

impl Learner {
    /// Begins a term unless it has begun already. `ledger` has applied the records of earlier terms.
    pub fn enter_term(&mut self, term: u64, ledger: &Ledger) {
        if self.term == term {
            return;
        }
        let model = Model::restore(&saved_summary(ledger));
        let estimates = model.estimates();
        let mut watch = SpeedWatch::default();
        watch.changes(worker_speeds(ledger, &estimates));
        *self = Self { term, model, estimates, watch, ..Self::default() };
    }

    /// Returns the estimates of the latest fit of a term; none has been made before it has begun.
    pub fn estimates(&self, term: u64) -> Estimates {
        if self.term == term { self.estimates.clone() } else { Estimates::default() }
    }

    /// Records a poll that arrived in a term. Returns the number of samples.
    pub fn record_poll(
        &mut self,
        term: u64,
        at: Time,
        ledger: &Ledger,
        poll: &Poll,
        is_cold: bool,
    ) -> usize {
        if self.term != term {
            return 0;
        }
        let samples = self.sampler.record_poll(at, ledger, poll, is_cold);
        let count = samples.len();
        self.has_samples |= count > 0;
        samples.into_iter().for_each(|s| self.model.record(s));
        count
    }

    /// Records a record that was proposed in a term and is applied. Returns the runs that have
    /// completed and are evidence.
    pub fn record_applied(
        &mut self,
        term: u64,
        ledger: &Ledger,
        record: &Record,
        outcomes: &[EventOutcome],
    ) -> Vec<CompletedRun> {
        if self.term != term {
            return Vec::new();
        }
        let mut completed = Vec::new();
        for (event, outcome) in record.events.iter().zip(outcomes) {
            if *outcome == EventOutcome::Applied {
                let runs = self.sampler.record_event(record.at, ledger, &self.estimates, event);
                completed.extend(runs);
            }
        }
        self.has_samples |= !completed.is_empty();
        completed.iter().for_each(|c| self.model.record(c.sample.clone()));
        completed
    }

    /// Fits the model if there are new samples and the latest fit is [`REFIT_INTERVAL`] ago.
    pub fn refit(&mut self, now: Time, ledger: &Ledger) -> Option<Refit> {
        let is_recent = self.refit_at.is_some_and(|at| now.since(at) < REFIT_INTERVAL);
        if is_recent {
            return None;
        }
        if now.since(self.forgotten_at) >= FORGET_INTERVAL {
            self.forgotten_at = now;
            self.sampler.forget_ended(ledger);
        }
        if !std::mem::take(&mut self.has_samples) {
            return None;
        }
        self.refit_at = Some(now);
        self.has_fit = true;
        self.update_centers(ledger);
        self.model.refit(now);
        self.estimates = self.model.estimates();
        let mut factors: Vec<f64> =
            worker_speeds(ledger, &self.estimates).map(|(_, s)| s.factor).collect();
        factors.sort_by(f64::total_cmp);
        let median = factors.get(factors.len() / 2).copied();
        Some(Refit {
            changes: self.watch.changes(worker_speeds(ledger, &self.estimates)),
            spread: median.map(|m| [factors[0], m, factors[factors.len() - 1]]),
        })
    }

    /// Returns the event that saves a summary, if the estimates differ noticeably from those in the
    /// ledger and the latest attempt to save them is [`SAVE_INTERVAL`] ago.
    pub fn summary(&mut self, now: Time, ledger: &Ledger) -> Option<Event> {
        let is_recent = self.saved_at.is_some_and(|at| now.since(at) < SAVE_INTERVAL);
        if is_recent || !std::mem::take(&mut self.has_fit) {
            return None;
        }
        let summary = self.model.summary();
        if summary.is_near(&saved_summary(ledger)) {
            return None;
        }
        let bytes = postcard::to_stdvec(&summary).ok()?;
        self.saved_at = Some(now);
        Some(Event::EstimatesSaved(bytes.into()))
    }

    /// Updates the data centres of the workers in the model.
    fn update_centers(&mut self, ledger: &Ledger) {
        let mut centers = HashMap::default();
        for worker in ledger.workers() {
            let (agent, center) = (&worker.spec.agent, &worker.spec.center);
            if self.centers.get(agent) != Some(center)
                && let Ok(name) = Center::try_from(&**center)
            {
                self.model.set_center(agent, &name);
            }
            centers.insert(agent.clone(), Arc::clone(center));
        }
        self.centers = centers;
    }
}

/// Returns the summary in a ledger; an empty one if it cannot be read, for example because another
/// version has saved it.
fn saved_summary(ledger: &Ledger) -> Summary {
    postcard::from_bytes(ledger.run_times()).unwrap_or_default()
}
