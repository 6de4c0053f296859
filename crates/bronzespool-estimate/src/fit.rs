//! Two-way fit of the work of steps and the speeds of workers.
//!
//! `observed = effect(step) - speed(worker) + noise`, all in logarithms. Backfitting alternates
//! between the means of the steps and the shrunken means of the workers. Large residuals count
//! less (Huber weights), so that a few runs in the tail move neither.

use {
    crate::{
        kind::huber,
        sample::StepKey,
        window::{Prior, Run, Windows},
    },
    bronzespool_core::{HashMap, Instance},
    std::{cmp::Reverse, ops::Range},
};

/// Sweeps of one fit. Fits start from the previous one, so that few suffice.
const SWEEPS: usize = 10;
/// Residual, in standard deviations, beyond which a run counts less.
pub(crate) const HUBER: f64 = 1.5;
/// Weight, in runs, with which the effect of a worker without evidence is shrunk towards a typical
/// one. It falls with the evidence: with a constant weight, workers that are 2.4 times as fast were
/// estimated at 2.0 times when jobs mostly stay on workers of one speed.
const RIDGE: f64 = 0.2;
/// Factor by which a run counts less than the next later one of its worker.
const AGING: f64 = 0.92;
/// Standard deviation of runs of one step that is expected without evidence: 30 % either way.
pub(crate) const NOISE_PRIOR: f64 = 0.2;
/// Number of runs that the prior of the noise counts as.
const NOISE_PRIOR_RUNS: f64 = 16.0;
/// Smallest standard deviation of the noise.
const NOISE_MIN: f64 = 0.03;
/// Standard deviation of a normal distribution divided by its median absolute deviation.
const MAD_TO_SD: f64 = 1.4826;
/// Number of runs that the noise counts as in the noise of one worker.
const SCATTER_PRIOR_RUNS: f64 = 4.0;
/// Largest residual in the noise of one worker, in units of the noise, so that one run in the tail
/// does not hide the worker's speed.
const SCATTER_MAX: f64 = 4.0;
/// Variance of a step's work in units of that of one run; covers runs in the tail.
const STEP_VARIANCE: f64 = 2.0;
/// Fewest latest runs that show a change of speed.
const CHANGE_RUNS_MIN: usize = 3;
/// Most latest runs that are compared with the older ones.
const CHANGE_RUNS_MAX: usize = 8;
/// Fewest older runs that the latest ones are compared with.
const CHANGE_OLDER_MIN: usize = 2;
/// Smallest change of a speed for which older runs are dropped, as a logarithm: a factor of 1.6.
const CHANGE_MIN: f64 = 0.47;
/// Smallest change in units of the noise.
const CHANGE_SDS: f64 = 3.0;
/// Evidence, in complete runs, from which a change of speed is no longer recent.
const CHANGED_WEIGHT: f64 = 3.0;
/// Range of speeds that are near the typical one, as a logarithm either way.
const TYPICAL_RANGE: f64 = 0.2;
/// Least share of the workers, as a divisor, whose median defines the typical speed.
const TYPICAL_SHARE: usize = 4;
/// Passes in which the typical speed moves to the middle of those near it.
const TYPICAL_PASSES: usize = 3;
/// Passes over the steps with the speeds that are reported.
const STEP_PASSES: usize = 3;

/// One run of a step that is held.
struct Row {
    step: usize,
    observed: f64,
    /// Weight in units of a complete run.
    weight: f64,
    /// Square root of `weight`.
    root: f64,
    /// Weight with the age of the run.
    aged: f64,
    /// Share of the run's information about its worker; zero if only this worker has run the step.
    share: f64,
    latest: u64,
    may_be_long: bool,
}

/// Effect of one worker.
#[derive(Clone, Debug)]
pub(crate) struct Effect {
    pub(crate) instance: Instance,
    /// Logarithm of the speed.
    pub(crate) speed: f64,
    /// Weight of the evidence in units of complete runs.
    pub(crate) weight: f64,
    /// Standard deviation of a complete run of this worker.
    pub(crate) noise: f64,
    /// Number of runs that are evidence of the speed.
    pub(crate) samples: u32,
    /// Whether the speed has changed and few runs have been seen since.
    pub(crate) changed: bool,
    /// Whether the former fit reported a speed that is not typical.
    pub(crate) atypical: bool,
}

/// The fit's data, laid out for the sweeps.
pub(crate) struct Fit {
    rows: Vec<Row>,
    /// Rows of each worker, and its prior.
    ranges: Vec<(Range<usize>, Option<Prior>)>,
    workers: Vec<Effect>,
    keys: Vec<StepKey>,
    steps: Vec<f64>,
    /// Weight and weighted work of each step's runs that have left the windows.
    past: Vec<(f64, f64)>,
    /// Standard deviation of a complete run.
    pub(crate) noise: f64,
    /// Number of rows visited, the measure of cost.
    pub(crate) visits: u64,
}

