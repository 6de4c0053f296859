//! Work of a kind of task: Bayesian linear regression of the logarithm of the work on the logarithm
//! of the declared duration.
//!
//! One step is one observation, because the tasks of a step share their declared duration and its
//! error. The response is `log(work) - log(declared)`, and the prior expects it to be zero
//! everywhere, which is the declared duration itself.

use hdrhistogram::Histogram;

/// Prior standard deviation of the intercept: a typical kind's declarations are off by 30 % in the
/// mean.
const INTERCEPT_SD: f64 = 0.3;
/// Prior standard deviation of the slope.
const SLOPE_SD: f64 = 0.3;
/// Prior standard deviation of a step's work around its kind's line: a factor of 1.8.
const SPREAD_SD: f64 = 0.6;
/// Number of steps that the prior of the spread counts as.
const SPREAD_PRIOR_STEPS: f64 = 4.0;
/// Smallest spread, so that a few equal steps do not make declarations count as exact.
const SPREAD_SD_MIN: f64 = 0.05;
/// Residual, in standard deviations, beyond which a step counts less.
const HUBER: f64 = 1.0;
/// Passes of the reweighted fit.
const PASSES: usize = 3;
/// Share of the evidence of evicted steps that is kept with each further one: half after 44 steps.
const FADE: f64 = 63.0 / 64.0;
/// Number of runs at which the observed quantile has half of the weight.
const HIGH_HALF_RUNS: f64 = 8.0;
/// Quantile behind [`crate::Work::high`].
const HIGH_QUANTILE: f64 = 0.9;
/// Histogram value of a ratio of one; values are hundredths of its natural logarithm.
const RATIO_ONE: f64 = 512.0;
/// Largest histogram value.
const RATIO_MAX: u64 = 1_023;
/// Evidence of a restored fit counts as at most this number of steps, so that a few steps of the
/// present correct it.
const RESTORED_STEPS_MAX: f64 = 16.0;
/// Assumed variance of the logarithms of the declared durations behind a fit that serves as a prior.
const PRIOR_X_VARIANCE: f64 = 0.3;

/// Fitted line of a kind with the spread around it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KindFit {
    /// Logarithm of the declared seconds at which the intercept holds.
    pub(crate) origin: f64,
    /// Mean of `log(work) - log(declared)` at the origin.
    pub(crate) intercept: f64,
    /// Change of that mean with the logarithm of the declared duration.
    pub(crate) slope: f64,
    /// Variances of intercept and slope, and their covariance.
    pub(crate) covariance: [f64; 3],
    /// Variance of a step's work around the line.
    pub(crate) spread: f64,
    /// Logarithm of the high quantile of runs, divided by the expectation of their step.
    pub(crate) high_by_step: f64,
    /// Logarithm of the high quantile of runs, divided by the expectation of their kind.
    pub(crate) high_by_kind: f64,
    /// Number of steps behind the fit.
    pub(crate) steps: f64,
    /// Number of runs behind the fit.
    pub(crate) samples: u32,
}

impl KindFit {
    /// Fit without evidence: the declared duration.
    pub(crate) const DECLARED: Self = Self {
        origin: 0.0,
        intercept: 0.0,
        slope: 0.0,
        covariance: [INTERCEPT_SD * INTERCEPT_SD, 0.0, 0.0],
        spread: SPREAD_SD * SPREAD_SD,
        high_by_step: 0.0,
        high_by_kind: 0.0,
        steps: 0.0,
        samples: 0,
    };

    /// Returns a fit read from a summary.
    pub(crate) fn restored(
        [origin, intercept, slope]: [f64; 3],
        [high_by_step, high_by_kind]: [f64; 2],
        steps: f64,
        samples: u32,
    ) -> Self {
        let steps = steps.min(RESTORED_STEPS_MAX);
        let fit =
            Self { origin, intercept, slope, high_by_step, high_by_kind, steps, ..Self::DECLARED };
        let [a, _, c] = fit.precision();
        Self { covariance: [1.0 / a, 0.0, 1.0 / c], samples, ..fit }
    }

    /// Precision of intercept and slope when the fit serves as a prior.
    fn precision(&self) -> [f64; 3] {
        let steps = self.steps / (SPREAD_SD * SPREAD_SD);
        let a = 1.0 / (INTERCEPT_SD * INTERCEPT_SD) + steps;
        let c = 1.0 / (SLOPE_SD * SLOPE_SD) + steps * PRIOR_X_VARIANCE;
        [a, 0.0, c]
    }

    /// Returns the mean and the variance of the logarithm of a new step's work.
    pub(crate) fn predict(&self, x: f64) -> (f64, f64) {
        let dx = x - self.origin;
        let [a, b, c] = self.covariance;
        let variance = self.spread + a + 2.0 * b * dx + c * dx * dx;
        (x + self.intercept + self.slope * dx, variance)
    }
}

/// A step as an observation of its kind.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Point {
    /// Logarithm of the declared seconds.
    pub(crate) x: f64,
    /// Logarithm of the observed work.
    pub(crate) log_work: f64,
    /// Variance of `log_work`.
    pub(crate) variance: f64,
}

/// Sums over steps: weight, weighted `dx`, `dx * dx`, `z`, `dx * z`, then squared residuals and
/// steps.
#[derive(Clone, Copy, Debug, Default)]
struct Sums([f64; 7]);

impl Sums {
    fn add(&mut self, weight: f64, dx: f64, z: f64, residual: f64) {
        let terms = [1.0, dx, dx * dx, z, dx * z, residual * residual].map(|t| t * weight);
        self.0.iter_mut().zip(terms).for_each(|(sum, term)| *sum += term);
        self.0[6] += 1.0;
    }
}

