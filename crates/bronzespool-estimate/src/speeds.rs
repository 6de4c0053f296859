//! Speeds that are reported: shrunken estimates of those that are significant.
//!
//! A speed stays typical until it differs by more than its uncertainty. How much workers differ in
//! general is estimated from all of them, so that in a deployment of equal workers every estimate
//! is shrunk to one.

use {
    crate::fit::{Effect, median},
    bronzespool_core::Center,
    std::collections::BTreeMap,
};

/// Deviation, in standard errors, up to which a worker counts as typical.
const GATE_CLOSED: f64 = 2.0;
/// Deviation, in standard errors, from which an estimate is reported in full. Between the two it
/// is reported in part, so that it does not jump.
const GATE_OPEN: f64 = 3.0;
/// Deviation, in standard errors, from which a worker counts as an outlier.
const OUTLIER_ENTER: f64 = 4.0;
/// Deviation, in standard errors, down to which it remains an outlier.
const OUTLIER_LEAVE: f64 = 2.5;
/// Fewest runs of an outlier: a single run may be in the tail.
const OUTLIER_RUNS_MIN: u32 = 3;
/// Prior standard deviation of the logarithm of an outlier's speed.
const OUTLIER_SD: f64 = 1.0;
/// Smallest deviation that is reported, as a logarithm: 8 %.
const DEAD_BAND: f64 = 0.08;
/// Least evidence, in complete runs, with which a worker counts for the spread and the levels.
const WEIGHT_MIN: f64 = 0.5;
/// Standard deviations by which the workers' spread must exceed that of equal workers.
const SPREAD_SDS: f64 = 2.0;
/// Variance of a median in units of that of a mean.
const MEDIAN_VARIANCE: f64 = 1.57;
/// Smallest level of a data centre that is reported, as a logarithm: 16 %. Below it, the data
/// centre of most workers got a level from the error of the typical worker.
const LEVEL_MIN: f64 = 0.15;
/// Largest deviation that is reported, as a logarithm: a factor of 32.
const DEVIATION_MAX: f64 = 3.47;

/// Returns the logarithms of the reported speeds, in the order of the effects.
pub(crate) fn reported(effects: &[Effect], centers: &[Option<&Center>]) -> Vec<f64> {
    let mut groups: BTreeMap<Option<&Center>, Vec<usize>> = BTreeMap::new();
    for (i, center) in centers.iter().enumerate() {
        groups.entry(*center).or_default().push(i);
    }
    let known = |i: &&usize| effects[**i].weight >= WEIGHT_MIN;
    let mut middles = vec![0.0; effects.len()];
    let mut levels = vec![0.0; effects.len()];
    for (center, members) in &groups {
        let known: Vec<&Effect> = members.iter().filter(known).map(|i| &effects[*i]).collect();
        let Some(middle) = median(&mut known.iter().map(|e| e.speed).collect::<Vec<_>>()) else {
            continue;
        };
        let level = if center.is_some() && groups.len() > 1 { level(&known, middle) } else { 0.0 };
        for i in members {
            (middles[*i], levels[*i]) = (middle, level);
        }
    }
    let spread = spread(effects, &middles, groups.len());
    let report = |(e, level): (&Effect, &f64)| {
        let total = level + own(e, *level, spread);
        if total.abs() < DEAD_BAND { 0.0 } else { total.clamp(-DEVIATION_MAX, DEVIATION_MAX) }
    };
    effects.iter().zip(&levels).map(report).collect()
}

/// Squared standard error of an effect.
fn error(effect: &Effect) -> f64 {
    effect.noise * effect.noise / effect.weight
}

/// Share of an estimate that is reported at a deviation in standard errors.
fn gate(deviation: f64) -> f64 {
    ((deviation.abs() - GATE_CLOSED) / (GATE_OPEN - GATE_CLOSED)).clamp(0.0, 1.0)
}

/// Reported level of a data centre: its median worker, if that differs by more than the spread of
/// its workers explains.
fn level(known: &[&Effect], middle: f64) -> f64 {
    let count = known.len() as f64;
    let squares: f64 = known.iter().map(|e| (e.speed - middle).powi(2)).sum();
    let errors: f64 = known.iter().map(|e| error(e)).sum();
    let variance = squares.max(errors) / count * MEDIAN_VARIANCE / count;
    if middle.abs() < LEVEL_MIN { 0.0 } else { middle * gate(middle / variance.sqrt()) }
}

/// Variance of the speeds of workers of one data centre, beyond what their errors explain.
fn spread(effects: &[Effect], middles: &[f64], groups: usize) -> f64 {
    let (mut excess, mut count, mut precision) = (0.0, 0.0, 0.0);
    for (e, middle) in effects.iter().zip(middles).filter(|(e, _)| e.weight >= WEIGHT_MIN) {
        let error = error(e);
        // Bounds the effect of one outlier on the spread, with which all others are reported.
        excess += ((e.speed - middle).powi(2) / error).min(OUTLIER_ENTER * OUTLIER_ENTER);
        count += 1.0;
        precision += 1.0 / error;
    }
    let free: f64 = count - groups as f64;
    if free <= 0.0 {
        return 0.0;
    }
    (excess - free - SPREAD_SDS * (2.0 * free).sqrt()).max(0.0) / precision
}

/// Reported deviation of a worker from the level of its data centre.
fn own(effect: &Effect, level: f64, spread: f64) -> f64 {
    if effect.weight <= 0.0 {
        return 0.0;
    }
    let (error, deviation) = (error(effect), effect.speed - level);
    let limit = if effect.atypical { OUTLIER_LEAVE } else { OUTLIER_ENTER };
    let far = deviation.abs() > limit * error.sqrt() && effect.samples >= OUTLIER_RUNS_MIN;
    let outlier = far || effect.changed;
    let prior = if outlier { spread.max(OUTLIER_SD * OUTLIER_SD) } else { spread };
    let share = prior / (prior + error);
    share * deviation * gate(share.sqrt() * deviation / error.sqrt())
}
