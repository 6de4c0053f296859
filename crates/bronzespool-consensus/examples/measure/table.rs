//! Quantiles of measured durations.

use std::time::Duration;

/// The quantile `permille` of the durations, in microseconds.
pub(crate) fn quantile(spans: &mut [Duration], permille: usize) -> u128 {
    spans.sort_unstable();
    let at = (spans.len() * permille / 1_000).min(spans.len() - 1);
    spans[at].as_micros()
}
