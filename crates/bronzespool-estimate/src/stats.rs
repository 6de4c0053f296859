//! Figures about a model for metrics and operators.

use {
    crate::{fit::NOISE_PRIOR, model::Model, window::Run},
    std::collections::VecDeque,
};

/// Number of completed runs whose errors are kept.
const ERRORS_MAX: usize = 512;

/// Quantiles of the factor by which expected and observed durations differ, in either direction; 1.0
/// is exact.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ErrorQuantiles {
    /// Factor that half of the runs do not exceed.
    pub median: f64,
    /// Factor that nine of ten runs do not exceed.
    pub high: f64,
}

/// Figures about a model at its latest fit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stats {
    /// Runs in the windows of workers.
    pub samples: usize,
    /// Workers that the model holds.
    pub workers: usize,
    /// Kinds that the model holds.
    pub kinds: usize,
    /// Steps that the model holds.
    pub steps: usize,
    /// Workers whose reported speed is not typical.
    pub atypical: usize,
    /// Lowest reported speed.
    pub slowest: f64,
    /// Highest reported speed.
    pub fastest: f64,
    /// Standard deviation of the logarithms of runs of one step on one worker.
    pub noise: f64,
    /// Number of visits of runs by the latest fit, the measure of its cost.
    pub visits: u64,
    /// Errors of the durations that were expected at the first samples of the latest completed
    /// runs.
    pub learned: Option<ErrorQuantiles>,
    /// Errors of the declared durations of the same runs.
    pub declared: Option<ErrorQuantiles>,
}

impl Model {
    /// Returns figures about the model.
    pub fn stats(&self) -> Stats {
        let speeds = self.estimates().speeds();
        let speeds: Vec<f64> = speeds.into_iter().map(|(_, speed)| speed.factor).collect();
        let over = |init: f64, pick: fn(f64, f64) -> f64| speeds.iter().copied().fold(init, pick);
        Stats {
            samples: self.windows.len(),
            workers: self.windows.workers.len(),
            kinds: self.windows.kinds.len(),
            steps: self.windows.steps.len(),
            atypical: speeds.iter().filter(|s| **s != 1.0).count(),
            slowest: over(1.0, f64::min),
            fastest: over(1.0, f64::max),
            noise: self.noise.unwrap_or(NOISE_PRIOR),
            visits: self.visits,
            learned: self.errors.learned(),
            declared: self.errors.declared(),
        }
    }
}

/// Errors of the latest completed runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct Errors {
    /// Absolute logarithms of the learned and the declared duration divided by the observed one.
    latest: VecDeque<(f64, f64)>,
}

impl Errors {
    /// Adds a completed run.
    pub(crate) fn add(&mut self, run: &Run) {
        let Some(declared) = run.declared else { return };
        if self.latest.len() >= ERRORS_MAX {
            self.latest.pop_front();
        }
        let off = |expected: f64| (run.observed - expected).abs();
        self.latest.push_back((off(run.expected), off(declared)));
    }

    /// Errors of the learned durations; `None` without completed runs.
    fn learned(&self) -> Option<ErrorQuantiles> {
        quantiles(self.latest.iter().map(|(learned, _)| *learned).collect())
    }

    /// Errors of the declared durations; `None` without completed runs.
    fn declared(&self) -> Option<ErrorQuantiles> {
        quantiles(self.latest.iter().map(|(_, declared)| *declared).collect())
    }
}

fn quantiles(mut logs: Vec<f64>) -> Option<ErrorQuantiles> {
    logs.sort_unstable_by(f64::total_cmp);
    let last = logs.len().checked_sub(1)?;
    let at = |percent: usize| logs[last * percent / 100].exp();
    Some(ErrorQuantiles { median: at(50), high: at(90) })
}
