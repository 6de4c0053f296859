//! Counts for each run and each idle second over the number of workers.

use {
    crate::{
        capacity::fit,
        size::{COUNT_NAMES, DecisionFigures, ModelRun, Options, run},
    },
    serde::{Deserialize, Serialize},
    std::{
        sync::{
            Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Number of workers of the published decision figures.
pub const WORKERS: usize = 240;
/// Length of the idle runs.
const IDLE_LENGTH: Duration = Duration::from_secs(10);
/// Models that run in parallel.
const THREADS: usize = 2;

/// Growth of one count over the number of workers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Growth {
    /// Role and count.
    pub name: String,
    /// Count for each started run, by size.
    pub per_run: Vec<f64>,
    /// Exponent fitted to the counts for each run; none if one of them is zero.
    pub run_exponent: Option<f64>,
    /// Count for each agent and second of an idle cluster, by size.
    pub per_idle: Vec<f64>,
    /// Exponent fitted to the counts for each agent and idle second; none if one of them is zero.
    pub idle_exponent: Option<f64>,
}

/// Results of the measurement.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Results {
    /// Seed of the streams.
    pub seed: u64,
    /// Numbers of workers.
    pub sizes: Vec<usize>,
    /// Growth of all counts.
    pub growth: Vec<Growth>,
    /// Number of workers of the decision figures.
    pub workers: usize,
    /// What the placement rules make of the stream.
    pub decisions: DecisionFigures,
}

/// Measures the growth over `sizes`, and the decisions with `workers` workers.
pub fn measure(sizes: &[usize], workers: usize, seed: u64) -> Results {
    let smallest = sizes.iter().copied().min().unwrap_or(workers);
    let mut options = vec![Options::new(workers, seed)];
    // The widest gang is the same at all sizes, so that the streams differ in their rate alone.
    let loaded = |n: &usize| Options {
        gang_base: smallest,
        drain_max: Duration::ZERO,
        ..Options::new(*n, seed)
    };
    options.extend(sizes.iter().map(loaded));
    options.extend(sizes.iter().map(|n| Options::idle(*n, IDLE_LENGTH)));
    let mut runs = run_all(&options).into_iter();
    let decisions = runs.next().unwrap_or_default().decisions;
    let runs: Vec<ModelRun> = runs.collect();
    let (loaded, idle) = runs.split_at(sizes.len());
    let growth = growth(sizes, loaded, idle);
    Results { seed, sizes: sizes.to_vec(), growth, workers, decisions }
}

/// Returns the growth of all counts.
fn growth(sizes: &[usize], loaded: &[ModelRun], idle: &[ModelRun]) -> Vec<Growth> {
    let row = |(i, name): (usize, &&str)| {
        let per_run: Vec<f64> = loaded.iter().map(|r| r.per_run()[i]).collect();
        let per_idle: Vec<f64> =
            sizes.iter().zip(idle).map(|(n, r)| r.per_agent_second(*n)[i]).collect();
        Growth {
            name: (*name).to_owned(),
            run_exponent: exponent(sizes, &per_run),
            per_run,
            idle_exponent: exponent(sizes, &per_idle),
            per_idle,
        }
    };
    COUNT_NAMES.iter().enumerate().map(row).collect()
}

/// Returns the exponent of the power of the size that the values grow with, by a least-squares fit.
fn exponent(sizes: &[usize], values: &[f64]) -> Option<f64> {
    if values.contains(&0.0) {
        return None;
    }
    let points = sizes.iter().zip(values).map(|(n, v)| ((*n as f64).ln(), v.ln()));
    Some(fit(&points.collect::<Vec<_>>()).0)
}

fn run_all(options: &[Options]) -> Vec<ModelRun> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(vec![ModelRun::default(); options.len()]);
    let work = || {
        while let Some((i, options)) = next_item(&next, options) {
            let result = run(options);
            results.lock().expect("no run has panicked")[i] = result;
        }
    };
    thread::scope(|scope| (0..THREADS).for_each(|_| _ = scope.spawn(work)));
    results.into_inner().expect("no run has panicked")
}

fn next_item<'a>(next: &AtomicUsize, items: &'a [Options]) -> Option<(usize, &'a Options)> {
    let i = next.fetch_add(1, Ordering::Relaxed);
    items.get(i).map(|item| (i, item))
}
