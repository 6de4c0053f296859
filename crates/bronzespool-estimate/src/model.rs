//! The model that learns from samples.

use {
    crate::{
        estimates::{Estimates, Inner, Speed, StepFit, instance_checksum},
        fit::Fit,
        kind::{KindFit, Point},
        sample::Sample,
        speeds,
        stats::Errors,
        window::{Prior, Windows, log_seconds},
    },
    bronzespool_core::{Center, HashMap, Instance, Time},
    std::collections::BTreeMap,
};

/// Learns run times and worker speeds from samples.
///
/// Its memory is bounded by the constants `*_MAX` of this package; the oldest is evicted first.
/// Equal sequences of calls give equal estimates.
#[derive(Clone, Debug, Default)]
pub struct Model {
    pub(crate) windows: Windows,
    pub(crate) errors: Errors,
    /// Standard deviation of runs of one step; `None` before the first fit.
    pub(crate) noise: Option<f64>,
    /// Evidence from a summary, by checksum.
    pub(crate) restored: HashMap<u32, Prior>,
    pub(crate) restored_kinds: HashMap<u32, KindFit>,
    pub(crate) visits: u64,
    changed: bool,
    estimates: Estimates,
}

impl Model {
    /// Creates a model without evidence.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a sample, which replaces an earlier one of the same run. A sample without a duration
    /// is ignored, and so is one that is older than the sample it would replace, or that reports
    /// progress of a run that has completed.
    pub fn record(&mut self, sample: Sample) {
        let work = self.estimates.work(&sample.kind, Some(sample.step), sample.declared);
        let expected = log_seconds(work.expected).unwrap_or(0.0)
            - self.estimates.speed(&sample.instance).factor.ln();
        let prior = self.restored.get(&instance_checksum(&sample.instance)).copied();
        let kinds = &self.restored_kinds;
        let restored = (prior, |kind| kinds.get(&kind).copied());
        if let Some(run) = self.windows.record(&sample, expected, restored) {
            self.errors.add(&run);
        }
        self.changed = true;
    }

    /// Sets the data centre of a worker. The speed of a worker with little evidence follows from that
    /// of its data centre.
    pub fn set_center(&mut self, instance: &Instance, center: &Center) {
        let prior = self.restored.get(&instance_checksum(instance)).copied();
        let worker = self.windows.worker(instance.clone(), prior);
        self.changed |= worker.center.as_ref() != Some(center);
        worker.center = Some(center.clone());
    }

    /// Removes a worker, for example because its machine was replaced by another one of the same name.
    pub fn forget(&mut self, instance: &Instance) {
        self.restored.remove(&instance_checksum(instance));
        self.windows.remove_worker(instance);
        self.changed = true;
    }

    /// Fits the effects of workers and steps to the samples. Evidence is discounted by the number of
    /// later samples, so the time has no effect on the result.
    pub fn refit(&mut self, _now: Time) {
        if !self.changed {
            return;
        }
        self.changed = false;
        self.visits = 0;
        let mut fit = self.sweep();
        let changes = fit.changes();
        if !changes.is_empty() {
            changes.iter().for_each(|(instance, first)| self.windows.truncate(instance, *first));
            fit = self.sweep();
        }
        self.shift(fit.center());
        self.noise = Some(fit.noise);
        fit.store(&mut self.windows);
        let centers: Vec<_> = self.windows.workers.values().map(|w| w.center.as_ref()).collect();
        let reported = speeds::reported(fit.workers(), &centers);
        self.shift_reported(&fit, &reported);
        fit.store_work(&reported, &mut self.windows);
        self.visits += fit.visits;
        self.fit_kinds(&reported);
        self.estimates = self.collect(&fit, &reported);
    }

    /// Returns the estimates of the latest fit.
    pub fn estimates(&self) -> Estimates {
        self.estimates.clone()
    }

    pub(crate) fn set_estimates(&mut self, estimates: Estimates) {
        self.estimates = estimates;
    }

