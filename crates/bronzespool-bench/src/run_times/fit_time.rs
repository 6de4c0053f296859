//! Times of fits with full windows.

use {
    bronzespool::estimate::{Kind, Model, Sample, Stats, StepKey, Summary, WORKER_SAMPLES_MAX},
    bronzespool_core::{Instance, Time},
    fastrand::Rng,
    std::{
        fmt,
        time::{Duration, Instant},
    },
};

/// Tasks of a step.
const TASKS: u64 = 5;

/// Times of the fits of one size.
#[derive(Clone, Debug)]
pub struct FitTimes {
    /// Figures about the model.
    pub stats: Stats,
    /// Bytes of its summary.
    pub summary: usize,
    /// Times of the fits after one tenth of the runs was replaced, sorted.
    pub times: Vec<Duration>,
}

impl FitTimes {
    /// Head of the printed table.
    pub const HEAD: &str = "| workers | runs | steps | visits | summary, B | median, ms | p99, ms |\n|---|---|---|---|---|---|---|";
}

impl fmt::Display for FitTimes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Stats { workers, samples, steps, visits, .. } = self.stats;
        let at = |percent: usize| (self.times.len() * percent).div_ceil(100).saturating_sub(1);
        let millis = |p: usize| self.times.get(at(p)).map_or(0.0, |t| t.as_secs_f64() * 1e3);
        let (median, p99) = (millis(50), millis(99));
        write!(f, "| {workers} | {samples} | {steps} | {visits} | {} ", self.summary)?;
        write!(f, "| {median:.2} | {p99:.2} |")
    }
}

/// Fills the windows of a number of workers, then times fits.
pub fn fit_times(workers: usize, rounds: usize) -> FitTimes {
    let mut model = Model::new();
    let mut rng = Rng::with_seed(1);
    let mut next = 0;
    let mut record = |model: &mut Model, count: usize| {
        for _ in 0..count {
            model.record(sample(next, workers, &mut rng));
            next += 1;
        }
    };
    record(&mut model, workers * WORKER_SAMPLES_MAX * 2);
    model.refit(Time::ZERO);
    let mut times: Vec<Duration> = Vec::new();
    for _ in 0..rounds {
        record(&mut model, workers * WORKER_SAMPLES_MAX / 10);
        let begun = Instant::now();
        model.refit(Time::ZERO);
        times.push(begun.elapsed());
    }
    times.sort_unstable();
    let summary: Summary = model.summary();
    let summary = postcard::to_stdvec(&summary).map_or(0, |bytes| bytes.len());
    FitTimes { stats: model.stats(), summary, times }
}

fn sample(number: u64, workers: usize, rng: &mut Rng) -> Sample {
    let worker = rng.usize(..workers);
    let step = number / TASKS;
    let speed = [0.7, 0.7, 1.7][worker % 3];
    let secs = (2.0 + (step % 8) as f64) * (0.7 + 0.6 * rng.f64()) / speed;
    Sample {
        run: number,
        step: StepKey(step),
        kind: Kind { queue: "checks".into(), image: None },
        instance: Instance::try_from(format!("w{worker:04}").as_str()).expect("a valid name"),
        declared: Duration::from_secs(4),
        observed: Duration::from_secs_f64(secs),
        complete: true,
        at: Time::ZERO,
    }
}