/// Evidence about a kind.
#[derive(Clone, Debug)]
pub(crate) struct KindModel {
    /// The latest fit.
    pub(crate) fit: KindFit,
    /// The prior: without evidence, or from a summary.
    prior: KindFit,
    /// Evidence of evicted steps.
    evicted: Sums,
    by_step: Histogram<u16>,
    by_kind: Histogram<u16>,
}

impl KindModel {
    /// Creates the model of a kind whose first declared duration has the logarithm `x`.
    pub(crate) fn new(x: f64, restored: Option<KindFit>) -> Self {
        let prior = restored.unwrap_or(KindFit { origin: x, ..KindFit::DECLARED });
        // The bounds and digits are valid, so that an error cannot occur.
        let ratios = || Histogram::new_with_bounds(1, RATIO_MAX, 3).expect("valid bounds");
        let (by_step, by_kind) = (ratios(), ratios());
        Self { fit: prior, prior, evicted: Sums::default(), by_step, by_kind }
    }

    /// Fits the line to the steps that the model holds and to the evidence of evicted ones.
    pub(crate) fn fit(&mut self, points: &[Point]) {
        let mut spread = self.fit.spread;
        let [mut intercept, mut slope] = [self.fit.intercept, self.fit.slope];
        for _ in 0..PASSES {
            let mut sums = self.evicted;
            for point in points {
                let (weight, dx, z, residual) = self.weigh(point, spread, intercept, slope);
                sums.add(weight, dx, z, residual);
            }
            let [w, wx, wxx, wz, wxz, squares, count] = sums.0;
            let [pa, pb, pc] = self.prior.precision();
            let [a, b, c] = [pa + w / spread, pb + wx / spread, pc + wxx / spread];
            let p = pa * self.prior.intercept + pb * self.prior.slope + wz / spread;
            let q = pb * self.prior.intercept + pc * self.prior.slope + wxz / spread;
            let det = a * c - b * b;
            [intercept, slope] = [(c * p - b * q) / det, (a * q - b * p) / det];
            self.fit.covariance = [c / det, -b / det, a / det];
            let prior = SPREAD_PRIOR_STEPS * SPREAD_SD * SPREAD_SD;
            spread = (prior + squares) / (SPREAD_PRIOR_STEPS + count);
            spread = spread.max(SPREAD_SD_MIN * SPREAD_SD_MIN);
            self.fit.steps = self.prior.steps + count;
        }
        self.fit = KindFit { intercept, slope, spread, ..self.fit };
    }

    /// Keeps the evidence of a step that is evicted.
    pub(crate) fn evict(&mut self, point: &Point) {
        let KindFit { spread, intercept, slope, .. } = self.fit;
        let (weight, dx, z, residual) = self.weigh(point, spread, intercept, slope);
        self.evicted.0.iter_mut().for_each(|sum| *sum *= FADE);
        self.evicted.add(weight, dx, z, residual);
    }

    fn weigh(&self, point: &Point, spread: f64, a: f64, b: f64) -> (f64, f64, f64, f64) {
        let dx = point.x - self.fit.origin;
        let z = point.log_work - point.x;
        let residual = z - a - b * dx;
        let share = spread / (spread + point.variance);
        let weight = share * huber(residual / (spread + point.variance).sqrt(), HUBER);
        (weight, dx, z, residual)
    }

    /// Adapts the evidence of evicted steps to a typical worker that is faster by `shift`, in
    /// logarithms.
    pub(crate) fn shift(&mut self, shift: f64) {
        let [w, wx, ..] = self.evicted.0;
        self.evicted.0[3] -= shift * w;
        self.evicted.0[4] -= shift * wx;
        self.fit.intercept -= shift;
        if self.prior.steps > 0.0 {
            self.prior.intercept -= shift;
        }
    }

    /// Begins to collect the runs from which the high quantiles are taken.
    pub(crate) fn clear_runs(&mut self) {
        self.by_step.reset();
        self.by_kind.reset();
    }

    /// Adds a completed run: the logarithms of its work divided by the expectation of its step, if
    /// that is known well, and of its kind, if a duration was declared.
    pub(crate) fn add_run(&mut self, by_step: Option<f64>, by_kind: Option<f64>) {
        let value = |log: f64| (log * 100.0 + RATIO_ONE).clamp(1.0, RATIO_MAX as f64) as u64;
        by_step.into_iter().for_each(|log| self.by_step.saturating_record(value(log)));
        by_kind.into_iter().for_each(|log| self.by_kind.saturating_record(value(log)));
    }

    /// Takes the high quantiles from the collected runs.
    pub(crate) fn end_runs(&mut self) {
        let high = |runs: &Histogram<u16>, prior: f64| {
            let count = runs.len() as f64;
            if runs.is_empty() {
                return prior;
            }
            let observed = (runs.value_at_quantile(HIGH_QUANTILE) as f64 - RATIO_ONE) / 100.0;
            (observed.max(0.0) * count + prior * HIGH_HALF_RUNS) / (count + HIGH_HALF_RUNS)
        };
        self.fit.high_by_step = high(&self.by_step, self.prior.high_by_step);
        self.fit.high_by_kind = high(&self.by_kind, self.prior.high_by_kind);
        let runs = u32::try_from(self.by_kind.len()).unwrap_or(u32::MAX);
        self.fit.samples = self.prior.samples.saturating_add(runs);
    }
}

/// Weight of a residual in units of its standard deviation: one up to `limit`, then falling, and
/// falling faster beyond twice that.
pub(crate) fn huber(residual: f64, limit: f64) -> f64 {
    let size = residual.abs();
    if size <= limit {
        1.0
    } else if size <= 2.0 * limit {
        limit / size
    } else {
        2.0 * limit * limit / (size * size)
    }
}