    fn sweep(&mut self) -> Fit {
        let mut fit = Fit::new(&self.windows, self.noise);
        fit.sweep();
        self.visits += fit.visits;
        fit.visits = 0;
        fit
    }

    /// Adapts the state of the fit of speeds to a typical worker that is faster by `shift`, in
    /// logarithms.
    fn shift(&mut self, shift: f64) {
        for worker in self.windows.workers.values_mut() {
            worker.prior.iter_mut().for_each(|p| p.speed -= shift);
        }
        for step in self.windows.steps.values_mut() {
            step.past.shift(shift);
            step.effect = step.effect.map(|e| e - shift);
        }
    }

    /// Adapts what was learned with the reported speeds of the former fit, if another worker has
    /// become typical: then the reported speeds of the workers behind it change by the same factor.
    fn shift_reported(&mut self, fit: &Fit, reported: &[f64]) {
        let mut changes = Vec::with_capacity(reported.len());
        let windows = self.windows.workers.values_mut();
        for ((window, effect), speed) in windows.zip(fit.workers()).zip(reported) {
            let former = window.reported.replace(*speed);
            let known = former.filter(|_| effect.samples > 0);
            changes.extend(known.map(|former| (speed - former, window.runs_seen)));
        }
        let shift = -weighted_median(&mut changes);
        if shift == 0.0 {
            return;
        }
        self.restored.values_mut().for_each(|s| s.speed -= shift);
        self.restored_kinds.values_mut().for_each(|k| k.intercept -= shift);
        self.windows.kinds.values_mut().for_each(|k| k.model.shift(shift));
        for step in self.windows.steps.values_mut() {
            step.work = step.work.map(|(work, variance)| (work - shift, variance));
        }
    }

    fn fit_kinds(&mut self, reported: &[f64]) {
        let Windows { workers, kinds, steps, .. } = &mut self.windows;
        let mut points: BTreeMap<u32, Vec<Point>> = BTreeMap::new();
        for step in steps.values() {
            points.entry(step.kind).or_default().extend(step.point());
        }
        for (id, kind) in kinds.iter_mut() {
            kind.model.fit(points.get(id).map_or(&[], Vec::as_slice));
            kind.model.clear_runs();
        }
        for (worker, speed) in workers.values().zip(reported) {
            for run in worker.runs.iter().filter(|r| r.complete) {
                let Some(kind) = kinds.get_mut(&run.kind) else { continue };
                let work = run.observed + speed;
                let by_step = steps.get(&run.step).and_then(|s| s.residual(work));
                let by_kind = run.declared.map(|x| work - kind.model.fit.predict(x).0);
                kind.model.add_run(by_step, by_kind);
            }
        }
        kinds.values_mut().for_each(|k| k.model.end_runs());
    }

    fn collect(&self, fit: &Fit, reported: &[f64]) -> Estimates {
        let mut inner = Inner {
            restored: self.restored.iter().map(|(k, s)| (*k, s.reported())).collect(),
            restored_kinds: self.restored_kinds.clone(),
            ..Inner::default()
        };
        for (effect, speed) in fit.workers().iter().zip(reported) {
            let speed = Speed { factor: speed.exp(), samples: effect.samples };
            inner.speeds.insert(effect.instance.clone(), speed);
        }
        for window in self.windows.kinds.values() {
            inner.kinds.insert(window.kind.clone(), window.model.fit);
        }
        for (key, step) in &self.windows.steps {
            if let Some((log_work, variance)) = step.work {
                let samples = step.samples;
                inner.steps.insert(*key, StepFit { log_work, variance, samples });
            }
        }
        inner.into()
    }
}

/// Median of values with weights; zero without values.
fn weighted_median(values: &mut [(f64, u32)]) -> f64 {
    values.sort_unstable_by(|(a, _), (b, _)| a.total_cmp(b));
    let whole: u64 = values.iter().map(|(_, weight)| u64::from(*weight)).sum();
    let mut sum = 0;
    for (value, weight) in values {
        sum += u64::from(*weight);
        if sum * 2 >= whole {
            return *value;
        }
    }
    0.0
}