impl Fit {
    /// Lays out the runs in the windows.
    pub(crate) fn new(windows: &Windows, noise: Option<f64>) -> Self {
        let mut fit = Self {
            rows: Vec::with_capacity(windows.len()),
            ranges: Vec::with_capacity(windows.workers.len()),
            workers: Vec::with_capacity(windows.workers.len()),
            keys: Vec::new(),
            steps: Vec::new(),
            past: Vec::new(),
            noise: noise.unwrap_or(NOISE_PRIOR),
            visits: 0,
        };
        let mut indexes: HashMap<StepKey, usize> = HashMap::default();
        for (instance, worker) in &windows.workers {
            let begin = fit.rows.len();
            let mut runs: Vec<&Run> = worker.runs.iter().collect();
            runs.sort_unstable_by_key(|run| Reverse(run.order));
            let mut age = 1.0;
            for run in runs {
                fit.add(run, age, windows, &mut indexes);
                age *= AGING;
            }
            let prior = worker.prior.map(|p| Prior { weight: p.weight * age, ..p });
            fit.ranges.push((begin..fit.rows.len(), prior));
            fit.workers.push(Effect {
                instance: instance.clone(),
                speed: worker.speed,
                weight: 0.0,
                noise: fit.noise,
                samples: 0,
                changed: worker.changed,
                atypical: worker.reported.is_some_and(|speed| speed != 0.0),
            });
        }
        fit.weigh(windows);
        fit.start_steps();
        fit
    }

    fn add(
        &mut self,
        run: &Run,
        age: f64,
        windows: &Windows,
        indexes: &mut HashMap<StepKey, usize>,
    ) {
        let index = *indexes.entry(run.step).or_insert_with(|| {
            let step = windows.steps.get(&run.step);
            self.keys.push(run.step);
            self.steps.push(step.and_then(|s| s.effect).unwrap_or(f64::NAN));
            self.past.push(step.map_or((0.0, 0.0), |s| s.past.sum()));
            self.steps.len() - 1
        });
        let weight = run.weight();
        let (observed, aged) = (run.observed, weight * age);
        let (latest, may_be_long) = (run.latest, run.may_be_long());
        self.rows.push(Row {
            step: index,
            observed,
            weight,
            root: weight.sqrt(),
            aged,
            share: 0.0,
            latest,
            may_be_long,
        });
    }

    /// Computes the share of each run that is evidence of its worker's speed: the part of the step's
    /// evidence that comes from other workers.
    fn weigh(&mut self, windows: &Windows) {
        let mut whole: Vec<f64> = self.past.iter().map(|(weight, _)| *weight).collect();
        self.rows.iter().for_each(|row| whole[row.step] += row.aged);
        let pasts: Vec<_> =
            self.keys.iter().map(|key| windows.steps.get(key).map(|s| &s.past)).collect();
        for (worker, (rows, prior)) in self.workers.iter_mut().zip(&self.ranges) {
            let rows = &mut self.rows[rows.clone()];
            for i in 0..rows.len() {
                let step = rows[i].step;
                let mut own: f64 = rows.iter().filter(|r| r.step == step).map(|r| r.aged).sum();
                if let Some(past) =
                    pasts[step].filter(|p| p.first.as_ref() == Some(&worker.instance))
                {
                    own += past.own.0;
                }
                let share = 1.0 - own / whole[step];
                rows[i].share = if share > 1e-6 { share } else { 0.0 };
            }
            worker.weight = rows.iter().map(|r| r.aged * r.share).sum();
            worker.weight += prior.map_or(0.0, |p| p.weight);
            let informative = rows.iter().filter(|r| r.share > 0.0).count();
            let restored = prior.map_or(0, |p| p.weight.round() as usize);
            worker.samples = u32::try_from(informative + restored).unwrap_or(u32::MAX);
        }
    }

    /// Initializes new steps with the median of the work that their runs imply.
    fn start_steps(&mut self) {
        let mut works: Vec<Vec<f64>> = vec![Vec::new(); self.steps.len()];
        for (worker, (rows, _)) in self.workers.iter().zip(&self.ranges) {
            for row in &self.rows[rows.clone()] {
                if self.steps[row.step].is_nan() {
                    works[row.step].push(row.observed + worker.speed);
                }
            }
        }
        for (step, works) in self.steps.iter_mut().zip(&mut works) {
            if step.is_nan() {
                *step = median(works).unwrap_or(0.0);
            }
        }
    }

    /// Alternates between steps and workers, then estimates the noise.
    pub(crate) fn sweep(&mut self) {
        for _ in 0..SWEEPS {
            self.update_steps();
            self.update_workers();
        }
        self.update_steps();
        self.update_noise();
    }

