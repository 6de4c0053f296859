//! Estimates that decisions read.

use {
    crate::{
        kind::KindFit,
        sample::{Kind, StepKey},
    },
    bronzespool_core::{HashMap, Instance},
    std::{sync::Arc, time::Duration},
};

/// Longest duration that is returned: ten years.
const DURATION_MAX_SECS: f64 = 315_360_000.0;

/// Estimated speed of a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Multiple of the speed of a typical worker: a task that takes 2 s there takes 1 s at 2.0.
    pub factor: f64,
    /// Number of runs behind the estimate.
    pub samples: u32,
}

impl Speed {
    /// Speed of a worker about which nothing is known.
    pub const UNKNOWN: Self = Self { factor: 1.0, samples: 0 };
}

/// Estimated duration of a task on a typical worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Work {
    /// Typical duration: a mean of logarithms in which outliers count little, so that the tail
    /// shows in `high` only.
    pub expected: Duration,
    /// Duration that nine of ten such tasks do not exceed.
    pub high: Duration,
    /// Number of runs behind the estimate.
    pub samples: u32,
}

/// Estimates at one point in time. Clones share their data.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    inner: Arc<Inner>,
}

/// The data behind [`Estimates`].
#[derive(Debug, Default)]
pub(crate) struct Inner {
    /// Speeds of the workers that the model holds.
    pub(crate) speeds: HashMap<Instance, Speed>,
    /// Speeds from a summary, by checksum of the instance's name.
    pub(crate) restored: HashMap<u32, Speed>,
    /// Fits of the kinds that the model holds.
    pub(crate) kinds: HashMap<Kind, KindFit>,
    /// Fits from a summary, by checksum of the kind.
    pub(crate) restored_kinds: HashMap<u32, KindFit>,
    /// Work of the steps that the model holds.
    pub(crate) steps: HashMap<StepKey, StepFit>,
}

/// Work of a step that was observed itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepFit {
    /// Natural logarithm of the seconds on a typical worker.
    pub(crate) log_work: f64,
    /// Variance of `log_work`.
    pub(crate) variance: f64,
    /// Number of runs.
    pub(crate) samples: u32,
}

impl From<Inner> for Estimates {
    fn from(inner: Inner) -> Self {
        Self { inner: Arc::new(inner) }
    }
}

impl Estimates {
    /// Returns the speed of the worker beside the agent on an instance.
    pub fn speed(&self, instance: &Instance) -> Speed {
        let inner = &*self.inner;
        if let Some(speed) = inner.speeds.get(instance) {
            return *speed;
        }
        if inner.restored.is_empty() {
            return Speed::UNKNOWN;
        }
        inner.restored.get(&instance_checksum(instance)).copied().unwrap_or(Speed::UNKNOWN)
    }

    /// Returns the duration of a task on a typical worker. Runs of the same step count most.
    pub fn work(&self, kind: &Kind, step: Option<StepKey>, declared: Duration) -> Work {
        let unchanged = Work { expected: declared, high: declared, samples: 0 };
        let step = step.and_then(|s| self.inner.steps.get(&s));
        let fit = self.kind(kind);
        if declared.is_zero() || (step.is_none() && fit.is_none()) {
            return unchanged;
        }
        let x = declared.as_secs_f64().ln();
        let fit = fit.unwrap_or(&KindFit::DECLARED);
        let (mean, variance) = fit.predict(x);
        let Some(step) = step else {
            return to_work(mean, fit.high_by_kind, fit.samples);
        };
        // The share of the step's own runs in the precision-weighted mean.
        let share = variance / (variance + step.variance);
        let log_work = share * step.log_work + (1.0 - share) * mean;
        let log_high = share * fit.high_by_step + (1.0 - share) * fit.high_by_kind;
        to_work(log_work, log_high, step.samples)
    }

    /// Reported speeds of the workers that the model holds, in the order of their names.
    pub fn speeds(&self) -> Vec<(Instance, Speed)> {
        let speeds = self.inner.speeds.iter().map(|(instance, speed)| (instance.clone(), *speed));
        let mut speeds: Vec<_> = speeds.collect();
        speeds.sort_unstable_by(|(a, _), (b, _)| a.cmp(b));
        speeds
    }

    fn kind(&self, kind: &Kind) -> Option<&KindFit> {
        let inner = &*self.inner;
        inner.kinds.get(kind).or_else(|| {
            if inner.restored_kinds.is_empty() {
                return None;
            }
            inner.restored_kinds.get(&kind_checksum(kind))
        })
    }
}

fn to_work(log_work: f64, log_high: f64, samples: u32) -> Work {
    let seconds = |log: f64| {
        let secs = log.exp();
        Duration::from_secs_f64(if secs < DURATION_MAX_SECS { secs } else { DURATION_MAX_SECS })
    };
    Work { expected: seconds(log_work), high: seconds(log_work + log_high.max(0.0)), samples }
}

/// Checksum under which a summary names an instance.
pub(crate) fn instance_checksum(instance: &Instance) -> u32 {
    crc32fast::hash(instance.as_str().as_bytes())
}

/// Checksum under which a summary names a kind.
pub(crate) fn kind_checksum(kind: &Kind) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(kind.queue.as_bytes());
    // The zero byte separates the two names.
    hasher.update(&[0]);
    hasher.update(kind.image.as_deref().unwrap_or_default().as_bytes());
    hasher.finalize()
}
