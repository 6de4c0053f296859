//! Compact form of a model that is kept when its process ends.
//!
//! Names are stored as checksums and numbers in hundredths of logarithms, about one percent. Two
//! names of one checksum would share an entry until runs correct it.

use {
    crate::{
        estimates::{Estimates, Inner, instance_checksum, kind_checksum},
        kind::KindFit,
        model::Model,
        window::{KINDS_MAX, Prior},
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Most workers in a summary; those whose speeds differ most are kept. A summary takes at most
/// 7 bytes for each of them and 17 for each kind.
pub const SUMMARY_WORKERS_MAX: usize = 1_000;

/// Values per unit of a logarithm.
const SCALE: f64 = 100.0;
/// Most evidence that is saved of a worker, in complete runs, so that a few runs correct it.
const WORKER_WEIGHT_MAX: f64 = 3.0;
/// Largest deviation of a speed that is restored, as a logarithm: a factor of 32.
const SPEED_MAX: f64 = 3.47;
/// Largest logarithms of a kind that are saved.
const KIND_MAX: f64 = 40.0;
/// Difference of logarithms from which two summaries differ: 10 %.
const NOTICEABLE: i16 = 10;

/// Speeds and kinds that a model has learned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Workers whose reported speed is not typical, ordered by checksum.
    workers: Vec<SavedWorker>,
    /// Kinds with evidence, ordered by checksum.
    kinds: Vec<SavedKind>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SavedWorker {
    checksum: [u8; 4],
    speed: i16,
    /// Evidence in complete runs.
    weight: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SavedKind {
    checksum: [u8; 4],
    /// Origin, intercept and slope of the line.
    line: [i16; 3],
    /// High quantiles by step and by kind.
    high: [i16; 2],
    steps: u8,
    samples: u8,
}

impl Summary {
    /// Whether there is nothing in it.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty() && self.kinds.is_empty()
    }

    /// Whether another summary is about equal: no speed or line of a kind differs by more than 10 %.
    pub fn is_near(&self, other: &Self) -> bool {
        let speeds = |s: &Self| s.workers.iter().map(|w| (w.checksum, [w.speed, 0, 0])).collect();
        let lines = |s: &Self| s.kinds.iter().map(|k| (k.checksum, k.line)).collect();
        near(&speeds(self), &speeds(other)) && near(&lines(self), &lines(other))
    }
}

/// Whether no value differs noticeably; values that one side lacks are zero there.
fn near(left: &BTreeMap<[u8; 4], [i16; 3]>, right: &BTreeMap<[u8; 4], [i16; 3]>) -> bool {
    let covered = |from: &BTreeMap<_, _>, to: &BTreeMap<_, _>| {
        from.iter().all(|(key, values): (&[u8; 4], &[i16; 3])| {
            let other: [i16; 3] = to.get(key).copied().unwrap_or_default();
            // The origin of a line is only the point at which its intercept holds.
            let skip = usize::from(values[1..] != [0, 0]);
            let pairs = values.iter().zip(other).skip(skip);
            pairs.into_iter().all(|(a, b)| a.abs_diff(b) <= NOTICEABLE as u16)
        })
    };
    covered(left, right) && covered(right, left)
}

impl Model {
    /// Returns the summary of the latest fit. Evidence that was restored and not yet replaced is
    /// part of it, with less weight.
    pub fn summary(&self) -> Summary {
        let mut workers: BTreeMap<u32, (f64, f64)> = BTreeMap::new();
        for (checksum, prior) in &self.restored {
            workers.insert(*checksum, (prior.speed, prior.weight - 1.0));
        }
        for (instance, speed) in self.estimates().speeds() {
            let weight = f64::from(speed.samples).min(WORKER_WEIGHT_MAX);
            workers.insert(instance_checksum(&instance), (speed.factor.ln(), weight));
        }
        let mut kinds: BTreeMap<u32, KindFit> = BTreeMap::new();
        for (checksum, fit) in &self.restored_kinds {
            kinds.insert(*checksum, KindFit { steps: fit.steps - 1.0, ..*fit });
        }
        for window in self.windows.kinds.values() {
            kinds.insert(kind_checksum(&window.kind), window.model.fit);
        }
        let saved = |(checksum, (speed, weight)): (u32, (f64, f64))| SavedWorker {
            checksum: checksum.to_le_bytes(),
            speed: scaled(speed, SPEED_MAX),
            weight: weight.clamp(0.0, WORKER_WEIGHT_MAX) as u8,
        };
        let mut workers: Vec<_> = workers.into_iter().map(saved).collect();
        workers.retain(|w| w.speed != 0 && w.weight > 0);
        workers.sort_by_key(|w| std::cmp::Reverse(w.speed.unsigned_abs()));
        workers.truncate(SUMMARY_WORKERS_MAX);
        workers.sort_unstable_by_key(|w| u32::from_le_bytes(w.checksum));
        let mut kinds: Vec<_> = kinds.into_iter().map(saved_kind).collect();
        kinds.retain(|k| k.steps > 0);
        kinds.truncate(KINDS_MAX);
        Summary { workers, kinds }
    }

    /// Creates a model from a summary. What it holds counts like a few runs, so that samples soon
    /// outweigh it.
    pub fn restore(summary: &Summary) -> Self {
        let mut model = Self::new();
        for saved in summary.workers.iter().take(SUMMARY_WORKERS_MAX) {
            let speed = (f64::from(saved.speed) / SCALE).clamp(-SPEED_MAX, SPEED_MAX);
            let weight = f64::from(saved.weight).min(WORKER_WEIGHT_MAX);
            model.restored.insert(u32::from_le_bytes(saved.checksum), Prior { speed, weight });
        }
        for saved in summary.kinds.iter().take(KINDS_MAX) {
            let log = |value: i16| (f64::from(value) / SCALE).clamp(-KIND_MAX, KIND_MAX);
            let [steps, samples] = [f64::from(saved.steps), f64::from(saved.samples)];
            let fit =
                KindFit::restored(saved.line.map(log), saved.high.map(log), steps, samples as u32);
            model.restored_kinds.insert(u32::from_le_bytes(saved.checksum), fit);
        }
        let restored = model.restored.iter().map(|(key, prior)| (*key, prior.reported()));
        let inner = Inner {
            restored: restored.collect(),
            restored_kinds: model.restored_kinds.clone(),
            ..Inner::default()
        };
        model.set_estimates(Estimates::from(inner));
        model
    }
}

fn saved_kind((checksum, fit): (u32, KindFit)) -> SavedKind {
    SavedKind {
        checksum: checksum.to_le_bytes(),
        line: [fit.origin, fit.intercept, fit.slope].map(|v| scaled(v, KIND_MAX)),
        high: [fit.high_by_step, fit.high_by_kind].map(|v| scaled(v, KIND_MAX)),
        steps: fit.steps.clamp(0.0, 127.0) as u8,
        samples: u8::try_from(fit.samples).unwrap_or(u8::MAX),
    }
}

fn scaled(value: f64, max: f64) -> i16 {
    (value.clamp(-max, max) * SCALE).round() as i16
}