    fn update_steps(&mut self) {
        let mut sums = self.past.clone();
        for (worker, (rows, _)) in self.workers.iter().zip(&self.ranges) {
            for row in &self.rows[rows.clone()] {
                let work = row.observed + worker.speed;
                let weight = row.aged * self.huber(work - self.steps[row.step], row.root);
                let (total, weighted) = &mut sums[row.step];
                *total += weight;
                *weighted += weight * work;
            }
        }
        self.visits += self.rows.len() as u64;
        for (step, (total, weighted)) in self.steps.iter_mut().zip(sums) {
            if total > 0.0 {
                *step = weighted / total;
            }
        }
    }

    fn update_workers(&mut self) {
        for i in 0..self.workers.len() {
            let (rows, prior) = &self.ranges[i];
            let speed = self.workers[i].speed;
            let (mut total, mut weighted) = (RIDGE / (1.0 + self.workers[i].weight), 0.0);
            let mut add = |seen: f64, weight: f64| {
                total += weight;
                weighted += weight * seen;
            };
            for row in self.rows[rows.clone()].iter().filter(|r| r.share > 0.0) {
                let seen = self.steps[row.step] - row.observed;
                add(seen, row.aged * self.huber(seen - speed, row.root));
            }
            if let Some(prior) = prior {
                add(prior.speed, prior.weight * self.huber(prior.speed - speed, 1.0));
            }
            self.workers[i].speed = weighted / total;
        }
        self.visits += self.rows.len() as u64;
    }

    /// Weight of a residual of a run whose weight has the square root `root`.
    fn huber(&self, residual: f64, root: f64) -> f64 {
        huber(residual * root / self.noise, HUBER)
    }

    /// Estimates the noise from the median absolute residual, and the scatter of each worker.
    fn update_noise(&mut self) {
        let mut sizes = Vec::with_capacity(self.rows.len());
        let mut fitted = vec![false; self.steps.len()];
        let mut workers = 0;
        for (worker, (rows, _)) in self.workers.iter().zip(&self.ranges) {
            let before = sizes.len();
            for row in self.rows[rows.clone()].iter().filter(|r| r.share > 0.0) {
                let residual = row.observed - (self.steps[row.step] - worker.speed);
                sizes.push(residual.abs() * row.weight.sqrt());
                fitted[row.step] = true;
            }
            workers += usize::from(sizes.len() > before);
        }
        let count = sizes.len();
        let effects = fitted.into_iter().filter(|f| *f).count() + workers;
        let free = count.saturating_sub(effects) as f64;
        let sd = MAD_TO_SD * median(&mut sizes).unwrap_or(0.0);
        // Each fitted effect takes up one degree of freedom.
        let variance = sd * sd * count as f64 / free.max(1.0);
        let prior = NOISE_PRIOR * NOISE_PRIOR * NOISE_PRIOR_RUNS;
        let noise = ((prior + variance * free) / (NOISE_PRIOR_RUNS + free)).sqrt();
        self.noise = noise.max(NOISE_MIN);
        self.update_scatter();
    }

    fn update_scatter(&mut self) {
        for (worker, (rows, _)) in self.workers.iter_mut().zip(&self.ranges) {
            let (mut squares, mut count) = (0.0, 0.0);
            for row in self.rows[rows.clone()].iter().filter(|r| r.share > 0.0) {
                let residual = self.steps[row.step] - row.observed - worker.speed;
                let bounded = residual.abs().min(SCATTER_MAX * self.noise);
                squares += bounded * bounded * row.aged;
                count += row.aged;
            }
            let prior = SCATTER_PRIOR_RUNS * self.noise * self.noise;
            let own = (prior + squares) / (SCATTER_PRIOR_RUNS + count);
            worker.noise = own.sqrt().max(self.noise);
        }
    }

    /// Workers whose latest runs agree on another speed than the older ones, with the number
    /// of the first sample of these latest runs.
    pub(crate) fn changes(&self) -> Vec<(Instance, u64)> {
        let mut changed = Vec::new();
        for (worker, (rows, prior)) in self.workers.iter().zip(&self.ranges) {
            let rows = self.rows[rows.clone()].iter().filter(|r| r.share > 0.0);
            let mut seen = Vec::new();
            for row in rows {
                let speed = self.steps[row.step] - row.observed;
                if !row.may_be_long || speed > worker.speed {
                    seen.push((row.latest, speed));
                }
            }
            seen.sort_unstable_by_key(|(latest, _)| Reverse(*latest));
            let prior = prior.map(|p| p.speed);
            if let Some(first) = change_point(&seen, prior, self.noise) {
                changed.push((worker.instance.clone(), first));
            }
        }
        changed
    }

    /// Moves the typical worker to zero: first so that zero lies in the middle fifth of the workers
    /// with evidence, then to the middle of those near it. Where most workers are alike, the middle
    /// of all would lie at the edge of these. Returns the shift that was subtracted from all speeds.
    pub(crate) fn center(&mut self) -> f64 {
        let known = self.workers.iter().filter(|w| w.samples > 0);
        let mut speeds: Vec<f64> = known.map(|w| w.speed).collect();
        if speeds.is_empty() {
            return 0.0;
        }
        speeds.sort_unstable_by(f64::total_cmp);
        let last = speeds.len() - 1;
        let (low, high) = (speeds[last * 2 / 5], speeds[(last * 3).div_ceil(5)]);
        let mut shift = 0.0_f64.clamp(low, high);
        for _ in 0..TYPICAL_PASSES {
            let near = |s: &&f64| (**s - shift).abs() < TYPICAL_RANGE;
            let mut near: Vec<f64> = speeds.iter().filter(near).copied().collect();
            if near.len() * TYPICAL_SHARE >= speeds.len() {
                shift = median(&mut near).unwrap_or(shift);
            }
        }
        self.workers.iter_mut().for_each(|w| w.speed -= shift);
        self.steps.iter_mut().for_each(|s| *s -= shift);
        self.past.iter_mut().for_each(|(weight, sum)| *sum -= shift * *weight);
        shift
    }

    /// Stores the effects in the windows.
    pub(crate) fn store(&self, windows: &mut Windows) {
        for (key, effect) in self.keys.iter().zip(&self.steps) {
            if let Some(step) = windows.steps.get_mut(key) {
                step.effect = Some(*effect);
            }
        }
        for (worker, window) in self.workers.iter().zip(windows.workers.values_mut()) {
            window.speed = worker.speed;
            window.changed &= worker.weight < CHANGED_WEIGHT;
        }
    }

    /// Effects of the workers, in the order of their names.
    pub(crate) fn workers(&self) -> &[Effect] {
        &self.workers
    }

    /// Computes the work of the steps with the speeds that are reported, in the order of the
    /// workers.
    pub(crate) fn store_work(&mut self, reported: &[f64], windows: &mut Windows) {
        let mut counts = vec![0_u32; self.steps.len()];
        let mut sums = self.past.clone();
        for _ in 0..STEP_PASSES {
            sums.clone_from(&self.past);
            counts.fill(0);
            for (speed, (rows, _)) in reported.iter().zip(&self.ranges) {
                for row in &self.rows[rows.clone()] {
                    let work = row.observed + speed;
                    let weight = row.weight * self.huber(work - self.steps[row.step], row.root);
                    sums[row.step].0 += weight;
                    sums[row.step].1 += weight * work;
                    counts[row.step] += 1;
                }
            }
            self.visits += self.rows.len() as u64;
            for (step, (total, weighted)) in self.steps.iter_mut().zip(&sums) {
                *step = weighted / total.max(f64::MIN_POSITIVE);
            }
        }
        let variance = STEP_VARIANCE * self.noise * self.noise;
        for (i, key) in self.keys.iter().enumerate() {
            if let Some(step) = windows.steps.get_mut(key) {
                step.work = Some((self.steps[i], variance / sums[i].0));
                step.samples = counts[i];
            }
        }
    }
}

/// Finds the first of the latest runs that agree on another speed than the older ones. `seen` holds
/// numbers of samples and speeds, the latest first.
fn change_point(seen: &[(u64, f64)], prior: Option<f64>, noise: f64) -> Option<u64> {
    let least = CHANGE_MIN.max(CHANGE_SDS * noise);
    let speeds: Vec<f64> = seen.iter().map(|(_, speed)| *speed).collect();
    for count in CHANGE_RUNS_MIN..=CHANGE_RUNS_MAX.min(speeds.len()) {
        let (latest, older) = speeds.split_at(count);
        let older =
            if older.len() >= CHANGE_OLDER_MIN { median(&mut older.to_vec()) } else { prior };
        let (Some(older), Some(now)) = (older, median(&mut latest.to_vec())) else { return None };
        let change = now - older;
        let agree = latest.iter().all(|s| (s - older) * change.signum() > least / 2.0);
        if change.abs() > least && agree {
            return Some(seen[count - 1].0);
        }
    }
    None
}

/// Median; the mean of the two middle values of an even number.
pub(crate) fn median(values: &mut [f64]) -> Option<f64> {
    let middle = values.len() / 2;
    if values.is_empty() {
        return None;
    }
    let odd = values.len() % 2 == 1;
    let (lower, upper, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    let upper = *upper;
    if odd {
        return Some(upper);
    }
    let lower = lower.iter().copied().max_by(f64::total_cmp).unwrap_or(upper);
    Some(f64::midpoint(lower, upper))
}
